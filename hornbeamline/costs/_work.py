"""Work that targets have left, in seconds at the usual speed."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

from hornbeamline.costs._model import CostParts, RequestFeatures
from hornbeamline.costs.const import MIN_COST_S

# Share of the work of a running stream that always counts as left: its last
# event has not been seen.
_LAST_SHARE: Final = 0.05
# Age of the loads of other hosts when they arrive: they are sent every 0.4 s,
# summed, and fetched every 0.4 s.
_VIEW_DELAY_S: Final = 0.5
# Sums below this are remainders of rounding.
_MIN_WORK_S: Final = 1e-6


class AttemptWork:
    """One attempt at a target and what its events have shown."""

    __slots__ = (
        'features',
        'first_at',
        'is_whole',
        'left_s',
        'parts',
        'slowness',
        'started_at',
        'target',
        'wait_s',
    )

    def __init__(
        self,
        target: str,
        features: RequestFeatures,
        parts: CostParts,
        slowness: float,
        wait_s: float,
        started_at: float,
    ) -> None:
        """Create the record of an attempt that starts now.

        `wait_s` is the time for which earlier work was expected to delay it.
        """
        self.target = target
        self.features = features
        self.parts = parts
        self.slowness = slowness
        self.wait_s = wait_s
        self.started_at = started_at
        # False for a resumed stream, whose duration says little of its cost.
        self.is_whole = True
        self.first_at: float | None = None
        self.left_s = parts.total_s

    def expectation(self) -> dict[str, float]:
        """Return what was expected of the attempt, for a log line."""
        return {
            'cost_s': self.parts.total_s,
            'slowness': self.slowness,
            'wait_s': self.wait_s,
            'uncached_tokens': self.features.uncached_tokens,
        }


class WorkLeft:
    """Work left by target: of this host's attempts and of other hosts."""

    def __init__(self) -> None:
        """Create a record without work."""
        self._own_by_target: dict[str, float] = {}
        self._others_by_target: Mapping[str, float] = {}
        self._updated_at: float = 0

    def started(self, attempt: AttemptWork) -> None:
        """Add the work of an attempt."""
        self._add(attempt.target, attempt.left_s)

    def progressed(self, attempt: AttemptWork, now: float) -> None:
        """Subtract the work that an event shows to be done.

        The first event ends the work on the prompt; the output then proceeds
        at the expected rate.
        """
        if attempt.first_at is None:
            attempt.first_at = now
        done_s = (now - attempt.first_at) / attempt.slowness
        left_s = max(
            attempt.parts.output_s - done_s,
            attempt.parts.total_s * _LAST_SHARE,
        )
        if left_s < attempt.left_s:
            self._add(attempt.target, left_s - attempt.left_s)
            attempt.left_s = left_s

    def ended(self, attempt: AttemptWork) -> None:
        """Subtract what an attempt has left."""
        self._add(attempt.target, -attempt.left_s)
        attempt.left_s = 0

    def update_others(
        self, work_by_target: Mapping[str, float], now: float = 0
    ) -> None:
        """Replace the work of all other hosts."""
        self._others_by_target = work_by_target
        self._updated_at = now

    def view_weight(self, now: float, cost_s: float) -> float:
        """Return how much the others' work by target still says.

        A request that takes `cost_s` has ended when a view is older.
        """
        age_s = now - self._updated_at + _VIEW_DELAY_S
        return math.exp(-age_s / max(cost_s, MIN_COST_S))

    def own_by_target(self) -> dict[str, float]:
        """Return the work of this host's attempts, in seconds."""
        return dict(self._own_by_target)

    def own_s(self, target: str) -> float:
        """Return the work that this host has left at a target."""
        return self._own_by_target.get(target, 0)

    def others_s(self, target: str) -> float:
        """Return the work that the other hosts had left at a target."""
        return max(self._others_by_target.get(target, 0), 0)

    def left_s(self, target: str) -> float:
        """Return the work that all hosts have left at a target."""
        return self.own_s(target) + self.others_s(target)

    def _add(self, target: str, work_s: float) -> None:
        total_s = self._own_by_target.get(target, 0) + work_s
        if total_s > _MIN_WORK_S:
            self._own_by_target[target] = total_s
        else:
            self._own_by_target.pop(target, None)
