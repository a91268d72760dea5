"""Rate limits of targets as known to this host; performs no I/O."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from hornbeamline.helpers.clock import Clock
from hornbeamline.limits._metrics import LIMITED
from hornbeamline.limits._permit import UNLIMITED, Permit
from hornbeamline.limits._warmup import WarmupBeliefs
from hornbeamline.limits.const import LIMIT_TTL_S
from hornbeamline.telemetry import log_event


class _KnownLimit(NamedTuple):
    limit_per_s: float
    # When an answer of the target to this host last stated the limit.
    named_at: float = -math.inf
    # When the granter last stated the limit.
    reported_at: float = -math.inf

    @property
    def last_seen_at(self) -> float:
        return max(self.named_at, self.reported_at)

    def is_valid(self, now: float) -> bool:
        return now - self.last_seen_at < LIMIT_TTL_S


class TargetLimits:
    """Track limits by target id and when this host may request permits.

    A target has the lower of the limit that it stated and the limit of its
    warm-up; neither ends the other. A stated limit is valid until the
    granter, which receives reports of all answers, declares its end, or
    until neither the target nor the granter has repeated it for
    `LIMIT_TTL_S`.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without limits.

        `clock` must also advance while the host is suspended.
        """
        self._clock = clock
        self.warmup = WarmupBeliefs(clock)
        self._limits_by_target: dict[str, _KnownLimit] = {}
        # No permit is available before these times.
        self._closed_until_by_target: dict[str, float] = {}

    def limit_of(self, target: str) -> float:
        """Return the limit in requests per second, or infinity if none."""
        return min(self.stated_limit_of(target), self.warmup.rate_of(target))

    def stated_limit_of(self, target: str) -> float:
        """Return the limit that a target stated, or infinity if none."""
        limit = self._limits_by_target.get(target)
        if limit is None or not limit.is_valid(self._clock.monotonic()):
            return math.inf
        return limit.limit_per_s

    def is_limited(self, target: str) -> bool:
        """Return whether requests to a target need a permit."""
        return self.limit_of(target) < math.inf

    def is_cold(self, target: str) -> bool:
        """Return whether requests to a target need a permit to a cold one."""
        return self.warmup.rate_of(target) < math.inf

    def limited(self) -> list[str]:
        """Return the ids of the targets with a stated limit."""
        return [
            target
            for target in self._limits_by_target
            if self.stated_limit_of(target) < math.inf
        ]

    def permit_pause_s(self, target: str) -> float:
        """Return the seconds until a permit may be requested, at least 0."""
        closed_until = self._closed_until_by_target.get(target)
        if closed_until is None or not self.is_limited(target):
            return 0
        return max(closed_until - self._clock.monotonic(), 0)

    def named_ago_s(self, target: str) -> float:
        """Return the seconds since a target itself stated its limit."""
        limit = self._limits_by_target.get(target)
        if limit is None:
            return math.inf
        return self._clock.monotonic() - limit.named_at

    def known_ago_s(self, target: str) -> float:
        """Return the seconds since a target or its granter stated the limit."""
        limit = self._limits_by_target.get(target)
        if limit is None:
            return math.inf
        return self._clock.monotonic() - limit.last_seen_at

    def allows(self, target: str, permit: Permit) -> bool:
        """Return whether a request with this permit may be sent now."""
        if permit == UNLIMITED:
            return not self.is_limited(target)
        if self.is_cold(target) and not permit.is_cold:
            return False
        return self._clock.monotonic() <= permit.expires_at

    def record_stated_limit(self, target: str, limit_per_s: float) -> None:
        """Record the limit that a target stated in an answer to this host."""
        self._set(
            target,
            self._known_limit_of(target)._replace(
                limit_per_s=limit_per_s,
                named_at=self._clock.monotonic(),
            ),
            'answer',
        )

    def record_granter_limits(
        self, limit_by_target: Mapping[str, float]
    ) -> None:
        """Record the limits reported by a granter."""
        reported_at = self._clock.monotonic()
        for target, limit_per_s in limit_by_target.items():
            self._set(
                target,
                self._known_limit_of(target)._replace(
                    limit_per_s=limit_per_s,
                    reported_at=reported_at,
                ),
                'granter',
            )

    def note_ended(self, target: str) -> None:
        """Remove a limit that the granter has declared ended."""
        if self._limits_by_target.pop(target, None) is not None:
            self._closed_until_by_target.pop(target, None)
            log_event('limits.ended', target=target)
            LIMITED.set(len(self.limited()))

    def note_closed(self, target: str, closed_s: float) -> None:
        """Request no further permits for `closed_s` seconds."""
        if self.is_limited(target):
            closed_until = self._clock.monotonic() + closed_s
            self._closed_until_by_target[target] = closed_until

    def evict_unlisted(self, targets: Collection[str]) -> None:
        """Remove expired limits and those of targets no longer listed."""
        now = self._clock.monotonic()
        for target, limit in tuple(self._limits_by_target.items()):
            if target not in targets or not limit.is_valid(now):
                self.note_ended(target)
        for closed, closed_until in tuple(self._closed_until_by_target.items()):
            if closed_until <= now:
                self._closed_until_by_target.pop(closed)

    def _known_limit_of(self, target: str) -> _KnownLimit:
        return self._limits_by_target.get(target, _KnownLimit(math.inf))

    def _set(self, target: str, limit: _KnownLimit, source: str) -> None:
        before_per_s = self.stated_limit_of(target)
        self._limits_by_target[target] = limit
        if limit.limit_per_s != before_per_s:
            log_event(
                'limits.named',
                target=target,
                limit_per_s=limit.limit_per_s,
                previous_per_s=before_per_s,
                source=source,
            )
            LIMITED.set(len(self.limited()))
