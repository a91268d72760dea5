"""How fast the targets of a service work, and which of them rest."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping, Sequence
from typing import Final

from hornbeamline.batching._types import BatchTarget
from hornbeamline.batching.const import (
    MAX_REST_S,
    MAX_USUAL_SLOWNESS,
    NEAR_WAIT_S,
    RATE_WINDOW_S,
    REMOTE_COST_S,
    REST_S,
    SPEED_WEIGHT,
)
from hornbeamline.helpers.clock import Clock

# A call that ends sooner than half of its time computed little.
_MIN_RATIO: Final = 0.5
# Share of the best rate that targets are expected to reach at least.
_MIN_RATE_SHARE: Final = 0.25


class PieceRate:
    """Pieces a second that the targets of a service compute."""

    def __init__(self, clock: Clock) -> None:
        """Take the time source."""
        self._clock = clock
        # Time and number of pieces of the last calls.
        self._finished: deque[tuple[float, int]] = deque()

    def note_call(self, pieces: int) -> None:
        """Count the pieces of a call that has ended."""
        self._finished.append((self._clock.monotonic(), pieces))
        self._forget_old()

    def rate(self, best_rate: float, *, is_backlogged: bool) -> float:
        """Return the measured rate, bounded by the best possible one.

        Without a backlog, the finished pieces say nothing of the speed.
        """
        if not is_backlogged:
            return best_rate
        self._forget_old()
        done = sum(count for _, count in self._finished)
        measured = done / RATE_WINDOW_S
        return min(max(measured, best_rate * _MIN_RATE_SHARE), best_rate)

    def _forget_old(self) -> None:
        oldest = self._clock.monotonic() - RATE_WINDOW_S
        while self._finished and self._finished[0][0] < oldest:
            self._finished.popleft()


class TargetSpeeds:
    """Smoothed time of calls, as a multiple of the expected time."""

    def __init__(self, clock: Clock) -> None:
        """Take the time source."""
        self._clock = clock
        self._slowness_by_target: dict[str, float] = {}
        self._rests_until_by_target: dict[str, float] = {}
        self._failures_in_a_row: Counter[str] = Counter()

    def slowness(self, target_id: str) -> float:
        """Return 1 for a target that works as fast as expected."""
        return self._slowness_by_target.get(target_id, 1)

    def best(
        self,
        targets: Sequence[BatchTarget],
        call_s: float,
        near: str,
    ) -> BatchTarget:
        """Return the fastest target, one in the wished data centre first.

        `call_s` is the time of a call at a target of usual speed.
        """

        def cost_s(target: BatchTarget) -> float:
            is_remote = near not in {'', target.data_centre}
            away_s = REMOTE_COST_S if is_remote else 0
            return call_s * self.slowness(target.id) + away_s

        return min(targets, key=cost_s)

    def places_of_idle(
        self,
        targets: Sequence[BatchTarget],
        ends_by_target: Mapping[str, float],
    ) -> frozenset[str]:
        """Return the data centres of targets that are worth waiting for.

        `ends_by_target` has the expected ends of the calls in progress.
        """
        now = self._clock.monotonic()

        def is_soon_idle(target: BatchTarget) -> bool:
            ends_at = ends_by_target.get(target.id, now)
            return abs(ends_at - now) <= NEAR_WAIT_S

        return frozenset(
            target.data_centre
            for target in targets
            if not self.is_resting(target.id)
            and self.slowness(target.id) <= MAX_USUAL_SLOWNESS
            and is_soon_idle(target)
        )

    def note_call(
        self,
        target_id: str,
        took_s: float,
        expected_s: float,
    ) -> None:
        """Learn from a call."""
        ratio = max(took_s / expected_s, _MIN_RATIO)
        before = self.slowness(target_id)
        after = before + SPEED_WEIGHT * (ratio - before)
        self._slowness_by_target[target_id] = after

    def note_lost(
        self,
        target_id: str,
        took_s: float,
        expected_s: float,
    ) -> None:
        """Learn from a call that was given up: it takes longer than that."""
        self._slowness_by_target[target_id] = max(
            took_s / expected_s,
            self.slowness(target_id),
        )

    def rest(self, target_id: str) -> None:
        """Give a target no call for a while, longer each time."""
        failures = self._failures_in_a_row[target_id]
        self._failures_in_a_row[target_id] += 1
        rest_s = min(REST_S * 2**failures, MAX_REST_S)
        self._rests_until_by_target[target_id] = (
            self._clock.monotonic() + rest_s
        )

    def recovered(self, target_id: str) -> None:
        """Forget the failures of a target that computed pieces."""
        self._failures_in_a_row.pop(target_id, None)

    def is_resting(self, target_id: str) -> bool:
        """Return whether a target gets no call now."""
        until = self._rests_until_by_target.get(target_id, 0)
        return self._clock.monotonic() < until
