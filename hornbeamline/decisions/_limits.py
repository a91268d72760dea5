"""Adaptive concurrency limit of one target."""

from __future__ import annotations

import math
from typing import Final

from hornbeamline.inventory import LimitRules

_SHRINK_MOST: Final = 0.6
# Half a call per limit's worth of successes; a whole one made the limits of
# 12 hosts swing between 1 and 2 at full load.
_RISE: Final = 0.5
_SHRINK_REFUSED: Final = 0.7
_GAIN: Final = 0.2
# Hosts start at a multiple of their equal part of the target, so that one
# host's burst may use slots that the others leave idle.
_START_FACTOR: Final = 2
_EVIDENCE_S: Final = 5.0
_WINDOW_S: Final = 1.0
_WINDOW_SAMPLES: Final = 10
_RISE_IDLE: Final = 0.1
_RISE_BUSY: Final = 0.001
_FALL: Final = 0.5


class AdaptiveLimit:
    """Own calls allowed at a target, by additive rise and multiplied fall.

    Other hosts use the same target, so the limit follows what this host can
    measure: durations relative to an idle target, and refusals.
    """

    def __init__(
        self,
        rules: LimitRules,
        concurrency: int,
        host_count: int,
    ) -> None:
        """Take bounds, the target's own concurrency and sharing hosts."""
        self.value: float = 1
        self.take_rules(rules, concurrency, host_count)
        self.value = self._start
        self._relative = 1.0
        self._shrunk_at = -math.inf
        self._learned_at = -math.inf

    def take_rules(
        self,
        rules: LimitRules,
        concurrency: int,
        host_count: int,
    ) -> None:
        """Take new bounds and move the limit between them."""
        self._rules = rules
        self._floor = rules.min_concurrency
        self._ceiling = max(
            self._floor,
            min(rules.max_concurrency, concurrency),
        )
        part = math.ceil(concurrency * _START_FACTOR / host_count)
        start = min(rules.initial_concurrency, part, self._ceiling)
        self._start = float(max(self._floor, start))
        if not rules.adaptive:
            self._start = float(rules.max_concurrency)
            self.value = self._start
            return
        self.value = max(self._floor, min(self._ceiling, self.value))

    def review(self, now: float) -> None:
        """Return to the start value when the evidence is old.

        A low limit keeps calls away and with them the evidence that would
        raise it.
        """
        is_old = now - self._learned_at > _EVIDENCE_S
        if is_old and self._rules.adaptive and self.value < self._start:
            self.value = self._start
            self._relative = 1

    def succeeded(
        self,
        relative: float,
        in_flight: int,
        started_at: float,
        now: float,
    ) -> None:
        """Learn from a duration relative to that of an idle target."""
        if not self._rules.adaptive:
            return
        self._learned_at = now
        self._relative += _GAIN * (relative - self._relative)
        tolerated = self._rules.latency_tolerance / self._relative
        if tolerated < 1:
            self._shrink(max(_SHRINK_MOST, tolerated), started_at, now)
        elif in_flight + 1 >= self.value / 2:
            self.value = min(self._ceiling, self.value + _RISE / self.value)

    def pushed_back(self, started_at: float, now: float) -> None:
        """Learn from an explicit refusal or a timeout."""
        if self._rules.adaptive:
            self._shrink(_SHRINK_REFUSED, started_at, now)

    def _shrink(self, factor: float, started_at: float, now: float) -> None:
        # A call sent before the last fall says nothing about the new limit.
        if started_at < self._shrunk_at:
            return
        self._shrunk_at = now
        self._learned_at = now
        self.value = max(self._floor, self.value * factor)


class IdleDuration:
    """Duration of a service's calls at targets without a queue.

    Follows falls at once. Rises are followed only while this host leaves
    the limits unused, because durations measured under load include the
    targets' queues; a slow rise remains for targets that stay slower.
    """

    def __init__(self, prior_s: float) -> None:
        """Take the expected duration in seconds."""
        self.mean_s = prior_s
        self._sum_s: float = 0
        self._count = 0
        self._ends_at: float = 0
        self._is_first = True

    def record(self, duration_s: float, now: float, *, is_idle: bool) -> None:
        """Add a call's duration, normalised to the usual tokens."""
        self._sum_s += duration_s
        self._count += 1
        if now < self._ends_at or self._count < _WINDOW_SAMPLES:
            return
        window_s = self._sum_s / self._count
        if self._is_first:
            # A wrong prior must not stay in force for long.
            self.mean_s = window_s
            self._is_first = False
        elif window_s < self.mean_s:
            self.mean_s += _FALL * (window_s - self.mean_s)
        else:
            gain = _RISE_IDLE if is_idle else _RISE_BUSY
            self.mean_s += gain * (window_s - self.mean_s)
        self._sum_s = 0
        self._count = 0
        self._ends_at = now + _WINDOW_S
