"""Dispatch of batched calls to the targets of one service, on its owner."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Final, NamedTuple, Protocol

from hornbeamline.batching._dispatch_log import (
    EXPIRED,
    HOPELESS,
    record_dispatches,
    record_given_up,
)
from hornbeamline.batching._metrics import CALL_SECONDS, CALLS, PIECES
from hornbeamline.batching._queue import BatchQueue, IdleTarget, QueuedPiece
from hornbeamline.batching._releases import FreeResults, ResultReleases
from hornbeamline.batching._result_space import ResultSpace, SpaceShare
from hornbeamline.batching._speeds import PieceRate, TargetSpeeds
from hornbeamline.batching._types import (
    BatchTarget,
    CallTimes,
    Piece,
    PieceResult,
    call_duration_s,
)
from hornbeamline.batching.const import (
    BATCH_WINDOW_S,
    CALL_TIMEOUT_FACTOR,
    INPUT_FETCH_S,
    MAX_PIECE_ATTEMPTS,
    MAX_USUAL_SLOWNESS,
    MIN_CALL_TIMEOUT_MARGIN_S,
    MIN_PIECES_PER_S,
)
from hornbeamline.batching.errors import (
    CallDeferredError,
    CallLostError,
    CallRefusedError,
)
from hornbeamline.core import TaskSet
from hornbeamline.helpers.budget import RetryBudget
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.delayed import DelayedCall
from hornbeamline.telemetry import log_event

FAILURE_LATE: Final = 'late'
FAILURE_LOST: Final = 'lost'
FAILURE_GONE: Final = 'gone'
FAILURE_NO_SPACE: Final = 'room'
# Longest time between two checks of the queue when no event arrives.
_POLL_S: Final = 0.25


class BatchProfile(CallTimes, Protocol):
    """Call durations and limits of one service."""

    @property
    def pieces_per_call(self) -> int:
        """Return the maximum number of pieces per call."""

    @property
    def results_mb(self) -> float:
        """Return the space for results at a target in megabytes."""

    @property
    def result_ttl_s(self) -> float:
        """Return the seconds after which a target evicts a result."""


CallTarget = Callable[
    [BatchTarget, Sequence[Piece], Sequence[float], Callable[[], None]],
    Awaitable[list[PieceResult]],
]


def _no_pause(_service: str) -> float:
    return 0


def _no_rates(_service: str) -> Sequence[float]:
    return ()


def _not_evacuated(_service: str) -> bool:
    return False


class TargetAccess(NamedTuple):
    """Access to the targets of the services."""

    # Targets of a service that accept calls now.
    of_service: Callable[[str], Sequence[BatchTarget]]
    call: CallTarget
    free: FreeResults
    # Seconds until the first target of a service accepts calls again while
    # all are paused; 0 if a target is not paused or there is none.
    pause_left_s: Callable[[str], float] = _no_pause
    # Rate limit of each target of a service in calls per second, infinite
    # for a target without a limit; empty if nothing is known.
    call_rates: Callable[[str], Sequence[float]] = _no_rates
    # Whether all targets of a service are in evacuated data centres.
    is_evacuated: Callable[[str], bool] = _not_evacuated


_BYTES_PER_MB: Final = 1_000_000


class BatchWorker:
    """Queue the pieces of one service and run its calls."""

    def __init__(
        self,
        service: str,
        profile: BatchProfile,
        access: TargetAccess,
        budget: RetryBudget,
        clock: Clock,
    ) -> None:
        """Prepare an empty queue; `budget` bounds the retried pieces."""
        self.service = service
        self._profile = profile
        self._targets = access.of_service
        self._call = access.call
        self._pause_left_s = access.pause_left_s
        self._call_rates = access.call_rates
        self._is_evacuated = access.is_evacuated
        self._releases = ResultReleases(
            access.free,
            lambda: len(self._queue) > 0,
            self._note_freed,
        )
        self._budget = budget
        self._clock = clock
        self._queue = BatchQueue(profile.pieces_per_call)
        self._wakeup = asyncio.Event()
        # Expected ends of the calls in flight.
        self._ends_by_target: dict[str, float] = {}
        self._speeds = TargetSpeeds(clock)
        self._piece_rate = PieceRate(clock)
        self._space_share = SpaceShare()
        self._space_by_target: dict[str, ResultSpace] = {}
        self._tasks = TaskSet()

    def start(self) -> None:
        """Start to dispatch queued pieces."""
        self._tasks.keep_running(self._run, f'batches {self.service}')
        self._releases.start()

    async def stop(self) -> None:
        """Cancel all calls and releases."""
        await self._releases.stop()
        await self._tasks.cancel_all()

    def update_profile(self, profile: BatchProfile) -> None:
        """Apply the profile of a newer configuration."""
        self._profile = profile
        self._queue.pieces_per_call = profile.pieces_per_call

    def submit(self, pieces: Sequence[QueuedPiece]) -> None:
        """Queue pieces; the outcomes are set on their futures."""
        self._budget.record_first_attempts(self.service)
        self._queue.add(pieces)
        self._wakeup.set()

    def waits_by_rank(self) -> dict[int, float]:
        """Return the expected queueing time of a new piece by rank.

        Pieces of a more urgent rank than all queued ones wait only while
        all targets are paused.
        """
        rate = self.rate()
        pause_s = self._pause_left_s(self.service)
        waits = {
            rank: round(pause_s + self._queue.count_up_to(rank) / rate, 3)
            for rank in self._queue.ranks()
        }
        if pause_s:
            waits.setdefault(0, round(pause_s, 3))
        return waits

    def rate(self) -> float:
        """Return the pieces per second that the targets compute.

        Always positive, also while targets state limits of 0.
        """
        batch = self._profile.pieces_per_call
        calls_per_s = 1 / self._expected_s(batch)
        limits = self._call_rates(self.service)
        if not limits:
            targets = max(len(self._targets(self.service)), 1)
            limits = [math.inf for _ in range(targets)]
        rate = self._piece_rate.rate(
            batch * sum(min(calls_per_s, limit) for limit in limits),
            is_backlogged=len(self._queue) > len(limits) * batch,
        )
        return max(rate, MIN_PIECES_PER_S)

    def release(self, handles: Sequence[str]) -> None:
        """Schedule the release of results."""
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
    def _usable_bytes(self) -> float:
        return (
            self._profile.results_mb * _BYTES_PER_MB * self._space_share.share
        )

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_POLL_S):
                    await self._wakeup.wait()
            except TimeoutError:
                pass
            else:
                await asyncio.sleep(BATCH_WINDOW_S)
            self._wakeup.clear()
            self._dispatch_calls()

    def _dispatch_calls(self) -> None:
        now = self._clock.monotonic()
        single_piece_call_s = self._expected_s(1)
        expired = self._queue.drop_expired(now)
        if self._is_evacuated(self.service):
            hopeless = self._queue.drop_all()
        else:
            hopeless = self._queue.drop_hopeless(
                now + self._pause_left_s(self.service),
                single_piece_call_s,
                self.rate(),
            )
        record_given_up(self.service, expired, EXPIRED, now)
        record_given_up(self.service, hopeless, HOPELESS, now)
        for queued in (*expired, *hopeless):
            queued.settle(PieceResult(failure=FAILURE_LATE))
        idle = self._idle_targets()
        while idle and len(self._queue):
            preferred_data_centre = self._queue.first_preference(
                now, single_piece_call_s
            )
            target = self._speeds.best(
                idle, single_piece_call_s, preferred_data_centre
            )
            idle.remove(target)
            self._dispatch(target, now)

    def _dispatch(self, target: BatchTarget, now: float) -> None:
        """Start a call at an idle target if it has space for results."""
        space = self._space_by_target.setdefault(
            target.id, ResultSpace(self._profile.result_ttl_s)
        )
        if space.is_full(now):
            return
        slowness = self._speeds.slowness(target.id)
        chosen = self._queue.take(
            now,
            IdleTarget(
                self._expected_s(1) * slowness,
                self._usable_bytes - space.used(now),
                target.data_centre,
                self._speeds.soon_idle_data_centres(
                    _with_space(
                        self._targets(self.service),
                        self._space_by_target,
                        now,
                    ),
                    self._ends_by_target,
                ),
            ),
        )
        if not chosen:
            return
        space.reserve(_size_of(chosen), now)
        call_s = self._expected_s(len(chosen)) * slowness
        self._ends_by_target[target.id] = now + call_s
        record_dispatches(self.service, target.id, chosen, now, call_s)
        self._tasks.spawn(
            self._run_call(target, chosen, self._queue.was_limited_by_space),
            f'batch at {target.id}',
        )

    def _idle_targets(self) -> list[BatchTarget]:
        return [
            target
            for target in self._targets(self.service)
            if target.id not in self._ends_by_target
            and not self._speeds.is_cooling_down(target.id)
        ]

    async def _run_call(
        self,
        target: BatchTarget,
        chosen: list[QueuedPiece],
        was_limited_by_space: bool,
    ) -> None:
        began = self._clock.monotonic()
        is_slow = self._speeds.slowness(target.id) > MAX_USUAL_SLOWNESS
        used_bytes = self._space_by_target[target.id].used(began)
        for queued in chosen:
            queued.attempts += 1
            queued.is_started = True
        fetched = DelayedCall(INPUT_FETCH_S, lambda: _note_fetched(chosen))
        # A call to a slow target is more likely to time out, and a retry
        # of its pieces needs the inputs again.
        on_sent = _do_nothing if is_slow else fetched.schedule
        try:
            summary = await self._call_target(
                target,
                chosen,
                began,
                on_sent,
                was_limited_by_space,
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
            room_bytes=self._usable_bytes,
            outcome=summary,
        )

    async def _call_target(
        self,
        target: BatchTarget,
        chosen: list[QueuedPiece],
        began: float,
        on_sent: Callable[[], None],
        was_limited_by_space: bool,
    ) -> str:
        """Call a target and return a summary of the outcome."""
        slowness = self._speeds.slowness(target.id)
        expected_s = self._expected_s(len(chosen)) * slowness
        try:
            async with asyncio.timeout(_call_timeout_s(expected_s)):
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
            self._requeue(chosen, exempt_from_budget=True)
            return str(error)
        except CallRefusedError as error:
            self._speeds.start_cooldown(target.id)
            CALLS.labels('refused').inc()
            self._requeue(chosen, exempt_from_budget=error.exempt_from_budget)
            return str(error)
        except (CallLostError, TimeoutError) as error:
            self._speeds.note_lost(
                target.id,
                self._clock.monotonic() - began,
                self._expected_s(len(chosen)),
            )
            self._speeds.start_cooldown(target.id)
            CALLS.labels('lost').inc()
            self._requeue(chosen, exempt_from_budget=False)
            return repr(error)
        self._settle(target, chosen, results)
        self._record_call(target, chosen, results, began)
        self._space_share.note_call(
            is_limited_by_space=was_limited_by_space,
            had_space=all(
                result.failure != FAILURE_NO_SPACE for result in results
            ),
        )
        return _summary(results)

    def _end_call(
        self,
        target: BatchTarget,
        chosen: list[QueuedPiece],
    ) -> None:
        self._space_by_target[target.id].unreserve(_size_of(chosen))
        self._ends_by_target.pop(target.id, None)
        self._wakeup.set()

    def _record_call(
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
        self._piece_rate.note_call(len(chosen))
        computed = sum(bool(result.handle) for result in results)
        if computed:
            self._speeds.reset_failures(target.id)
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
        to_requeue = []
        space = self._space_by_target[target.id]
        now = self._clock.monotonic()
        expires_at = now + self._profile.result_ttl_s
        for queued, outcome in zip(chosen, results, strict=True):
            if outcome.handle:
                space.hold(outcome.handle, queued.result_bytes, now, expires_at)
                if queued.is_abandoned:
                    self.release([outcome.handle])
            if outcome.failure in {'', FAILURE_LATE, FAILURE_GONE}:
                queued.settle(outcome)
            else:
                to_requeue.append(queued)
        if FAILURE_NO_SPACE in {result.failure for result in results}:
            space.note_no_space(self._usable_bytes, now)
        self._requeue(to_requeue, exempt_from_budget=False)

    def _requeue(
        self, chosen: list[QueuedPiece], exempt_from_budget: bool
    ) -> None:
        wanted = [queued for queued in chosen if not queued.is_abandoned]
        if not wanted:
            return
        for queued in wanted:
            exhausted = queued.attempts >= MAX_PIECE_ATTEMPTS
            allowed = exempt_from_budget or self._budget.take(self.service)
            if exhausted or not allowed:
                queued.settle(PieceResult(failure=FAILURE_LOST))
            else:
                self._queue.add([queued])
        self._wakeup.set()

    def _note_freed(self, handles: Sequence[str]) -> None:
        now = self._clock.monotonic()
        held_s = [
            held
            for space in self._space_by_target.values()
            for held in space.free(handles, now)
        ]
        log_event(
            'batching.freed',
            service=self.service,
            results=len(handles),
            held_s=max(held_s, default=0),
        )
        self._wakeup.set()

    def _expected_s(self, pieces: int) -> float:
        return call_duration_s(self._profile, pieces)


def _with_space(
    targets: Sequence[BatchTarget],
    spaces: Mapping[str, ResultSpace],
    now: float,
) -> list[BatchTarget]:
    """Return the targets that have not recently refused a result."""
    return [
        target
        for target in targets
        if target.id not in spaces or not spaces[target.id].is_full(now)
    ]


def _do_nothing() -> None:
    """Keep the inputs when a call is sent."""


def _call_timeout_s(expected_s: float) -> float:
    """Return the timeout of a call."""
    return max(
        expected_s * CALL_TIMEOUT_FACTOR, expected_s + MIN_CALL_TIMEOUT_MARGIN_S
    )


def _note_fetched(chosen: Sequence[QueuedPiece]) -> None:
    """Allow the release of large inputs; keep small ones for a retry."""
    for queued in chosen:
        if queued.has_large_inputs:
            queued.note_fetched()


def _count_remote(chosen: Sequence[QueuedPiece], data_centre: str) -> int:
    """Return the number of pieces that prefer another data centre."""
    return sum(
        queued.preferred_data_centre not in {'', data_centre}
        for queued in chosen
    )


def _summary(results: Sequence[PieceResult]) -> str:
    failures = sorted(outcome.failure for outcome in results if outcome.failure)
    return ','.join(failures) or 'done'


def _size_of(chosen: Sequence[QueuedPiece]) -> int:
    return sum(queued.result_bytes for queued in chosen)
