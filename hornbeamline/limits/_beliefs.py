"""Which targets name a limit, as a host believes; needs no network."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from hornbeamline.helpers.clock import Clock
from hornbeamline.limits._metrics import LIMITED
from hornbeamline.limits._permit import UNLIMITED, Permit
from hornbeamline.limits.const import HOLDS_S
from hornbeamline.telemetry import log_event


class _Belief(NamedTuple):
    limit_per_s: float
    # When the target itself last told this host.
    named_at: float = -math.inf
    # When the granter last did.
    told_at: float = -math.inf
    # No permit is to be had before.
    closed_until: float = -math.inf

    @property
    def known_at(self) -> float:
        return max(self.named_at, self.told_at)

    def holds(self, now: float) -> bool:
        return now - self.known_at < HOLDS_S


class TargetLimits:
    """Limits of targets by id, and when this host may ask for a permit.

    A limit holds until the granter, who hears of all answers, says that it
    has ended, or until neither the target nor the granter repeats it.
    """

    def __init__(self, clock: Clock) -> None:
        """Take a clock that counts suspensions of the host as well."""
        self._clock = clock
        self._beliefs_by_target: dict[str, _Belief] = {}

    def limit_of(self, target: str) -> float:
        """Return the requests a second that a target takes, or infinity."""
        belief = self._beliefs_by_target.get(target)
        if belief is None or not belief.holds(self._clock.monotonic()):
            return math.inf
        return belief.limit_per_s

    def is_limited(self, target: str) -> bool:
        """Return whether a request to a target needs a permit."""
        return self.limit_of(target) < math.inf

    def limited(self) -> list[str]:
        """Return the limited targets."""
        return [
            target
            for target in self._beliefs_by_target
            if self.is_limited(target)
        ]

    def closed_s(self, target: str) -> float:
        """Return how long no permit is to be had for a target."""
        if not self.is_limited(target):
            return 0
        closed_until = self._beliefs_by_target[target].closed_until
        return max(closed_until - self._clock.monotonic(), 0)

    def named_ago_s(self, target: str) -> float:
        """Return how long ago a target itself named its limit."""
        belief = self._beliefs_by_target.get(target)
        if belief is None:
            return math.inf
        return self._clock.monotonic() - belief.named_at

    def known_ago_s(self, target: str) -> float:
        """Return how long ago a target or its granter named the limit."""
        belief = self._beliefs_by_target.get(target)
        if belief is None:
            return math.inf
        return self._clock.monotonic() - belief.known_at

    def allows(self, target: str, permit: Permit) -> bool:
        """Return whether a request with a permit may be sent now."""
        if permit == UNLIMITED:
            return not self.is_limited(target)
        return self._clock.monotonic() <= permit.expires_at

    def note_named(self, target: str, limit_per_s: float) -> None:
        """Take the limit that a target named in an answer to this host."""
        self._set(
            target,
            self._known(target)._replace(
                limit_per_s=limit_per_s,
                named_at=self._clock.monotonic(),
            ),
            'answer',
        )

    def note_told(self, limit_by_target: Mapping[str, float]) -> None:
        """Take the limits that a granter names."""
        told_at = self._clock.monotonic()
        for target, limit_per_s in limit_by_target.items():
            self._set(
                target,
                self._known(target)._replace(
                    limit_per_s=limit_per_s,
                    told_at=told_at,
                ),
                'granter',
            )

    def note_ended(self, target: str) -> None:
        """Take the word of the granter that a limit has ended."""
        if self._beliefs_by_target.pop(target, None) is not None:
            log_event('limits.ended', target=target)
            LIMITED.set(len(self.limited()))

    def note_closed(self, target: str, closed_s: float) -> None:
        """Ask for no further permit for a time."""
        belief = self._beliefs_by_target.get(target)
        if belief is not None:
            closed_until = self._clock.monotonic() + closed_s
            self._beliefs_by_target[target] = belief._replace(
                closed_until=closed_until,
            )

    def take_listed(self, targets: Collection[str]) -> None:
        """Forget the targets that a newer list does not name."""
        now = self._clock.monotonic()
        for target, belief in tuple(self._beliefs_by_target.items()):
            if target not in targets or not belief.holds(now):
                self.note_ended(target)

    def _known(self, target: str) -> _Belief:
        return self._beliefs_by_target.get(target, _Belief(math.inf))

    def _set(self, target: str, belief: _Belief, source: str) -> None:
        before_per_s = self.limit_of(target)
        self._beliefs_by_target[target] = belief
        if belief.limit_per_s != before_per_s:
            log_event(
                'limits.named',
                target=target,
                limit_per_s=belief.limit_per_s,
                previous_per_s=before_per_s,
                source=source,
            )
            LIMITED.set(len(self.limited()))
