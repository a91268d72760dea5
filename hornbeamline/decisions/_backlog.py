"""Backlog of admitted calls that are not dispatched yet."""

from __future__ import annotations


class Backlog:
    """Counts the outstanding calls of a service per client account.

    Requests at an earlier stage count as well, so that admission sees the
    work that will reach a slow later stage.
    """

    def __init__(self) -> None:
        """Initialize without calls."""
        self.total = 0
        self._count_by_account: dict[str, int] = {}
        self._weight_by_account: dict[str, float] = {}
        self._total_weight: float = 0

    def add(self, account: str, weight: float) -> None:
        """Add a call of an account with its fair-share weight."""
        self.total += 1
        count = self._count_by_account.get(account, 0)
        self._count_by_account[account] = count + 1
        if not count:
            self._weight_by_account[account] = weight
            self._total_weight += weight

    def remove(self, account: str) -> None:
        """Remove a call that was dispatched or abandoned."""
        self.total -= 1
        count = self._count_by_account[account] - 1
        if count:
            self._count_by_account[account] = count
            return
        self._count_by_account.pop(account)
        self._total_weight -= self._weight_by_account.pop(account)

    def wait_s(self, account: str, weight: float, per_s: float) -> float:
        """Return the predicted wait of a new call at a total rate of `per_s`.

        Fair queueing guarantees an account its share of the rate, and a call
        waits at most for all calls of the backlog.
        """
        own = self._count_by_account.get(account, 0)
        weights = self._total_weight if own else self._total_weight + weight
        share = weight / weights
        return min(self.total, own / share) / per_s
