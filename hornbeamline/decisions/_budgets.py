"""Budgets of extra attempts and the cost weight in force."""

from __future__ import annotations

import datetime
from typing import Final

from hornbeamline.inventory import CostRules

# Lets a quiet service retry at all, and bounds what a long quiet time saves.
_FIRST_TOKENS: Final = 3.0
_MOST_TOKENS: Final = 30.0
_MS_PER_S: Final = 1000
_WEIGHT_REFRESH_MS: Final = 1000


class AttemptBudget:
    """Extra attempts as a fraction of first attempts.

    Over any time at most `fraction` x first attempts + 3 are taken.
    """

    def __init__(self, fraction: float) -> None:
        """Take the extra attempts that each first attempt earns."""
        self.fraction = fraction
        self._tokens = _FIRST_TOKENS if fraction else 0

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(_MOST_TOKENS, self._tokens + self.fraction)

    def may_take(self) -> bool:
        """Return whether an extra attempt is left."""
        # Sums of fractions such as 0.1 fall short of 1 by rounding.
        return self.fraction > 0 and self._tokens > 1 - 1e-9

    def take(self) -> bool:
        """Take an extra attempt if one is left."""
        if not self.may_take():
            return False
        self._tokens -= 1
        return True


class CostWeight:
    """Weight of cost against attainment by the hours of service (UTC)."""

    def __init__(self) -> None:
        """Start without rules: attainment goes first."""
        self._rules = CostRules()
        self._weight: float = 0
        self._until_ms = 0

    def update(self, rules: CostRules) -> None:
        """Take new rules."""
        self._rules = rules
        self._until_ms = 0

    def at(self, wall_ms: int) -> float:
        """Return the weight in force at a calendar time."""
        if not self._until_ms - _WEIGHT_REFRESH_MS <= wall_ms < self._until_ms:
            self._until_ms = wall_ms + _WEIGHT_REFRESH_MS
            self._weight = self._find(wall_ms)
        return self._weight

    def _find(self, wall_ms: int) -> float:
        moment = datetime.datetime.fromtimestamp(
            wall_ms / _MS_PER_S,
            tz=datetime.UTC,
        )
        for hours in self._rules.service_hours:
            on_day = moment.isoweekday() in hours.weekdays
            if on_day and hours.from_hour <= moment.hour < hours.to_hour:
                return self._rules.weight_in_service_hours
        return self._rules.weight
