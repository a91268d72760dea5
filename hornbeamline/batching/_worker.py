"""Calls to the targets of one batching service, on its owner."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, Protocol

from hornbeamline.batching._queue import BatchQueue, QueuedPiece
from hornbeamline.batching._types import Piece, PieceResult
from hornbeamline.batching.const import (
    CALL_PATIENCE,
    CALL_PATIENCE_MIN_S,
    GATHER_S,
    MAX_PIECE_ATTEMPTS,
    REST_S,
    SPEED_WEIGHT,
)
from hornbeamline.batching.errors import CallLostError, CallRefusedError
from hornbeamline.core import TaskSet
from hornbeamline.helpers.clock import Clock
from hornbeamline.telemetry import log_event

FAILURE_LATE: Final = 'late'
FAILURE_LOST: Final = 'lost'
FAILURE_GONE: Final = 'gone'
# Idle time after which the queue is looked at without an event.
_POLL_S: Final = 0.25


class BatchTarget(Protocol):
    """What the worker needs to know of a target."""

    @property
    def id(self) -> str:
        """Return the id of this start of the target."""


class BatchTimes(Protocol):
    """Times of calls of one service."""

    @property
    def pieces_per_call(self) -> int:
        """Return the most pieces of a call."""

    @property
    def call_s(self) -> float:
        """Return the time of a call without pieces."""

    @property
    def piece_s(self) -> float:
        """Return the time that a piece adds."""


CallTarget = Callable[
    [BatchTarget, Sequence[Piece], Sequence[float]],
    Awaitable[list[PieceResult]],
]


class BatchWorker:
    """Queue of one service and the calls in progress."""

    def __init__(
        self,
        service: str,
        times: BatchTimes,
        targets: Callable[[], Sequence[BatchTarget]],
        call: CallTarget,
        take_repeats: Callable[[str, int], bool],
        clock: Clock,
    ) -> None:
        """Take the service, its targets, the call and the repeat budget."""
        self.service = service
        self._times = times
        self._targets = targets
        self._call = call
        self._take_repeats = take_repeats
        self._clock = clock
        self._queue = BatchQueue(times.pieces_per_call)
        self._arrived = asyncio.Event()
        self._busy: set[str] = set()
        self._rests_until_by_target: dict[str, float] = {}
        self._slowness_by_target: dict[str, float] = {}
        self._tasks = TaskSet()

    def start(self) -> None:
        """Begin to serve the queue."""
        self._tasks.spawn(self._run(), f'batches {self.service}')

    async def stop(self) -> None:
        """Drop the queue and all calls."""
        await self._tasks.cancel_all()

    def update_times(self, times: BatchTimes) -> None:
        """Take the limits of a newer configuration."""
        self._times = times
        self._queue.pieces_per_call = times.pieces_per_call

    def submit(self, pieces: Sequence[QueuedPiece]) -> None:
        """Queue pieces; their futures get the outcomes."""
        self._queue.add(pieces)
        self._arrived.set()

    def cancel(self, request_id: str) -> None:
        """Drop the queued pieces of a request."""
        dropped = self._queue.drop_request(request_id)
        if dropped:
            log_event(
                'batching.cancelled',
                request=request_id,
                service=self.service,
                pieces=dropped,
            )

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_POLL_S):
                    await self._arrived.wait()
            except TimeoutError:
                pass
            else:
                await asyncio.sleep(GATHER_S)
            self._arrived.clear()
            self._fill_targets()

    def _fill_targets(self) -> None:
        now = self._clock.monotonic()
        for expired in self._queue.drop_expired(now):
            expired.settle(PieceResult(failure=FAILURE_LATE))
        for target in self._idle_targets(now):
            if not len(self._queue):
                return
            slowness = self._slowness(target)
            chosen = self._queue.take(now, self._expected_s(1) * slowness)
            self._busy.add(target.id)
            self._tasks.spawn(
                self._run_call(target, chosen),
                f'batch at {target.id}',
            )

    def _idle_targets(self, now: float) -> list[BatchTarget]:
        idle = [
            target
            for target in self._targets()
            if target.id not in self._busy
            and self._rests_until_by_target.get(target.id, 0) <= now
        ]
        return sorted(idle, key=self._slowness)

    async def _run_call(
        self,
        target: BatchTarget,
        chosen: list[QueuedPiece],
    ) -> None:
        began = self._clock.monotonic()
        expected_s = self._expected_s(len(chosen)) * self._slowness(target)
        patience_s = max(
            expected_s * CALL_PATIENCE,
            expected_s + CALL_PATIENCE_MIN_S,
        )
        for queued in chosen:
            queued.attempts += 1
        outcome = 'done'
        try:
            async with asyncio.timeout(patience_s):
                results = await self._call(
                    target,
                    [queued.piece for queued in chosen],
                    [queued.expires_at - began for queued in chosen],
                )
            self._settle(chosen, results)
            self._note_speed(target, len(chosen), began)
        except CallRefusedError as error:
            outcome = str(error)
            self._rest(target)
            self._queue_again(chosen, error.free)
        except (CallLostError, TimeoutError) as error:
            outcome = repr(error)
            self._note_speed(target, len(chosen), began)
            self._rest(target)
            self._queue_again(chosen, free=False)
        finally:
            self._busy.discard(target.id)
            self._arrived.set()
        log_event(
            'batching.call',
            service=self.service,
            target=target.id,
            pieces=len(chosen),
            queued=len(self._queue),
            expected_s=expected_s,
            took_s=self._clock.monotonic() - began,
            outcome=outcome,
        )

    def _settle(
        self,
        chosen: list[QueuedPiece],
        results: list[PieceResult],
    ) -> None:
        again = []
        for queued, outcome in zip(chosen, results, strict=True):
            if outcome.failure in {'', FAILURE_LATE, FAILURE_GONE}:
                queued.settle(outcome)
            else:
                again.append(queued)
        self._queue_again(again, free=False)

    def _queue_again(self, chosen: list[QueuedPiece], free: bool) -> None:
        wanted = [queued for queued in chosen if not queued.is_abandoned]
        if not wanted:
            return
        exhausted = any(
            queued.attempts >= MAX_PIECE_ATTEMPTS for queued in wanted
        )
        # A whole call counts as one arrival at the service.
        if exhausted or not self._take_repeats(self.service, 1):
            for queued in wanted:
                queued.settle(PieceResult(failure=FAILURE_LOST))
            return
        self._queue.add(wanted)
        self._arrived.set()

    def _expected_s(self, pieces: int) -> float:
        return self._times.call_s + pieces * self._times.piece_s

    def _slowness(self, target: BatchTarget) -> float:
        return self._slowness_by_target.get(target.id, 1.0)

    def _note_speed(
        self,
        target: BatchTarget,
        pieces: int,
        began: float,
    ) -> None:
        took_s = self._clock.monotonic() - began
        ratio = max(took_s / self._expected_s(pieces), 0.5)
        before = self._slowness(target)
        self._slowness_by_target[target.id] = (
            1 - SPEED_WEIGHT
        ) * before + SPEED_WEIGHT * ratio

    def _rest(self, target: BatchTarget) -> None:
        self._rests_until_by_target[target.id] = (
            self._clock.monotonic() + REST_S
        )
