"""Ejection, probing and reinstatement of failing and slow targets."""

from __future__ import annotations

import random
from statistics import median
from typing import Final

from hornbeamline.decisions import _metrics
from hornbeamline.decisions._estimates import MEDIAN, P95
from hornbeamline.decisions._pool import Pool
from hornbeamline.decisions._targets import TargetRecord

_MIN_REVIEW_INTERVAL_S: Final = 0.05
# A review costs 5 to 10 us per target, so this bounds it to 2% of a core.
_REVIEW_INTERVAL_PER_TARGET_S: Final = 0.0005
# A target that is slower than its pool by the first factor gets only probes.
# It is reinstated below the second factor; the hysteresis prevents flapping.
_AVOID_SLOWNESS: Final = 4.0
_REINSTATE_SLOWNESS: Final = 2.5
_PROBE_INTERVAL_S: Final = 2.0
# A target is stalled if its oldest call exceeds this multiple of the p95 and
# no call has succeeded since that call started.
_STALL_P95_MULTIPLE: Final = 3.0
_STALLED_SLOWNESS: Final = 10.0
_MIN_STALL_S: Final = 0.05
# After this multiple of `ejection_failures` failures in a row a target does no
# useful work, so it is ejected even if the other targets are overloaded.
_DEAD_FACTOR: Final = 4


class HealthReview:
    """Ejects targets of a pool from routing and reinstates them."""

    def __init__(self, pool: Pool, rng: random.Random) -> None:
        """Initialize with the pool and a random source."""
        self._pool = pool
        self._rng = rng

    def review(self, now: float) -> None:
        """Compare the targets with each other, at most every 50 ms."""
        pool = self._pool
        if now < pool.next_review_at:
            return
        pool.next_review_at = now + max(
            _MIN_REVIEW_INTERVAL_S,
            _REVIEW_INTERVAL_PER_TARGET_S * len(pool.records_by_name),
        )
        pool.refresh(now)
        if not pool.rules.routing.ejection:
            return
        medians = {
            record.name: relative
            for record in pool.records_by_name.values()
            if (relative := record.relative_quantile(MEDIAN, now)) is not None
        }
        typical = median(medians.values()) if medians else 1
        stall_s = pool.estimates.quantile_s(P95, pool.usual_tokens, now)
        stall_s = max(_MIN_STALL_S, stall_s * _STALL_P95_MULTIPLE)
        for record in pool.records_by_name.values():
            record.slowness = medians.get(record.name, typical) / typical
            self._review_target(record, stall_s, now)
        if not any(each.is_usable for each in pool.records_by_name.values()):
            self._reinstate_all(now)

    def succeeded(self, record: TargetRecord, now: float) -> None:
        """Record a success of a target."""
        record.last_success_at = now
        record.breaker.succeeded(now)

    def failed(self, record: TargetRecord, now: float) -> None:
        """Record a failure of a target and eject it if necessary."""
        pool = self._pool
        breaker = record.breaker
        breaker.failures += 1
        if breaker.is_open:
            if breaker.is_probing:
                breaker.open(now, self._rng)
            return
        if not pool.rules.routing.ejection or not breaker.should_open:
            return
        is_dead = breaker.failures >= (
            _DEAD_FACTOR * pool.rules.routing.ejection_failures
        )
        if is_dead and pool.has_other_usable(record):
            self._eject(record, 'dead', now)
        elif pool.has_capacity_without(record):
            self._eject(record, 'failures', now)

    def _eject(self, record: TargetRecord, evidence: str, now: float) -> None:
        record.breaker.open(now, self._rng)
        _metrics.ejections.add(self._pool.name, evidence)
        self._pool.update_candidacy(record)
        self._pool.refresh(now)

    def _reinstate_all(self, now: float) -> None:
        """Reinstate or probe all live targets when none is usable.

        This happens when membership removes the targets that had replaced
        the ejected ones.
        """
        for record in self._pool.records_by_name.values():
            if record.is_live and record.is_avoided:
                record.is_avoided = False
                record.breaker.start_ramp(now)
            if record.is_live and record.breaker.is_open:
                record.breaker.is_probing = True
                self._probe(record)
            self._pool.update_candidacy(record)

    def _review_target(
        self,
        record: TargetRecord,
        stall_s: float,
        now: float,
    ) -> None:
        pool = self._pool
        if record.in_flight and record.stalled_s(now) > stall_s:
            record.slowness = max(record.slowness, _STALLED_SLOWNESS)
        record.breaker.start_probe(now)
        if record.breaker.is_probing:
            self._probe(record)
        if record.is_avoided:
            self._review_avoided(record, now)
        elif self._is_too_slow(record):
            record.is_avoided = True
            _metrics.ejections.add(pool.name, 'slow')
            pool.update_candidacy(record)

    def _is_too_slow(self, record: TargetRecord) -> bool:
        if record.slowness <= _AVOID_SLOWNESS or not record.is_usable:
            return False
        return self._pool.has_capacity_without(record)

    def _review_avoided(self, record: TargetRecord, now: float) -> None:
        if record.slowness < _REINSTATE_SLOWNESS:
            record.is_avoided = False
            record.breaker.start_ramp(now)
            self._pool.update_candidacy(record)
            return
        # Jitter keeps hosts from probing at the same time.
        interval_s = _PROBE_INTERVAL_S * (1 + self._rng.random())
        if now - record.last_dispatch_at > interval_s:
            self._probe(record)

    def _probe(self, record: TargetRecord) -> None:
        if record not in self._pool.probes and not record.in_flight:
            self._pool.probes.append(record)
