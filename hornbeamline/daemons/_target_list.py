"""Reads the list of targets again and again."""

from __future__ import annotations

import asyncio
import random
from typing import Final, Protocol

from hornbeamline.core import TaskSet
from hornbeamline.exceptions import GatewayError
from hornbeamline.gateway import Target, TargetDirectory
from hornbeamline.telemetry import log_event

_LIST_TIMEOUT_S: Final = 0.9
_FIRST_READS_S: Final = 0.25
# Share of the allowed calls to the list that the pauses aim at.
_RATE_SHARE: Final = 0.7
# Time between two looks at the age of a list that came from elsewhere.
_FRESH_CHECK_S: Final = 0.2


class ReadTargets(Protocol):
    """The platform's list of targets."""

    @property
    def calls(self) -> int:
        """Return the number of calls that the last read took."""

    async def read(self) -> list[Target]:
        """Return the whole list; raises `GatewayError`."""


class ListPoller:
    """Reads the list again and again."""

    def __init__(
        self,
        source: ReadTargets,
        targets: TargetDirectory,
        interval_s: float,
        rate_per_s: float,
        rng: random.Random,
        fresh_s: float = 0,
    ) -> None:
        """Take the list, what follows it, pause and rate of the reads.

        `rate_per_s` bounds the calls of all hosts together. A list that
        came from elsewhere and is younger than `fresh_s` is not read.
        """
        self._source = source
        self._targets = targets
        self._interval_s = interval_s
        self._rate_per_s = rate_per_s * _RATE_SHARE
        self._hosts = 1
        self._rng = rng
        self._fresh_s = fresh_s
        self._tasks = TaskSet()
        self._works = False

    async def start(self) -> None:
        """Begin to read."""
        self._tasks.spawn(self._run(), 'target list')

    async def stop(self) -> None:
        """Stop reading."""
        await self._tasks.cancel_all()

    def note_hosts(self, count: int) -> None:
        """Take the number of hosts that read the list."""
        self._hosts = max(count, 1)

    @property
    def pause_s(self) -> float:
        """Return the pause between two reads."""
        pause_s = self._interval_s if self._works else _FIRST_READS_S
        calls = self._hosts * self._source.calls
        return max(pause_s, calls / self._rate_per_s)

    async def _run(self) -> None:
        while True:
            if self._is_fresh:
                await asyncio.sleep(_FRESH_CHECK_S)
                continue
            await self._read()
            pause_s = self.pause_s
            # Hosts that start together must not read together.
            await asyncio.sleep(pause_s * self._rng.uniform(0.9, 1.1))

    @property
    def _is_fresh(self) -> bool:
        return self._targets.is_known and self._targets.age_s < self._fresh_s

    async def _read(self) -> None:
        try:
            async with asyncio.timeout(_LIST_TIMEOUT_S):
                targets = await self._source.read()
        except (GatewayError, TimeoutError) as error:
            if self._works:
                log_event('targets.list_lost', error=repr(error))
            self._works = False
            return
        if not self._works:
            log_event('targets.list_regained', entries=len(targets))
        self._works = True
        self._targets.take_list(targets)
