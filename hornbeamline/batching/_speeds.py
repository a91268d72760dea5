"""Measured speeds and cool-downs of the targets of a service."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping, Sequence
from typing import Final

from hornbeamline.batching._types import BatchTarget
from hornbeamline.batching.const import (
    COOLDOWN_S,
    MAX_COOLDOWN_DOUBLINGS,
    MAX_COOLDOWN_S,
    MAX_USUAL_SLOWNESS,
    RATE_WINDOW_S,
    REMOTE_COST_S,
    SOON_IDLE_S,
    SPEED_SMOOTHING,
)
from hornbeamline.helpers.clock import Clock

# A call that ends in less than half of its expected time has computed
# little, so it says little about the speed.
_MIN_RATIO: Final = 0.5
# Lower bound of the measured rate, as a share of the best possible rate.
_MIN_RATE_SHARE: Final = 0.25


class PieceRate:
    """Measure the throughput of the targets of a service."""

    def __init__(self, clock: Clock) -> None:
        """Start without measurements."""
        self._clock = clock
        # End time and number of pieces of each recent call.
        self._finished: deque[tuple[float, int]] = deque()

    def note_call(self, pieces: int) -> None:
        """Record the number of pieces of a finished call."""
        self._finished.append((self._clock.monotonic(), pieces))
        self._drop_old_calls()

    def rate(self, best_rate: float, *, is_backlogged: bool) -> float:
        """Return the measured pieces per second, bounded by `best_rate`.

        Without a backlog the throughput is bounded by the load and says
        nothing about the capacity, so `best_rate` is returned.
        """
        if not is_backlogged:
            return best_rate
        self._drop_old_calls()
        done = sum(count for _, count in self._finished)
        measured = done / RATE_WINDOW_S
        return min(max(measured, best_rate * _MIN_RATE_SHARE), best_rate)

    def _drop_old_calls(self) -> None:
        oldest = self._clock.monotonic() - RATE_WINDOW_S
        while self._finished and self._finished[0][0] < oldest:
            self._finished.popleft()


class TargetSpeeds:
    """Track the smoothed slowness of targets and their cool-downs.

    Slowness is the duration of a call divided by its expected duration.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with all targets at their expected speed."""
        self._clock = clock
        self._slowness_by_target: dict[str, float] = {}
        self._cooldown_end_by_target: dict[str, float] = {}
        self._consecutive_failures: Counter[str] = Counter()

    def slowness(self, target_id: str) -> float:
        """Return the slowness of a target; 1 means as fast as expected."""
        return self._slowness_by_target.get(target_id, 1)

    def best(
        self,
        targets: Sequence[BatchTarget],
        call_s: float,
        preferred_data_centre: str,
    ) -> BatchTarget:
        """Return the target with the lowest expected cost of a call.

        A target outside the preferred data centre costs `REMOTE_COST_S`
        more. `call_s` is the duration of a call at normal speed.
        """

        def cost_s(target: BatchTarget) -> float:
            is_remote = preferred_data_centre not in {'', target.data_centre}
            remote_cost_s = REMOTE_COST_S if is_remote else 0
            return call_s * self.slowness(target.id) + remote_cost_s

        return min(targets, key=cost_s)

    def soon_idle_data_centres(
        self,
        targets: Sequence[BatchTarget],
        ends_by_target: Mapping[str, float],
    ) -> frozenset[str]:
        """Return the data centres of targets that are worth waiting for.

        `ends_by_target` holds the expected ends of the calls in flight.
        Targets whose call is overdue by more than `SOON_IDLE_S` are left out.
        """
        now = self._clock.monotonic()

        def is_soon_idle(target: BatchTarget) -> bool:
            ends_at = ends_by_target.get(target.id, now)
            return abs(ends_at - now) <= SOON_IDLE_S

        return frozenset(
            target.data_centre
            for target in targets
            if not self.is_cooling_down(target.id)
            and self.slowness(target.id) <= MAX_USUAL_SLOWNESS
            and is_soon_idle(target)
        )

    def note_call(
        self,
        target_id: str,
        took_s: float,
        expected_s: float,
    ) -> None:
        """Update the slowness after a completed call."""
        ratio = max(took_s / expected_s, _MIN_RATIO)
        before = self.slowness(target_id)
        after = before + SPEED_SMOOTHING * (ratio - before)
        self._slowness_by_target[target_id] = after

    def note_lost(
        self,
        target_id: str,
        took_s: float,
        expected_s: float,
    ) -> None:
        """Update the slowness after a lost call.

        The elapsed time is a lower bound of the duration.
        """
        self._slowness_by_target[target_id] = max(
            took_s / expected_s,
            self.slowness(target_id),
        )

    def start_cooldown(self, target_id: str) -> None:
        """Start a cool-down, which doubles with each consecutive failure."""
        failures = self._consecutive_failures[target_id]
        self._consecutive_failures[target_id] += 1
        doublings = min(failures, MAX_COOLDOWN_DOUBLINGS)
        cooldown_s = min(COOLDOWN_S * 2**doublings, MAX_COOLDOWN_S)
        self._cooldown_end_by_target[target_id] = (
            self._clock.monotonic() + cooldown_s
        )

    def reset_failures(self, target_id: str) -> None:
        """Reset the failure count of a target that has computed pieces."""
        self._consecutive_failures.pop(target_id, None)

    def is_cooling_down(self, target_id: str) -> bool:
        """Return whether a target is excluded by its cool-down."""
        until = self._cooldown_end_by_target.get(target_id, 0)
        return self._clock.monotonic() < until
