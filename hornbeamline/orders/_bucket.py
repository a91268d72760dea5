"""Rate limit for loads from the weight store."""

from __future__ import annotations

from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import OrderRules


class WeightBudget:
    """Token bucket in gigabytes.

    The bucket starts empty, because the previous leader may have just spent
    its burst. A load larger than the burst waits for a full bucket and makes
    the balance negative, so any period spends at most the burst, the refill
    and one load beyond the burst.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty bucket."""
        self._clock = clock
        self._available_gb: float = 0
        self._refilled_at = clock.monotonic()

    def take(self, size_gb: float, rules: OrderRules) -> bool:
        """Spend gigabytes; return False when too few are available."""
        self._refill(rules)
        if self._available_gb < min(size_gb, rules.weight_store_burst_gb):
            return False
        self._available_gb -= size_gb
        return True

    def refund(self, size_gb: float) -> None:
        """Return gigabytes of a load that provably did not start."""
        self._available_gb += size_gb

    def _refill(self, rules: OrderRules) -> None:
        now = self._clock.monotonic()
        elapsed_s = now - self._refilled_at
        self._refilled_at = now
        self._available_gb = min(
            self._available_gb + elapsed_s * rules.weight_store_gb_per_s,
            rules.weight_store_burst_gb,
        )
