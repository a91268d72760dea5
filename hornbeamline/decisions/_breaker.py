"""Circuit breaker of one target with gradual reinstatement."""

from __future__ import annotations

import math
import random
from typing import Final

from hornbeamline.inventory import RoutingRules

_FIRST_RAMP: Final = 0.1
# A target that fails its probes again is left alone for up to 8 periods.
_LONGEST_PERIODS: Final = 8
# Spreads the probes of hosts that saw the same failure.
_JITTER: Final = 0.2


class Breaker:
    """Counts consecutive failures and keeps a failing target out."""

    def __init__(self, rules: RoutingRules) -> None:
        """Take the failures that open and the time until a probe."""
        self.rules = rules
        self.failures = 0
        self.is_open = False
        # Open, but one call may try the target.
        self.is_probing = False
        self._probe_at: float = 0
        self._periods = 1
        self._returned_at = -math.inf

    @property
    def wants_open(self) -> bool:
        """Return whether enough consecutive calls failed."""
        return self.failures >= self.rules.ejection_failures

    def open(self, now: float, rng: random.Random) -> None:
        """Keep calls away until the next probe."""
        if self.is_open:
            self._periods = min(_LONGEST_PERIODS, self._periods * 2)
        self.is_open = True
        self.is_probing = False
        period_s = self.rules.ejection_s * self._periods
        self._probe_at = now + period_s * (1 + _JITTER * rng.random())

    def start_probe(self, now: float) -> None:
        """Allow a probe once its time has come."""
        if self.is_open and now >= self._probe_at:
            self.is_probing = True

    def succeeded(self, now: float) -> None:
        """Count a success, which closes the breaker."""
        self.failures = 0
        if not self.is_open:
            return
        self.is_open = False
        self.is_probing = False
        self._periods = 1
        self.return_slowly(now)

    def return_slowly(self, now: float) -> None:
        """Start with a small part of the calls and grow to all of them."""
        self._returned_at = now

    def ramp(self, now: float) -> float:
        """Return the part of its usual calls, from 0.1 to 1."""
        since_s = now - self._returned_at
        if since_s >= self.rules.slow_return_s:
            return 1
        return max(_FIRST_RAMP, since_s / self.rules.slow_return_s)
