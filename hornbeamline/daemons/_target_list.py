"""Polls the list of targets."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import Final, Protocol

from hornbeamline.core import TaskSet
from hornbeamline.exceptions import GatewayError
from hornbeamline.gateway import Target, TargetDirectory
from hornbeamline.telemetry import log_event

_LIST_TIMEOUT_S: Final = 0.9
# Pause between reads until one succeeds, and after a failed one.
_RETRY_INTERVAL_S: Final = 0.25
# The pauses between reads are set to use this share of the allowed call rate.
_RATE_SHARE: Final = 0.7
# Lower bound of the allowed call rate, which is a divisor.
MIN_LIST_RATE_PER_S: Final = 0.01
# Interval of checking the age of a list that another process has read.
_AGE_CHECK_INTERVAL_S: Final = 0.2
# Interval of checking for a first list.
_FIRST_LIST_CHECK_INTERVAL_S: Final = 0.05
# Processes that share a list read it again at a random age between the
# configured one and this multiple of it. The first that reads saves the
# others the call.
_MAX_AGE_JITTER: Final = 1.25
# Time for which a process that does not share its reads waits for a first
# list: control processes that start at the same time read and send theirs.
FIRST_LIST_WAIT_S: Final = 1.0


class TargetListSource(Protocol):
    """Source of the platform's list of targets."""

    @property
    def calls(self) -> int:
        """Return the number of calls that the last read needed."""

    async def read(self) -> list[Target]:
        """Return the complete list; raises `GatewayError`."""


class ListPoller:
    """Polls the list within the call rate that all hosts share."""

    def __init__(
        self,
        source: TargetListSource,
        targets: TargetDirectory,
        interval_s: float,
        rate_per_s: float,
        rng: random.Random,
        max_age_s: float = 0,
        on_read: Callable[[], None] | None = None,
    ) -> None:
        """Initialize with the source, the directory to update and limits.

        `rate_per_s` bounds the calls of all hosts together. The list is
        not read while the directory has one younger than `max_age_s`, such
        as one from another process. `on_read` is called after each
        successful read, to announce the list to processes that share it.
        """
        self._source = source
        self._targets = targets
        self._interval_s = interval_s
        self._rate_per_s = rate_per_s * _RATE_SHARE
        self._host_count = 1
        self._rng = rng
        self._max_age_s = max_age_s
        self._on_read = on_read
        self._tasks = TaskSet()
        self._last_read_succeeded = False

    async def start(self) -> None:
        """Start polling."""
        self._tasks.keep_running(self._run, 'target list')

    async def stop(self) -> None:
        """Stop polling."""
        await self._tasks.cancel_all()

    def note_hosts(self, count: int) -> None:
        """Set the number of hosts that read the list."""
        self._host_count = max(count, 1)

    @property
    def pause_s(self) -> float:
        """Return the pause between two reads in seconds."""
        pause_s = (
            self._interval_s if self._last_read_succeeded else _RETRY_INTERVAL_S
        )
        calls = self._host_count * self._source.calls
        rate_per_s = max(self._rate_per_s, MIN_LIST_RATE_PER_S)
        return max(pause_s, calls / rate_per_s)

    async def _run(self) -> None:
        if self._on_read is None and self._max_age_s:
            await self._wait_for_first_list()
        while True:
            await self._wait_until_stale()
            await self._read()
            if self._on_read is not None and self._last_read_succeeded:
                self._on_read()
                continue
            pause_s = self.pause_s
            # Jitter: hosts that start together must not read together.
            await asyncio.sleep(pause_s * self._rng.uniform(0.9, 1.1))

    async def _wait_for_first_list(self) -> None:
        """Wait a limited time for a first list from a control process.

        Reads by hundreds of hosts that start at once would use up the call
        rate and leave none for the control processes.
        """
        wait_s = FIRST_LIST_WAIT_S * self._rng.uniform(1, 2)
        for _ in range(math.ceil(wait_s / _FIRST_LIST_CHECK_INTERVAL_S)):
            if self._targets.is_known:
                return
            await asyncio.sleep(_FIRST_LIST_CHECK_INTERVAL_S)

    async def _wait_until_stale(self) -> None:
        targets = self._targets
        age_limit_s = self._max_age_s
        if self._on_read is not None:
            age_limit_s *= self._rng.uniform(1, _MAX_AGE_JITTER)
        while targets.is_known and targets.age_s < age_limit_s:
            left_s = age_limit_s - targets.age_s
            await asyncio.sleep(min(left_s, _AGE_CHECK_INTERVAL_S))

    async def _read(self) -> None:
        read_at = self._targets.now()
        try:
            async with asyncio.timeout(_LIST_TIMEOUT_S):
                targets = await self._source.read()
        except (GatewayError, TimeoutError) as error:
            if self._last_read_succeeded:
                log_event('targets.list_lost', error=repr(error))
            self._last_read_succeeded = False
            return
        if not self._last_read_succeeded:
            log_event('targets.list_regained', entries=len(targets))
        self._last_read_succeeded = True
        self._targets.replace_list(targets, read_at)
