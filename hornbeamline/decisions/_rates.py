"""Rate limit per client account, and measurement of rates."""

from __future__ import annotations

import math
from typing import Final

_DECAY_S: Final = 3.0


class RateLimit:
    """Token bucket that holds one second of requests."""

    def __init__(self, requests_per_s: float, now: float) -> None:
        """Initialize full, with this host's share of the account's rate."""
        self.requests_per_s = requests_per_s
        self._burst = max(1, requests_per_s)
        self._tokens = self._burst
        self._updated_at = now

    def wait_s(self, now: float) -> float:
        """Take a token and return 0, or return the wait for one in seconds."""
        earned = (now - self._updated_at) * self.requests_per_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._updated_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return (1 - self._tokens) / self.requests_per_s


class RateMeter:
    """Exponentially decaying average of events per second."""

    def __init__(self) -> None:
        """Initialize without events."""
        self._per_s: float = 0
        self._updated_at: float = 0

    def count(self, now: float) -> None:
        """Count one event."""
        self._per_s = self.per_s(now) + 1 / _DECAY_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return the decayed rate at a time."""
        return self._per_s * math.exp((self._updated_at - now) / _DECAY_S)
