"""Control-process side: passes evidence on to all entry hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from hornbeamline.core import TaskSet
from hornbeamline.helpers.clock import Clock
from hornbeamline.peering import Peering
from hornbeamline.quarantine._contents import find_crashing
from hornbeamline.quarantine._evidence import EvidenceTable
from hornbeamline.quarantine._messages import (
    EvidencePush,
    EvidenceSync,
    EvidenceSyncReply,
)
from hornbeamline.quarantine._types import Verdict
from hornbeamline.quarantine._verdicts import verdict_of
from hornbeamline.quarantine.const import SPREAD_DELAY_S
from hornbeamline.telemetry import log_event


class QuarantineRelay:
    """Service that holds the evidence of all hosts and passes it on."""

    def __init__(
        self,
        peering: Peering,
        clock: Clock,
        hosts: Callable[[], Iterable[str]],
    ) -> None:
        """Register the message handlers.

        `hosts` returns the names of the present entry processes.
        """
        self._peering = peering
        self._clock = clock
        self._hosts = hosts
        self.table = EvidenceTable(clock)
        self._tasks = TaskSet()
        self._is_spreading = False
        peering.on(EvidencePush, self._on_push)
        peering.on(EvidenceSync, self._on_sync)

    async def start(self) -> None:
        """Do nothing: the service acts on messages."""

    async def stop(self) -> None:
        """Cancel what is to be passed on."""
        await self._tasks.cancel_all()

    def verdicts(self) -> list[Verdict]:
        """Return the verdicts in force; their times are on this clock."""
        self.table.expire()
        now = self._clock.monotonic()
        findings = find_crashing(self.table.marks, self.table.begun_parts)
        verdicts = [
            verdict_of(finding)
            for finding in findings.values()
            if finding.is_named
        ]
        return [verdict for verdict in verdicts if verdict.until > now]

    def left_s(self, verdict: Verdict) -> float:
        """Return the seconds until a verdict ends."""
        return verdict.until - self._clock.monotonic()

    def lift(self, part: str) -> None:
        """Remove the evidence on a part at all hosts."""
        log_event('quarantine.lifted', part=part)
        self.table.lift(part)
        self._spread()

    async def _on_push(self, _sender: str, push: EvidencePush) -> None:
        if self.table.merge(push.report):
            self._spread()

    async def _on_sync(
        self, _sender: str, request: EvidenceSync
    ) -> EvidenceSyncReply:
        self.table.expire()
        if request.digest == self.table.digest:
            return EvidenceSyncReply(None)
        return EvidenceSyncReply(self.table.export())

    def _spread(self) -> None:
        if self._is_spreading:
            return
        self._is_spreading = True
        self._tasks.spawn(self._push_soon(), 'quarantine spread')

    async def _push_soon(self) -> None:
        await asyncio.sleep(SPREAD_DELAY_S)
        self._is_spreading = False
        push = EvidencePush(self.table.export())
        for host in self._hosts():
            self._peering.send(host, push)
