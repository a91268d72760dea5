"""Adaptive concurrency limit of one target."""

from __future__ import annotations

import math
from typing import Final

from hornbeamline.inventory import LimitRules

_MIN_LATENCY_FACTOR: Final = 0.6
# Increase per `value` successes. An increase by a whole call makes the limits
# of 12 hosts oscillate between 1 and 2 at full load.
_INCREASE_CALLS: Final = 0.5
_PUSHBACK_FACTOR: Final = 0.7
_RELATIVE_GAIN: Final = 0.2
# Hosts start at this multiple of an equal share of the target, so that a burst
# at one host can use slots that the other hosts leave idle.
_START_FACTOR: Final = 2
_EVIDENCE_TTL_S: Final = 5.0
_WINDOW_S: Final = 1.0
_WINDOW_SAMPLES: Final = 10
_IDLE_RISE_GAIN: Final = 0.1
_BUSY_RISE_GAIN: Final = 0.001
_FALL_GAIN: Final = 0.5


class AdaptiveLimit:
    """Limit of this host's concurrent calls at a target (AIMD).

    Other hosts call the same target, so the limit follows what this host can
    measure: durations relative to an idle target, refusals and timeouts.
    """

    def __init__(
        self,
        rules: LimitRules,
        concurrency: int,
        host_count: int,
    ) -> None:
        """Initialize with bounds, the target's concurrency and host count."""
        self.value: float = 1
        self.update_rules(rules, concurrency, host_count)
        self.value = self._start
        self._relative_duration = 1.0
        self._shrunk_at = -math.inf
        self._evidence_at = -math.inf

    def update_rules(
        self,
        rules: LimitRules,
        concurrency: int,
        host_count: int,
    ) -> None:
        """Apply new bounds and clamp the limit to them."""
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
        """Raise the limit to its initial value when its evidence is stale.

        A low limit lets few calls through, so the evidence that would raise
        it may never arrive.
        """
        is_old = now - self._evidence_at > _EVIDENCE_TTL_S
        if is_old and self._rules.adaptive and self.value < self._start:
            self.value = self._start
            self._relative_duration = 1

    def succeeded(
        self,
        relative: float,
        in_flight: int,
        started_at: float,
        now: float,
    ) -> None:
        """Adjust the limit by a duration relative to that of an idle target."""
        if not self._rules.adaptive:
            return
        self._evidence_at = now
        self._relative_duration += _RELATIVE_GAIN * (
            relative - self._relative_duration
        )
        tolerated = self._rules.latency_tolerance / self._relative_duration
        if tolerated < 1:
            self._shrink(max(_MIN_LATENCY_FACTOR, tolerated), started_at, now)
        elif in_flight + 1 >= self.value / 2:
            self.value = min(
                self._ceiling, self.value + _INCREASE_CALLS / self.value
            )

    def pushed_back(self, started_at: float, now: float) -> None:
        """Reduce the limit after an explicit refusal or a timeout."""
        if self._rules.adaptive:
            self._shrink(_PUSHBACK_FACTOR, started_at, now)

    def _shrink(self, factor: float, started_at: float, now: float) -> None:
        # A call sent before the last reduction does not reflect the new limit.
        if started_at < self._shrunk_at:
            return
        self._shrunk_at = now
        self._evidence_at = now
        self.value = max(self._floor, self.value * factor)


class IdleDuration:
    """Baseline duration of a service's calls at targets without a queue.

    Follows decreases quickly. Increases are followed at a useful rate only
    while this host's limits are mostly unused, because durations under load
    include queueing at the targets. A very slow increase under load adapts
    to targets that have become permanently slower.
    """

    def __init__(self, prior_s: float) -> None:
        """Initialize with the expected duration in seconds."""
        self.mean_s = prior_s
        self._sum_s: float = 0
        self._count = 0
        self._ends_at: float = 0
        self._is_first = True

    def record(self, duration_s: float, now: float, *, is_idle: bool) -> None:
        """Record a call's duration, normalised to the usual token count."""
        self._sum_s += duration_s
        self._count += 1
        if now < self._ends_at or self._count < _WINDOW_SAMPLES:
            return
        window_s = self._sum_s / self._count
        if self._is_first:
            # The first window replaces the prior, which may be far off.
            self.mean_s = window_s
            self._is_first = False
        elif window_s < self.mean_s:
            self.mean_s += _FALL_GAIN * (window_s - self.mean_s)
        else:
            gain = _IDLE_RISE_GAIN if is_idle else _BUSY_RISE_GAIN
            self.mean_s += gain * (window_s - self.mean_s)
        self._sum_s = 0
        self._count = 0
        self._ends_at = now + _WINDOW_S
