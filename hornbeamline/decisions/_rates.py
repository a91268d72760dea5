"""Request rate limit per client account, and measured rates."""

from __future__ import annotations

import math
from typing import Final

_METER_S: Final = 3.0


class RateLimit:
    """Token bucket that holds one second of requests."""

    def __init__(self, requests_per_s: float, now: float) -> None:
        """Take this host's part of the account's rate."""
        self.requests_per_s = requests_per_s
        self._most = max(1, requests_per_s)
        self._tokens = self._most
        self._at = now

    def wait_s(self, now: float) -> float:
        """Take a token; return 0, or the wait until one is there."""
        earned = (now - self._at) * self.requests_per_s
        self._tokens = min(self._most, self._tokens + earned)
        self._at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return (1 - self._tokens) / self.requests_per_s


class RateMeter:
    """Events per second over the last few seconds."""

    def __init__(self) -> None:
        """Start at no events."""
        self._per_s: float = 0
        self._at: float = 0

    def count(self, now: float) -> None:
        """Count one event."""
        self._per_s = self.per_s(now) + 1 / _METER_S
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the faded rate."""
        return self._per_s * math.exp((self._at - now) / _METER_S)
