"""Service that reads the list of targets at intervals."""

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
    """Feeds a view; a silent source leaves the last view in use."""

    def __init__(
        self,
        settings: MembershipSource,
        view: MembershipView,
        rules: Callable[[], MembershipRules],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Take the source and the view; raises `UnknownSourceError`."""
        self._source = make_source(settings)
        self._view = view
        self._rules = rules
        self._clock = clock
        self._rng = rng
        self._tasks = TaskSet()
        self._failing = False

    async def start(self) -> None:
        """Poll in the background."""
        self._tasks.spawn(self._run(), 'membership poller')

    async def stop(self) -> None:
        """End polling and close the source."""
        await self._tasks.cancel_all()
        await self._source.close()

    async def poll(self) -> None:
        """Read the list once and drop evidence that is out of date."""
        self._view.expire()
        timeout_s = min(self._rules().poll_interval_s, MAX_FETCH_S)
        try:
            found = await self._source.fetch(timeout_s)
        except SourceFailedError as error:
            POLLS.labels('failed').inc()
            self._note_failing(failing=True, reason=str(error))
            return
        self._note_failing(failing=False, reason='')
        if found is None:
            return
        accepted = self._view.apply_list(found.version, found.targets)
        POLLS.labels('applied' if accepted else 'out_of_date').inc()

    async def _run(self) -> None:
        while True:
            started_at = self._clock.monotonic()
            await self.poll()
            spread = self._rng.uniform(1 - POLL_JITTER, 1)
            next_at = started_at + self._rules().poll_interval_s * spread
            await asyncio.sleep(max(next_at - self._clock.monotonic(), 0))

    def _note_failing(self, *, failing: bool, reason: str) -> None:
        # One line per change: a source may stay silent for hours.
        if failing != self._failing:
            self._failing = failing
            log_event('membership.source', failing=failing, reason=reason)
