"""Token buckets from which a granter issues permits; performs no I/O."""

from __future__ import annotations

import math
import secrets
from typing import Final

from hornbeamline.helpers.clock import Clock
from hornbeamline.limits._messages import AskPermit, PermitReply
from hornbeamline.limits.const import (
    BUCKET_IDLE_TIMEOUT_S,
    BURST_S,
    ENDED_LIMIT_RETENTION_S,
    MAX_RESERVATION_S,
    MAX_WARMUP_RESERVATION_S,
    MIN_RATE_PER_S,
    TAKEOVER_WAIT_S,
    WARMUP_BURST_S,
)
from hornbeamline.telemetry import log_event

_PERMIT_BITS: Final = 48


class _Bucket:
    """Issue the permits of one target at evenly spaced times.

    Follows the generic cell rate algorithm.
    """

    def __init__(self, service: str, now: float) -> None:
        self.service = service
        self.stated_per_s = math.inf
        # Infinite unless the target is cold.
        self.warmup_per_s = math.inf
        # When an answer of the target last stated the limit.
        self.named_at = -math.inf
        self.last_used_at = now
        # Theoretical arrival time: when the next permit is due if permits
        # are spaced evenly.
        self.next_permit_at = now
        self.granted_at_by_permit: dict[int, float] = {}

    @property
    def limit_per_s(self) -> float:
        """Return the lower of the stated limit and that of the warm-up."""
        return min(self.stated_per_s, self.warmup_per_s)

    @property
    def is_cold(self) -> bool:
        """Return whether the limit of the warm-up applies."""
        return self.warmup_per_s < math.inf

    @property
    def burst_s(self) -> float:
        """Return how far permits may be ahead of their even spacing."""
        return WARMUP_BURST_S if self.is_cold else BURST_S

    @property
    def max_reservation_s(self) -> float:
        """Return how far ahead of its use a permit may be issued."""
        return MAX_WARMUP_RESERVATION_S if self.is_cold else MAX_RESERVATION_S

    @property
    def interval_s(self) -> float:
        """Return the interval between two permits in seconds."""
        return 1 / max(self.limit_per_s, MIN_RATE_PER_S)

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next permit may be used."""
        return max(self.next_permit_at - self.burst_s - now, 0)

    def wait_until(self, permits_from: float) -> None:
        """Issue no permit that may be used before a time."""
        self.next_permit_at = max(
            self.next_permit_at, permits_from + self.burst_s
        )

    def has_spare(self, now: float) -> bool:
        """Return whether the next permit has been left unused.

        This is so once half an interval has passed since it was due.
        """
        return self.next_permit_at + self.interval_s / 2 <= now

    def take(self, number: int, now: float) -> None:
        """Issue the permit with this number."""
        self.next_permit_at = max(self.next_permit_at, now) + self.interval_s
        self.granted_at_by_permit[number] = now


class TargetBuckets:
    """Issue permits for all targets of which this host is the granter.

    A target with a limit of L requests per second gets at most
    1 + L x (T + B) permits in any T seconds; B is `BURST_S`, or
    `WARMUP_BURST_S` for a cold target.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without buckets.

        `clock` must also advance while the host is suspended.
        """
        self._clock = clock
        self._buckets_by_target: dict[str, _Bucket] = {}
        # Issue time of the permit whose answer ended the limit.
        self._ended_at_by_target: dict[str, float] = {}
        # Random start, so that permits of a previous granter are not
        # mistaken for permits of this one.
        self._last_permit = secrets.randbits(_PERMIT_BITS)

    def limit_of(self, target: str) -> float:
        """Return the stated limit per second, or infinity if none."""
        bucket = self._buckets_by_target.get(target)
        return math.inf if bucket is None else bucket.stated_per_s

    def limit_by_target(self) -> dict[str, float]:
        """Return the stated limits of the targets in use, per second."""
        self._evict_idle()
        return {
            target: bucket.stated_per_s
            for target, bucket in self._buckets_by_target.items()
            if bucket.stated_per_s < math.inf
        }

    def services(self) -> frozenset[str]:
        """Return the services for whose targets this host issues permits."""
        self._evict_idle()
        return frozenset(
            bucket.service for bucket in self._buckets_by_target.values()
        )

    def record_limit(
        self,
        target: str,
        service: str,
        limit_per_s: float,
        named_ago_s: float = 0,
    ) -> None:
        """Record a limit that a target stated `named_ago_s` seconds ago.

        Ignores a limit stated before the last known end of the limit.
        """
        now = self._clock.monotonic()
        named_at = now - named_ago_s
        if named_at <= self._ended_at_by_target.get(target, -math.inf):
            return
        bucket = self._bucket_of(target, service)
        if bucket.stated_per_s == math.inf:
            bucket.next_permit_at = max(
                bucket.next_permit_at, now + TAKEOVER_WAIT_S
            )
            bucket.named_at = now
            bucket.stated_per_s = limit_per_s
            log_event(
                'limits.grants',
                target=target,
                service=service,
                limit_per_s=limit_per_s,
                named_ago_s=named_ago_s,
            )
        if named_at >= bucket.named_at:
            bucket.stated_per_s = limit_per_s
            bucket.named_at = named_at
        bucket.last_used_at = now

    def record_warmup(
        self,
        target: str,
        service: str,
        warmup_per_s: float,
        permits_from: float,
    ) -> None:
        """Record the rate of a cold target; infinite if it is warm.

        Permits for a cold target are not used before `permits_from`.
        """
        if warmup_per_s == math.inf:
            warm = self._buckets_by_target.get(target)
            if warm is not None:
                warm.warmup_per_s = math.inf
                self._drop_unlimited(target, warm)
            return
        bucket = self._bucket_of(target, service)
        bucket.warmup_per_s = warmup_per_s
        bucket.wait_until(permits_from)

    def end_limit(self, target: str, permit: int) -> bool:
        """Process an answer without a limit; return whether it has ended.

        Answers can arrive out of order, so only the answer to a request
        whose permit was issued after the limit was last stated ends it.
        """
        bucket = self._buckets_by_target.get(target)
        if bucket is None or bucket.stated_per_s == math.inf:
            return True
        granted_at = bucket.granted_at_by_permit.get(permit, -math.inf)
        if granted_at < bucket.named_at:
            return False
        now = self._clock.monotonic()
        log_event(
            'limits.end_noted',
            target=target,
            limit_per_s=bucket.stated_per_s,
            permitted_ago_s=now - granted_at,
        )
        bucket.stated_per_s = math.inf
        self._drop_unlimited(target, bucket)
        self._ended_at_by_target[target] = granted_at
        return True

    def take(self, permit_request: AskPermit) -> PermitReply:
        """Issue a permit if one is available within the requested wait."""
        if permit_request.named_ago_s < math.inf:
            self._adopt_limit_of_requester(permit_request)
        bucket = self._buckets_by_target.get(permit_request.target)
        if bucket is None:
            return PermitReply(True, math.inf, 0, 0, 0)
        now = self._clock.monotonic()
        bucket.last_used_at = now
        wait_s = bucket.wait_s(now)
        max_wait_s = min(permit_request.max_wait_s, bucket.max_reservation_s)
        is_granted = wait_s <= max_wait_s and (
            not permit_request.is_spare or bucket.has_spare(now)
        )
        number = 0
        if is_granted:
            self._last_permit += 1
            number = self._last_permit
            bucket.take(number, now)
            _evict_old_permits(bucket, now)
        return PermitReply(
            True,
            bucket.limit_per_s,
            number,
            wait_s,
            bucket.wait_s(now),
        )

    def _adopt_limit_of_requester(self, permit_request: AskPermit) -> None:
        """Adopt a limit known to the requester, but not to a new granter."""
        if self.limit_of(permit_request.target) == math.inf:
            self.record_limit(
                permit_request.target,
                permit_request.service,
                permit_request.limit_per_s,
                permit_request.named_ago_s,
            )

    def _bucket_of(self, target: str, service: str) -> _Bucket:
        bucket = self._buckets_by_target.get(target)
        if bucket is None:
            bucket = _Bucket(service, self._clock.monotonic())
            self._buckets_by_target[target] = bucket
        return bucket

    def _drop_unlimited(self, target: str, bucket: _Bucket) -> None:
        if bucket.limit_per_s == math.inf:
            self._buckets_by_target.pop(target)

    def _evict_idle(self) -> None:
        now = self._clock.monotonic()
        for target, bucket in tuple(self._buckets_by_target.items()):
            if now - bucket.last_used_at > BUCKET_IDLE_TIMEOUT_S:
                self._buckets_by_target.pop(target)
                log_event('limits.grants_no_more', target=target)
        for ended, ended_at in tuple(self._ended_at_by_target.items()):
            if now - ended_at > ENDED_LIMIT_RETENTION_S:
                self._ended_at_by_target.pop(ended)


def _evict_old_permits(bucket: _Bucket, now: float) -> None:
    oldest = now - ENDED_LIMIT_RETENTION_S
    for number, granted_at in tuple(bucket.granted_at_by_permit.items()):
        if granted_at >= oldest:
            break
        bucket.granted_at_by_permit.pop(number)
