"""Budget of the weight store."""

from __future__ import annotations

from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import OrderRules


class WeightBudget:
    """Token bucket in gigabytes.

    It starts empty, because a predecessor may just have spent its burst. A
    load larger than the burst waits for a full bucket and leaves a debt,
    so that in any span of time at most the burst, the refill and one load
    beyond the burst are spent.
    """

    def __init__(self, clock: Clock) -> None:
        """Take the time source."""
        self._clock = clock
        self._stored_gb: float = 0
        self._filled_at = clock.monotonic()

    def take(self, size_gb: float, rules: OrderRules) -> bool:
        """Spend gigabytes, or return False when they are not there yet."""
        self._refill(rules)
        if self._stored_gb < min(size_gb, rules.weight_store_burst_gb):
            return False
        self._stored_gb -= size_gb
        return True

    def give_back(self, size_gb: float) -> None:
        """Return what was taken for a load that provably did not begin."""
        self._stored_gb += size_gb

    def _refill(self, rules: OrderRules) -> None:
        now = self._clock.monotonic()
        elapsed_s = now - self._filled_at
        self._filled_at = now
        self._stored_gb = min(
            self._stored_gb + elapsed_s * rules.weight_store_gb_per_s,
            rules.weight_store_burst_gb,
        )
