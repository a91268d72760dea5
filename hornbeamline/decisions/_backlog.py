"""Admitted calls of a service that are not dispatched yet."""

from __future__ import annotations


class Backlog:
    """Counts per client account the calls that still come to a service.

    Includes requests that are at an earlier stage, so that admission sees
    the work that is already on its way to a slow later stage.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.total = 0
        self._count_by_account: dict[str, int] = {}
        self._weight_by_account: dict[str, float] = {}
        self._weights: float = 0

    def add(self, account: str, weight: float) -> None:
        """Count a call of an account with its fair-share weight."""
        self.total += 1
        count = self._count_by_account.get(account, 0)
        self._count_by_account[account] = count + 1
        if not count:
            self._weight_by_account[account] = weight
            self._weights += weight

    def remove(self, account: str) -> None:
        """Count a call as dispatched or given up."""
        self.total -= 1
        count = self._count_by_account[account] - 1
        if count:
            self._count_by_account[account] = count
            return
        self._count_by_account.pop(account)
        self._weights -= self._weight_by_account.pop(account)

    def wait_s(self, account: str, weight: float, per_s: float) -> float:
        """Return the wait of a new call at a total rate of `per_s`.

        Fair queueing serves an account at least at its share of the rate,
        and a call is never later than behind all calls there are.
        """
        own = self._count_by_account.get(account, 0)
        weights = self._weights if own else self._weights + weight
        share = weight / weights
        return min(self.total, own / share) / per_s
