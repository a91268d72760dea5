"""Polling of target load and prefix-cache events."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
from collections.abc import Callable
from typing import Final

from hornbeamline.core import TaskSet
from hornbeamline.decisions import DecisionEngine, LoadReport
from hornbeamline.exceptions import TargetError
from hornbeamline.inventory import Fleet, ServiceKind, Target
from hornbeamline.targets._client import TargetClient

# Reported load figures are older than this anyway, so polling a target more
# often would only cost processor time.
_MIN_POLL_INTERVAL_S: Final = 0.2
# Limits the processor time a host spends on polling; one poll takes about
# 0.5 ms.
_MAX_POLLS_PER_S: Final = 20
_RECONCILE_INTERVAL_S: Final = 1.0


class TargetPoller:
    """Passes load and cache events of all targets to the decision engine.

    Each target is polled by a task of its own.
    """

    def __init__(
        self,
        current_fleet: Callable[[], Fleet | None],
        client: TargetClient,
        decisions: DecisionEngine,
        rng: random.Random,
    ) -> None:
        """Create a poller that does not run yet.

        `current_fleet` returns the current fleet, or None if there is none
        yet. `rng` provides the jitter of the poll interval.
        """
        self._current_fleet = current_fleet
        self._client = client
        self._decisions = decisions
        self._rng = rng
        self._tasks = TaskSet()
        self._polls_by_target: dict[str, tuple[Target, asyncio.Task[None]]] = {}

    async def start(self) -> None:
        """Start polling the targets of the current fleet."""
        self._tasks.keep_running(self._reconcile_periodically, 'poll reconcile')

    async def stop(self) -> None:
        """Stop polling."""
        await self._tasks.cancel_all()

    async def _reconcile_periodically(self) -> None:
        while True:
            fleet = self._current_fleet()
            if fleet is not None:
                self._reconcile(fleet)
            await asyncio.sleep(_RECONCILE_INTERVAL_S)

    def _reconcile(self, fleet: Fleet) -> None:
        for name, (polled, poll) in tuple(self._polls_by_target.items()):
            if fleet.targets_by_name.get(name) != polled:
                poll.cancel()
                self._polls_by_target.pop(name)
        for added in fleet.targets_by_name.keys() - self._polls_by_target:
            target = fleet.targets_by_name[added]
            kind = fleet.services_by_name[target.service].kind
            self._polls_by_target[added] = (
                target,
                self._tasks.keep_running(
                    functools.partial(self._poll, added, target, kind),
                    f'poll {added}',
                ),
            )

    async def _poll(
        self,
        name: str,
        target: Target,
        kind: ServiceKind,
    ) -> None:
        after = 0
        while True:
            # Jitter keeps the hosts from polling a target at the same time.
            await asyncio.sleep(
                self._interval_s() * self._rng.uniform(0.5, 1.5)
            )
            # Errors need no handling here: calls detect a failed target, and
            # the decision engine gives old load figures less weight.
            with contextlib.suppress(TargetError):
                await self._poll_load(name, target)
                if kind is ServiceKind.generation:
                    after = await self._poll_cache(name, target, after)

    def _interval_s(self) -> float:
        count = len(self._polls_by_target)
        return max(_MIN_POLL_INTERVAL_S, count / _MAX_POLLS_PER_S)

    async def _poll_load(self, name: str, target: Target) -> None:
        load = await self._client.load(name, target)
        report = LoadReport(load['in_progress'], load['queued'], load['age_s'])
        self._decisions.load_reported(name, report)

    async def _poll_cache(self, name: str, target: Target, after: int) -> int:
        body = await self._client.cache_events(name, target, after)
        for event in body['events']:
            self._decisions.prefix_cached(
                name,
                event['prefix'],
                held=event['held'],
            )
            after = max(after, event['number'])
        # A lower last number means that the engine has restarted and numbers
        # its events from the start.
        return after if body['last'] >= after else 0
