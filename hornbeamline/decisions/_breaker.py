"""Circuit breaker of one target with a gradual ramp-up after recovery."""

from __future__ import annotations

import math
import random
from typing import Final

from hornbeamline.inventory import RoutingRules

_INITIAL_RAMP: Final = 0.1
# Failed probes double the time until the next one, up to this many periods.
_MAX_PERIODS: Final = 8
# Desynchronises the probes of hosts that saw the same failure.
_PROBE_JITTER: Final = 0.2


class Breaker:
    """Counts consecutive failures; while open, the target gets only probes."""

    def __init__(self, rules: RoutingRules) -> None:
        """Initialize closed; `rules` set the threshold and probe interval."""
        self.rules = rules
        self.failures = 0
        self.is_open = False
        # Half-open: one call may probe the target.
        self.is_probing = False
        self._probe_at: float = 0
        self._periods = 1
        self._ramp_started_at = -math.inf

    @property
    def should_open(self) -> bool:
        """Return whether the failures have reached the threshold."""
        return self.failures >= self.rules.ejection_failures

    def open(self, now: float, rng: random.Random) -> None:
        """Open the breaker until the next probe is due."""
        if self.is_open:
            self._periods = min(_MAX_PERIODS, self._periods * 2)
        self.is_open = True
        self.is_probing = False
        period_s = self.rules.ejection_s * self._periods
        self._probe_at = now + period_s * (1 + _PROBE_JITTER * rng.random())

    def start_probe(self, now: float) -> None:
        """Allow a probe if it is due."""
        if self.is_open and now >= self._probe_at:
            self.is_probing = True

    def succeeded(self, now: float) -> None:
        """Record a success, which closes the breaker."""
        self.failures = 0
        if not self.is_open:
            return
        self.is_open = False
        self.is_probing = False
        self._periods = 1
        self.start_ramp(now)

    def start_ramp(self, now: float) -> None:
        """Start to ramp the share of calls up to its usual level."""
        self._ramp_started_at = now

    def ramp(self, now: float) -> float:
        """Return the fraction of the usual calls to send, from 0.1 to 1."""
        since_s = now - self._ramp_started_at
        if since_s >= self.rules.slow_return_s:
            return 1
        return max(_INITIAL_RAMP, since_s / self.rules.slow_return_s)
