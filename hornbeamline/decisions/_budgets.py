"""Budgets of retries and hedges, and the cost weight in force."""

from __future__ import annotations

import datetime
from typing import Final

from hornbeamline.inventory import CostRules

# The initial tokens allow retries at a low call rate; the maximum bounds the
# burst of extra attempts after a long time without any.
_INITIAL_TOKENS: Final = 3.0
_MAX_TOKENS: Final = 30.0
_MS_PER_S: Final = 1000
_WEIGHT_REFRESH_MS: Final = 1000


class AttemptBudget:
    """Token bucket that limits extra attempts to a fraction of first attempts.

    Since the start, at most `fraction` x first attempts + 3 are granted.
    """

    def __init__(self, fraction: float) -> None:
        """Initialize with the tokens that each first attempt adds."""
        self.fraction = fraction
        self._tokens = _INITIAL_TOKENS if fraction else 0

    def earn(self) -> None:
        """Add the tokens of one first attempt."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self.fraction)

    def may_take(self) -> bool:
        """Return whether a token is available."""
        # Rounding can leave sums of fractions such as 0.1 just below 1.
        return self.fraction > 0 and self._tokens > 1 - 1e-9

    def take(self) -> bool:
        """Spend a token if one is available; return whether it was."""
        if not self.may_take():
            return False
        self._tokens -= 1
        return True


class CostWeight:
    """Weight of cost against deadline attainment, by service hours (UTC)."""

    def __init__(self) -> None:
        """Initialize with the default rules, which put attainment first."""
        self._rules = CostRules()
        self._weight: float = 0
        self._valid_until_ms = 0

    def update(self, rules: CostRules) -> None:
        """Apply new rules."""
        self._rules = rules
        self._valid_until_ms = 0

    def at(self, wall_ms: int) -> float:
        """Return the weight in force at a wall-clock time."""
        if (
            not self._valid_until_ms - _WEIGHT_REFRESH_MS
            <= wall_ms
            < self._valid_until_ms
        ):
            self._valid_until_ms = wall_ms + _WEIGHT_REFRESH_MS
            self._weight = self._weight_at(wall_ms)
        return self._weight

    def _weight_at(self, wall_ms: int) -> float:
        moment = datetime.datetime.fromtimestamp(
            wall_ms / _MS_PER_S,
            tz=datetime.UTC,
        )
        for hours in self._rules.service_hours:
            on_day = moment.isoweekday() in hours.weekdays
            if on_day and hours.from_hour <= moment.hour < hours.to_hour:
                return self._rules.weight_in_service_hours
        return self._rules.weight
