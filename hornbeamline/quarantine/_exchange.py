"""Entry-host side: exchanges evidence with control processes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

from hornbeamline.core import TaskSet
from hornbeamline.exceptions import PeeringError
from hornbeamline.helpers.clock import Clock
from hornbeamline.peering import Peering
from hornbeamline.quarantine._messages import (
    EvidencePush,
    EvidenceSync,
    EvidenceSyncReply,
)
from hornbeamline.quarantine._quarantine import PartQuarantine
from hornbeamline.quarantine.const import (
    FIRST_SYNC_INTERVAL_S,
    MAX_TURN,
    SYNC_INTERVAL_S,
    SYNC_TIMEOUT_S,
)
from hornbeamline.telemetry import log_event


class QuarantineExchange:
    """Service that spreads evidence through the control processes.

    New evidence goes to all of them at once. Each second, the evidence is
    compared with one of them, which covers lost messages, restarts of either
    side and hosts that join.
    """

    def __init__(
        self,
        peering: Peering,
        quarantine: PartQuarantine,
        controls: Callable[[], Sequence[str]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Register the message handler.

        `controls` returns the names of the present control processes.
        """
        self._peering = peering
        self._quarantine = quarantine
        self._controls = controls
        self._clock = clock
        # Hosts begin with different control processes.
        self._turn = rng.randrange(MAX_TURN)
        self._tasks = TaskSet()
        quarantine.on_evidence = self._push
        peering.on(EvidencePush, self._on_push)

    async def start(self) -> None:
        """Start to compare the evidence with control processes."""
        self._tasks.keep_running(self._sync_forever, 'quarantine sync')

    async def stop(self) -> None:
        """Stop comparing the evidence."""
        await self._tasks.cancel_all()

    def _push(self) -> None:
        push = EvidencePush(self._quarantine.export())
        for control in self._controls():
            self._peering.send(control, push)

    async def _on_push(self, _sender: str, push: EvidencePush) -> None:
        self._quarantine.merge(push.report)

    async def _sync_forever(self) -> None:
        await self._sync_first()
        while True:
            await asyncio.sleep(SYNC_INTERVAL_S)
            self._quarantine.expire()
            controls = self._controls()
            if controls:
                # In turn, so that each control process gets the evidence.
                self._turn += 1
                await self._sync(controls[self._turn % len(controls)])

    async def _sync_first(self) -> None:
        """Learn the verdicts in force before the first requests are sent.

        Asks each control process as soon as it answers: one that has just
        started itself knows nothing.
        """
        asked: set[str] = set()
        until = self._clock.monotonic() + SYNC_INTERVAL_S
        while not asked or self._clock.monotonic() < until:
            for control in self._controls():
                if control not in asked:
                    asked.add(control)
                    await self._sync(control)
            await asyncio.sleep(FIRST_SYNC_INTERVAL_S)

    async def _sync(self, control: str) -> None:
        try:
            reply = await self._peering.call(
                control,
                EvidenceSync(self._quarantine.digest),
                EvidenceSyncReply,
                SYNC_TIMEOUT_S,
            )
        except PeeringError as error:
            log_event('quarantine.sync_lost', control=control, error=str(error))
            return
        if reply.report is not None:
            self._quarantine.merge(reply.report)
            self._peering.send(control, EvidencePush(self._quarantine.export()))
