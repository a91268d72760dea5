"""Calls to the targets of one batching service, on its owner."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Final, NamedTuple, Protocol

from hornbeamline.batching._metrics import CALL_SECONDS, CALLS, PIECES
from hornbeamline.batching._queue import BatchQueue, IdleTarget, QueuedPiece
from hornbeamline.batching._releases import FreeResults, ResultReleases
from hornbeamline.batching._room import ResultRoom, RoomShare
from hornbeamline.batching._speeds import PieceRate, TargetSpeeds
from hornbeamline.batching._turns import (
    EXPIRED,
    HOPELESS,
    note_given_up,
    note_turns,
)
from hornbeamline.batching._types import BatchTarget, Piece, PieceResult
from hornbeamline.batching.const import (
    CALL_PATIENCE,
    CALL_PATIENCE_MIN_S,
    FETCH_S,
    FULL_S,
    GATHER_S,
    MAX_PIECE_ATTEMPTS,
    MAX_USUAL_SLOWNESS,
)
from hornbeamline.batching.errors import (
    CallDeferredError,
    CallLostError,
    CallRefusedError,
)
from hornbeamline.core import TaskSet
from hornbeamline.helpers.budget import RepeatBudget
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.delayed import DelayedCall
from hornbeamline.telemetry import log_event

FAILURE_LATE: Final = 'late'
FAILURE_LOST: Final = 'lost'
FAILURE_GONE: Final = 'gone'
FAILURE_ROOM: Final = 'room'
# Idle time after which the queue is looked at without an event.
_POLL_S: Final = 0.25


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

    @property
    def results_mb(self) -> float:
        """Return the space for results."""

    @property
    def result_ttl_s(self) -> float:
        """Return how long a result is kept."""


CallTarget = Callable[
    [BatchTarget, Sequence[Piece], Sequence[float], Callable[[], None]],
    Awaitable[list[PieceResult]],
]


def _no_rest(_service: str) -> float:
    return 0


def _no_rates(_service: str) -> Sequence[float]:
    return ()


class TargetAccess(NamedTuple):
    """Targets of the services, and the calls to them."""

    # Those that take calls now.
    of_service: Callable[[str], Sequence[BatchTarget]]
    call: CallTarget
    free: FreeResults
    # Seconds for which all targets of a service rest; 0 without any target.
    rest_left_s: Callable[[str], float] = _no_rest
    # Calls a second that each target of a service takes, infinite where it
    # names no limit; empty when nothing is known.
    call_rates: Callable[[str], Sequence[float]] = _no_rates


_BYTES_PER_MB: Final = 1_000_000


class BatchWorker:
    """Queue of one service and the calls in progress."""

    def __init__(
        self,
        service: str,
        times: BatchTimes,
        access: TargetAccess,
        budget: RepeatBudget,
        clock: Clock,
    ) -> None:
        """Take the service, its targets, the call and the repeat budget."""
        self.service = service
        self._times = times
        self._targets = access.of_service
        self._call = access.call
        self._rest_left_s = access.rest_left_s
        self._call_rates = access.call_rates
        self._releases = ResultReleases(
            access.free,
            lambda: len(self._queue) > 0,
            self._note_freed,
        )
        self._budget = budget
        self._clock = clock
        self._queue = BatchQueue(times.pieces_per_call)
        self._arrived = asyncio.Event()
        # When the calls in progress are expected to end.
        self._ends_by_target: dict[str, float] = {}
        self._speeds = TargetSpeeds(clock)
        self._finished = PieceRate(clock)
        self._share = RoomShare()
        self._room_by_target: dict[str, ResultRoom] = {}
        self._tasks = TaskSet()

    def start(self) -> None:
        """Begin to serve the queue."""
        self._tasks.spawn(self._run(), f'batches {self.service}')
        self._releases.start()

    async def stop(self) -> None:
        """Drop the queue and all calls."""
        await self._releases.stop()
        await self._tasks.cancel_all()

    def update_times(self, times: BatchTimes) -> None:
        """Take the limits of a newer configuration."""
        self._times = times
        self._queue.pieces_per_call = times.pieces_per_call

    def submit(self, pieces: Sequence[QueuedPiece]) -> None:
        """Queue pieces; their futures get the outcomes."""
        self._budget.note_first(self.service)
        self._queue.add(pieces)
        self._arrived.set()

    def waits_by_rank(self) -> dict[int, float]:
        """Return how long a new piece of each queued rank waits.

        Pieces of a more urgent rank than all queued ones wait only while
        all targets rest.
        """
        rate = self.rate()
        rest_s = self._rest_left_s(self.service)
        waits = {
            rank: round(rest_s + self._queue.count_up_to(rank) / rate, 3)
            for rank in self._queue.ranks()
        }
        if rest_s:
            waits.setdefault(0, round(rest_s, 3))
        return waits

    def rate(self) -> float:
        """Return the pieces a second that the targets compute."""
        batch = self._times.pieces_per_call
        calls_per_s = 1 / self._expected_s(batch)
        limits = self._call_rates(self.service)
        if not limits:
            targets = max(len(self._targets(self.service)), 1)
            limits = [math.inf for _ in range(targets)]
        return self._finished.rate(
            batch * sum(min(calls_per_s, limit) for limit in limits),
            is_backlogged=len(self._queue) > len(limits) * batch,
        )

    def release(self, handles: Sequence[str]) -> None:
        """Free results soon."""
        self._releases.add(handles)

    def cancel(self, request_id: str) -> None:
        """Drop the queued pieces of a request."""
        dropped = self._queue.drop_request(request_id)
        if dropped:
            log_event(
                'batching.cancelled',
                request=request_id,
                service=self.service,
                pieces=len(dropped),
            )
        for piece in dropped:
            piece.settle(PieceResult(failure=FAILURE_LATE))

    @property
    def _room_bytes(self) -> float:
        return self._times.results_mb * _BYTES_PER_MB * self._share.share

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
        service_s = self._expected_s(1)
        expired = self._queue.drop_expired(now)
        hopeless = self._queue.drop_hopeless(
            now + self._rest_left_s(self.service),
            service_s,
            self.rate(),
        )
        note_given_up(self.service, expired, EXPIRED, now)
        note_given_up(self.service, hopeless, HOPELESS, now)
        for queued in (*expired, *hopeless):
            queued.settle(PieceResult(failure=FAILURE_LATE))
        idle = self._idle_targets()
        while idle and len(self._queue):
            near = self._queue.first_near(now, service_s)
            target = self._speeds.best(idle, service_s, near)
            idle.remove(target)
            self._fill(target, now)

    def _fill(self, target: BatchTarget, now: float) -> None:
        """Begin a call at an idle target, if there is space for results."""
        room = self._room_by_target.setdefault(target.id, ResultRoom())
        if room.is_full(now):
            return
        slowness = self._speeds.slowness(target.id)
        chosen = self._queue.take(
            now,
            IdleTarget(
                self._expected_s(1) * slowness,
                self._room_bytes - room.used(now),
                target.data_centre,
                self._speeds.places_of_idle(
                    _with_room(
                        self._targets(self.service),
                        self._room_by_target,
                        now,
                    ),
                    self._ends_by_target,
                ),
            ),
        )
        if not chosen:
            return
        room.reserve(_size_of(chosen))
        call_s = self._expected_s(len(chosen)) * slowness
        self._ends_by_target[target.id] = now + call_s
        note_turns(self.service, target.id, chosen, now, call_s)
        self._tasks.spawn(
            self._run_call(target, chosen, self._queue.was_space_short),
            f'batch at {target.id}',
        )

    def _idle_targets(self) -> list[BatchTarget]:
        return [
            target
            for target in self._targets(self.service)
            if target.id not in self._ends_by_target
            and not self._speeds.is_resting(target.id)
        ]

    async def _run_call(
        self,
        target: BatchTarget,
        chosen: list[QueuedPiece],
        was_space_short: bool,
    ) -> None:
        began = self._clock.monotonic()
        slow = self._speeds.slowness(target.id) > MAX_USUAL_SLOWNESS
        used_bytes = self._room_by_target[target.id].used(began)
        for queued in chosen:
            queued.attempts += 1
            queued.is_begun = True
        fetched = DelayedCall(FETCH_S, lambda: _note_fetched(chosen))
        # The call at a slow target is more likely to be given up, and then
        # its pieces need their inputs again.
        on_sent = _do_nothing if slow else fetched.schedule
        try:
            summary = await self._call_target(
                target,
                chosen,
                began,
                on_sent,
                was_space_short,
            )
        finally:
            fetched.cancel()
            self._end_call(target, chosen)
        log_event(
            'batching.call',
            service=self.service,
            target=target.id,
            data_centre=target.data_centre,
            pieces=len(chosen),
            remote=_count_remote(chosen, target.data_centre),
            queued=len(self._queue),
            expected_s=self._expected_s(len(chosen)),
            slowness=self._speeds.slowness(target.id),
            took_s=self._clock.monotonic() - began,
            used_bytes=used_bytes,
            room_bytes=self._room_bytes,
            outcome=summary,
        )

    async def _call_target(
        self,
        target: BatchTarget,
        chosen: list[QueuedPiece],
        began: float,
        on_sent: Callable[[], None],
        was_space_short: bool,
    ) -> str:
        """Call a target and return a summary of the outcome."""
        slowness = self._speeds.slowness(target.id)
        expected_s = self._expected_s(len(chosen)) * slowness
        try:
            async with asyncio.timeout(_patience_s(expected_s)):
                results = await self._call(
                    target,
                    [queued.piece for queued in chosen],
                    [queued.expires_at - began for queued in chosen],
                    on_sent,
                )
        except CallDeferredError as error:
            for queued in chosen:
                queued.attempts -= 1
            CALLS.labels('deferred').inc()
            self._queue_again(chosen, free=True)
            return str(error)
        except CallRefusedError as error:
            self._speeds.rest(target.id)
            CALLS.labels('refused').inc()
            self._queue_again(chosen, free=error.free)
            return str(error)
        except (CallLostError, TimeoutError) as error:
            self._speeds.note_lost(
                target.id,
                self._clock.monotonic() - began,
                self._expected_s(len(chosen)),
            )
            self._speeds.rest(target.id)
            CALLS.labels('lost').inc()
            self._queue_again(chosen, free=False)
            return repr(error)
        self._settle(target, chosen, results)
        self._learn(target, chosen, results, began)
        self._share.note_call(
            was_short=was_space_short,
            had_room=all(made.failure != FAILURE_ROOM for made in results),
        )
        return _summary(results)

    def _end_call(
        self,
        target: BatchTarget,
        chosen: list[QueuedPiece],
    ) -> None:
        self._room_by_target[target.id].unreserve(_size_of(chosen))
        self._ends_by_target.pop(target.id, None)
        self._arrived.set()

    def _learn(
        self,
        target: BatchTarget,
        chosen: list[QueuedPiece],
        results: list[PieceResult],
        began: float,
    ) -> None:
        now = self._clock.monotonic()
        CALLS.labels('answered').inc()
        CALL_SECONDS.observe(now - began)
        for outcome in results:
            PIECES.labels(outcome.failure or 'computed').inc()
        self._finished.note_call(len(chosen))
        computed = sum(bool(made.handle) for made in results)
        if computed:
            self._speeds.recovered(target.id)
            self._speeds.note_call(
                target.id,
                now - began,
                self._expected_s(computed),
            )

    def _settle(
        self,
        target: BatchTarget,
        chosen: list[QueuedPiece],
        results: list[PieceResult],
    ) -> None:
        again = []
        room = self._room_by_target[target.id]
        now = self._clock.monotonic()
        expires_at = now + self._times.result_ttl_s
        for queued, outcome in zip(chosen, results, strict=True):
            if outcome.handle:
                room.hold(outcome.handle, queued.result_bytes, now, expires_at)
                if queued.is_abandoned:
                    self.release([outcome.handle])
            if outcome.failure == FAILURE_ROOM:
                room.note_full(now + FULL_S)
            if outcome.failure in {'', FAILURE_LATE, FAILURE_GONE}:
                queued.settle(outcome)
            else:
                again.append(queued)
        self._queue_again(again, free=False)

    def _queue_again(self, chosen: list[QueuedPiece], free: bool) -> None:
        wanted = [queued for queued in chosen if not queued.is_abandoned]
        if not wanted:
            return
        for queued in wanted:
            exhausted = queued.attempts >= MAX_PIECE_ATTEMPTS
            allowed = free or self._budget.take(self.service)
            if exhausted or not allowed:
                queued.settle(PieceResult(failure=FAILURE_LOST))
            else:
                self._queue.add([queued])
        self._arrived.set()

    def _note_freed(self, handles: Sequence[str]) -> None:
        now = self._clock.monotonic()
        held_s = [
            held
            for room in self._room_by_target.values()
            for held in room.free(handles, now)
        ]
        log_event(
            'batching.freed',
            service=self.service,
            results=len(handles),
            held_s=max(held_s, default=0),
        )
        self._arrived.set()

    def _expected_s(self, pieces: int) -> float:
        return self._times.call_s + pieces * self._times.piece_s


def _with_room(
    targets: Sequence[BatchTarget],
    rooms: Mapping[str, ResultRoom],
    now: float,
) -> list[BatchTarget]:
    """Return the targets that have not just refused results."""
    return [
        target
        for target in targets
        if target.id not in rooms or not rooms[target.id].is_full(now)
    ]


def _do_nothing() -> None:
    """Stand for the release of inputs that stay."""


def _patience_s(expected_s: float) -> float:
    """Return after how long a call is given up."""
    return max(expected_s * CALL_PATIENCE, expected_s + CALL_PATIENCE_MIN_S)


def _note_fetched(chosen: Sequence[QueuedPiece]) -> None:
    """Let large inputs go; small ones stay for another attempt."""
    for queued in chosen:
        if queued.holds_much:
            queued.note_fetched()


def _count_remote(chosen: Sequence[QueuedPiece], data_centre: str) -> int:
    """Return the pieces that are better computed elsewhere."""
    return sum(queued.near not in {'', data_centre} for queued in chosen)


def _summary(results: Sequence[PieceResult]) -> str:
    failures = sorted(outcome.failure for outcome in results if outcome.failure)
    return ','.join(failures) or 'done'


def _size_of(chosen: Sequence[QueuedPiece]) -> int:
    return sum(queued.result_bytes for queued in chosen)
