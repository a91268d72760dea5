"""Ledger service of the leader: batches, reads and session expiry."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence

from hornbeamline.control_link import LeaderServer
from hornbeamline.core import TaskSet
from hornbeamline.exceptions import ReplicatedLogError
from hornbeamline.helpers.batching import Batcher
from hornbeamline.helpers.clock import MS_PER_S, Clock
from hornbeamline.helpers.codec import decode, encode
from hornbeamline.ledger._machine import LedgerMachine
from hornbeamline.ledger._messages import (
    CommandRequest,
    LookupReply,
    LookupRequest,
    RenewReply,
    RenewSession,
)
from hornbeamline.ledger._metrics import (
    OPERATIONS,
    PROPOSALS,
    SESSIONS_EXPIRED,
)
from hornbeamline.ledger._operations import (
    KIND_CLOSE,
    STATUS_INVALID,
    Batch,
    CloseSession,
    Operation,
    OperationResult,
    make_operation,
)
from hornbeamline.ledger._types import ClaimView
from hornbeamline.ledger.const import (
    MACHINE_NAME,
    MAX_BATCH,
    MAX_LONG_POLL_S,
    MAX_TICK_GAP_S,
    SESSION_TIMEOUT_S,
    TICK_INTERVAL_S,
)
from hornbeamline.replog import NotLeaderError, ReplicatedLog
from hornbeamline.telemetry import log_event


class LedgerService:
    """Serves the ledger on a control host; acts only on the leader."""

    def __init__(
        self,
        log: ReplicatedLog,
        server: LeaderServer,
        clock: Clock,
        session_timeout_s: float = SESSION_TIMEOUT_S,
    ) -> None:
        """Register the state machine; must run before the log starts."""
        self.machine = LedgerMachine()
        self._log = log
        self._clock = clock
        self._session_timeout_s = session_timeout_s
        self._tasks = TaskSet()
        self._commands: Batcher[Operation, OperationResult]
        self._commands = Batcher(self._propose, MAX_BATCH)
        self._barriers: Batcher[None, None]
        self._barriers = Batcher(self._run_read_barrier, MAX_BATCH)
        self._waiters: dict[tuple[str, str], set[asyncio.Event]] = {}
        self._renewed_at: dict[int, float] = {}
        # Ledger time (ms) and monotonic time (s) at the start of this
        # leadership; None until this host has caught up as the leader.
        self._time_base: tuple[int, float] | None = None
        self._leader_changed = asyncio.Event()
        log.register_state_machine(MACHINE_NAME, self.machine)
        log.on_leadership(self._on_leadership)
        self.machine.on_ended(self._wake_waiters)
        server.register_handler(CommandRequest, self._on_command)
        server.register_handler(RenewSession, self._on_renew)
        server.register_handler(LookupRequest, self._on_lookup)

    async def start(self) -> None:
        """Start to expire sessions and claims in the background."""
        self._tasks.keep_running(self._run_ticks, 'ledger watch')

    async def stop(self) -> None:
        """Stop the background task."""
        await self._tasks.cancel_all()

    def _on_leadership(self, _is_leader: bool) -> None:
        self._time_base = None
        self._renewed_at.clear()
        self._leader_changed.set()

    def _now_ms(self) -> int:
        # Ledger time continues from that of the previous leader by this
        # leader's monotonic clock, so that a wrong wall clock cannot expire
        # outcomes early. Time without a leader does not count.
        if self._time_base is None:
            raise NotLeaderError(None)
        base_ms, base_s = self._time_base
        elapsed_s = self._clock.monotonic() - base_s
        return base_ms + int(elapsed_s * MS_PER_S)

    async def _propose(
        self,
        operations: list[Operation],
    ) -> Sequence[OperationResult]:
        command = encode(Batch(self._now_ms(), operations))
        PROPOSALS.inc()
        answer = await self._log.propose(MACHINE_NAME, command)
        results = decode(answer, list[OperationResult])
        for entry, result in zip(operations, results, strict=True):
            # Only known kinds become label values, to bound their number.
            is_known = result.status != STATUS_INVALID
            kind = entry.kind if is_known else STATUS_INVALID
            OPERATIONS.labels(kind, result.status).inc()
        return results

    async def _run_read_barrier(self, waiting: list[None]) -> Sequence[None]:
        await self._log.read_barrier()
        return waiting

    async def _on_command(self, request: CommandRequest) -> OperationResult:
        return await self._commands.submit(
            Operation(request.kind, request.body),
        )

    async def _on_renew(self, request: RenewSession) -> RenewReply:
        if self._time_base is None:
            raise NotLeaderError(None)
        if request.epoch not in self.machine.sessions_by_epoch:
            # A deposed leader may not know a session that its successor has
            # opened.
            await self._barriers.submit(None)
        is_live = request.epoch in self.machine.sessions_by_epoch
        if is_live:
            self._renewed_at[request.epoch] = self._clock.monotonic()
        return RenewReply(is_live, self._session_timeout_s)

    async def _on_lookup(self, request: LookupRequest) -> LookupReply:
        view = await self._read(request)
        if request.wait_s <= 0 or view is None or view.outcome is not None:
            return LookupReply(view)
        reference = (request.account, request.request_key)
        ended = asyncio.Event()
        waiters = self._waiters.setdefault(reference, set())
        waiters.add(ended)
        try:
            async with asyncio.timeout(min(request.wait_s, MAX_LONG_POLL_S)):
                await ended.wait()
        except TimeoutError:
            return LookupReply(await self._read(request))
        finally:
            waiters.discard(ended)
            if not waiters:
                self._waiters.pop(reference, None)
        return LookupReply(await self._read(request))

    async def _read(self, request: LookupRequest) -> ClaimView | None:
        await self._barriers.submit(None)
        return self.machine.view(request.account, request.request_key)

    def _wake_waiters(self, account: str, request_key: str) -> None:
        for waiter in self._waiters.get((account, request_key), ()):
            waiter.set()

    async def _run_ticks(self) -> None:
        last_s = self._clock.monotonic()
        while True:
            await self._wait_for_tick()
            now_s = self._clock.monotonic()
            if now_s - last_s > MAX_TICK_GAP_S:
                # The process was suspended and may have renewals that it has
                # not read yet.
                self._renewed_at.clear()
            last_s = now_s
            if self._log.is_leader:
                try:
                    await self._tick()
                except ReplicatedLogError as error:
                    log_event('ledger.watch_failed', error=str(error))

    async def _wait_for_tick(self) -> None:
        # A new leader does not wait for the next tick, because it refuses
        # all commands until it has caught up.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TICK_INTERVAL_S):
                await self._leader_changed.wait()
        self._leader_changed.clear()

    async def _tick(self) -> None:
        if self._time_base is None:
            # Commands of earlier leaders must be applied before this host
            # expires sessions or continues the ledger time.
            await self._barriers.submit(None)
            self._time_base = (self.machine.now_ms, self._clock.monotonic())
        due_ms = self.machine.next_due_ms
        expired = self._expired_sessions()
        if due_ms is not None and due_ms <= self._now_ms() and not expired:
            await self._propose([])
        for epoch in expired:
            log_event('ledger.session_expired', epoch=epoch)
            SESSIONS_EXPIRED.inc()
            await self._commands.submit(
                make_operation(KIND_CLOSE, CloseSession(epoch)),
            )

    def _expired_sessions(self) -> list[int]:
        now_s = self._clock.monotonic()
        live = self.machine.sessions_by_epoch
        for closed in self._renewed_at.keys() - live.keys():
            self._renewed_at.pop(closed)
        # A session that is new to this leader gets the full timeout.
        return [
            epoch
            for epoch in live
            if now_s - self._renewed_at.setdefault(epoch, now_s)
            > self._session_timeout_s
        ]
