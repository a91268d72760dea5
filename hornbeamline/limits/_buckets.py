"""Permits that the granter of limited targets hands out; needs no network."""

from __future__ import annotations

import math
import secrets
from typing import Final

from hornbeamline.helpers.clock import Clock
from hornbeamline.limits._messages import AskPermit, PermitReply
from hornbeamline.limits.const import (
    BURST_S,
    IDLE_S,
    KEEP_ENDS_S,
    MAX_RESERVE_S,
    MIN_RATE_PER_S,
    TAKEOVER_WAIT_S,
)
from hornbeamline.telemetry import log_event

_PERMIT_BITS: Final = 48


class _Bucket:
    """Permits for one target."""

    def __init__(self, service: str, limit_per_s: float, now: float) -> None:
        self.service = service
        self.limit_per_s = limit_per_s
        # When an answer last named the limit.
        self.named_at = now
        self.used_at = now
        # When the next permit is due if all come evenly.
        self.due_at = now + TAKEOVER_WAIT_S
        self.granted_at_by_permit: dict[int, float] = {}

    @property
    def interval_s(self) -> float:
        """Return the time between two permits."""
        return 1 / max(self.limit_per_s, MIN_RATE_PER_S)

    def wait_s(self, now: float) -> float:
        """Return when a permit can be used."""
        return max(self.due_at - BURST_S - now, 0)

    def has_spare(self, now: float) -> bool:
        """Return whether no caller has wanted the next permit."""
        return self.due_at + self.interval_s / 2 <= now

    def take(self, number: int, now: float) -> None:
        """Hand out a permit."""
        self.due_at = max(self.due_at, now) + self.interval_s
        self.granted_at_by_permit[number] = now


class TargetBuckets:
    """Permits of all targets of which this host is the granter.

    In a span of T seconds a target with limit L gets at most
    1 + L x (T + `BURST_S`) permits.
    """

    def __init__(self, clock: Clock) -> None:
        """Take a clock that counts suspensions of the host as well."""
        self._clock = clock
        self._buckets_by_target: dict[str, _Bucket] = {}
        # When limits ended, by what their targets answered.
        self._ended_at_by_target: dict[str, float] = {}
        # Numbers of an earlier granter must not be taken for own ones.
        self._last_permit = secrets.randbits(_PERMIT_BITS)

    def limit_of(self, target: str) -> float:
        """Return the limit of a target, or infinity."""
        bucket = self._buckets_by_target.get(target)
        return math.inf if bucket is None else bucket.limit_per_s

    def limit_by_target(self) -> dict[str, float]:
        """Return the limits of the targets that are in use."""
        self._forget_idle()
        return {
            target: bucket.limit_per_s
            for target, bucket in self._buckets_by_target.items()
        }

    def services(self) -> frozenset[str]:
        """Return the services whose targets this host grants permits for."""
        self._forget_idle()
        return frozenset(
            bucket.service for bucket in self._buckets_by_target.values()
        )

    def name_limit(
        self,
        target: str,
        service: str,
        limit_per_s: float,
        named_ago_s: float = 0,
    ) -> None:
        """Take a limit that a target named some seconds ago.

        One that the target named before the limit ended is not taken.
        """
        now = self._clock.monotonic()
        named_at = now - named_ago_s
        if named_at <= self._ended_at_by_target.get(target, -math.inf):
            return
        bucket = self._buckets_by_target.get(target)
        if bucket is None:
            bucket = _Bucket(service, limit_per_s, now)
            self._buckets_by_target[target] = bucket
            log_event(
                'limits.grants',
                target=target,
                service=service,
                limit_per_s=limit_per_s,
                named_ago_s=named_ago_s,
            )
        if named_at >= bucket.named_at:
            bucket.limit_per_s = limit_per_s
            bucket.named_at = named_at
        bucket.used_at = now

    def end_limit(self, target: str, permit: int) -> bool:
        """Take an answer without a limit; return whether it ends the limit.

        Answers overtake one another: only the answer to a request that was
        permitted after the limit was last named tells that it has ended.
        """
        bucket = self._buckets_by_target.get(target)
        if bucket is None:
            return True
        granted_at = bucket.granted_at_by_permit.get(permit, -math.inf)
        if granted_at < bucket.named_at:
            return False
        now = self._clock.monotonic()
        log_event(
            'limits.end_noted',
            target=target,
            limit_per_s=bucket.limit_per_s,
            permitted_ago_s=now - granted_at,
        )
        self._buckets_by_target.pop(target)
        self._ended_at_by_target[target] = granted_at
        return True

    def take(self, question: AskPermit) -> PermitReply:
        """Grant a permit if there is one within the time of the asker."""
        if question.named_ago_s < math.inf:
            self._learn_from_asker(question)
        bucket = self._buckets_by_target.get(question.target)
        if bucket is None:
            return PermitReply(True, math.inf, 0, 0, 0)
        now = self._clock.monotonic()
        bucket.used_at = now
        wait_s = bucket.wait_s(now)
        max_wait_s = min(question.max_wait_s, MAX_RESERVE_S)
        is_granted = wait_s <= max_wait_s and (
            not question.is_spare or bucket.has_spare(now)
        )
        number = 0
        if is_granted:
            self._last_permit += 1
            number = self._last_permit
            bucket.take(number, now)
            _forget_old_permits(bucket, now)
        return PermitReply(
            True,
            bucket.limit_per_s,
            number,
            wait_s,
            bucket.wait_s(now),
        )

    def _learn_from_asker(self, question: AskPermit) -> None:
        """Take what an asker knows that an earlier granter knew."""
        if question.target not in self._buckets_by_target:
            self.name_limit(
                question.target,
                question.service,
                question.limit_per_s,
                question.named_ago_s,
            )

    def _forget_idle(self) -> None:
        now = self._clock.monotonic()
        for target, bucket in tuple(self._buckets_by_target.items()):
            if now - bucket.used_at > IDLE_S:
                self._buckets_by_target.pop(target)
                log_event('limits.grants_no_more', target=target)
        for ended, ended_at in tuple(self._ended_at_by_target.items()):
            if now - ended_at > KEEP_ENDS_S:
                self._ended_at_by_target.pop(ended)


def _forget_old_permits(bucket: _Bucket, now: float) -> None:
    oldest = now - KEEP_ENDS_S
    for number, granted_at in tuple(bucket.granted_at_by_permit.items()):
        if granted_at >= oldest:
            break
        bucket.granted_at_by_permit.pop(number)
