"""Periodic polling of the platform's list of targets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from hornbeamline.core import TaskSet
from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import MembershipRules, MembershipSource
from hornbeamline.membership._metrics import POLLS
from hornbeamline.membership._sources import make_source
from hornbeamline.membership._view import MembershipView
from hornbeamline.membership.const import MAX_FETCH_S, POLL_JITTER
from hornbeamline.membership.errors import SourceFailedError
from hornbeamline.telemetry import log_event


class MembershipPoller:
    """Polls a source and updates a view.

    While the source fails, the view keeps the last list.
    """

    def __init__(
        self,
        settings: MembershipSource,
        view: MembershipView,
        rules: Callable[[], MembershipRules],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create the configured source; raises `UnknownSourceError`."""
        self._source = make_source(settings)
        self._view = view
        self._rules = rules
        self._clock = clock
        self._rng = rng
        self._tasks = TaskSet()
        self._failing = False

    async def start(self) -> None:
        """Start to poll in the background."""
        self._tasks.keep_running(self._run, 'membership poller')

    async def stop(self) -> None:
        """Stop polling and close the source."""
        await self._tasks.cancel_all()
        await self._source.close()

    async def poll(self) -> None:
        """Expire outdated reports, then fetch and apply the list once."""
        self._view.expire()
        timeout_s = min(self._rules().poll_interval_s, MAX_FETCH_S)
        try:
            found = await self._source.fetch(timeout_s)
        except SourceFailedError as error:
            POLLS.labels('failed').inc()
            self._log_source_state(failing=True, reason=str(error))
            return
        self._log_source_state(failing=False, reason='')
        if found is None:
            return
        accepted = self._view.apply_list(found.version, found.targets)
        POLLS.labels('applied' if accepted else 'out_of_date').inc()

    async def _run(self) -> None:
        while True:
            started_at = self._clock.monotonic()
            await self.poll()
            jitter_factor = self._rng.uniform(1 - POLL_JITTER, 1)
            next_at = started_at + self._rules().poll_interval_s * jitter_factor
            await asyncio.sleep(max(next_at - self._clock.monotonic(), 0))

    def _log_source_state(self, *, failing: bool, reason: str) -> None:
        # Only changes are logged, because a source may be down for hours.
        if failing != self._failing:
            self._failing = failing
            log_event('membership.source', failing=failing, reason=reason)
