"""Request rate limit per client account."""

from __future__ import annotations


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
