"""How fast the targets of a service work, and which of them rest."""

from __future__ import annotations

from typing import Final

from hornbeamline.batching.const import REST_S, SPEED_WEIGHT
from hornbeamline.helpers.clock import Clock

# A call that ends sooner than half of its time computed little.
_MIN_RATIO: Final = 0.5


class TargetSpeeds:
    """Smoothed time of calls, as a multiple of the expected time."""

    def __init__(self, clock: Clock) -> None:
        """Take the time source."""
        self._clock = clock
        self._slowness_by_target: dict[str, float] = {}
        self._rests_until_by_target: dict[str, float] = {}

    def slowness(self, target_id: str) -> float:
        """Return 1 for a target that works as fast as expected."""
        return self._slowness_by_target.get(target_id, 1)

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

    def rest(self, target_id: str) -> None:
        """Give a target no call for a while."""
        until = self._clock.monotonic() + REST_S
        self._rests_until_by_target[target_id] = until

    def is_resting(self, target_id: str) -> bool:
        """Return whether a target gets no call now."""
        until = self._rests_until_by_target.get(target_id, 0)
        return self._clock.monotonic() < until
