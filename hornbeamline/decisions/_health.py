"""Ejection, probes and return of failing and slow targets."""

from __future__ import annotations

import random
from statistics import median
from typing import Final

from hornbeamline.decisions import _metrics
from hornbeamline.decisions._estimates import MEDIAN, P95
from hornbeamline.decisions._pool import Pool
from hornbeamline.decisions._targets import TargetRecord

_SHORTEST_INTERVAL_S: Final = 0.05
# A review costs 5 to 10 us per target; this bounds it to 2% of a core.
_INTERVAL_PER_TARGET_S: Final = 0.0005
# A target this much slower than its pool gets probes only; it returns below
# the second figure, so that it does not flap at the border.
_TOO_SLOW: Final = 4.0
_FAST_AGAIN: Final = 2.5
_PROBE_INTERVAL_S: Final = 2.0
# A call this many p95 old, with no success since its start, marks its target
# as silent.
_STALL_P95: Final = 3.0
_STALLED_SLOWNESS: Final = 10.0
_SHORTEST_STALL_S: Final = 0.05
# A target that fails this many times the ejection count in a row carries no
# load, so it is ejected even if the rest is overloaded.
_DEAD_FACTOR: Final = 4


class HealthReview:
    """Moves targets of a pool out of and back into routing."""

    def __init__(self, pool: Pool, rng: random.Random) -> None:
        """Take the pool and a random source."""
        self._pool = pool
        self._rng = rng

    def review(self, now: float) -> None:
        """Compare the targets with each other, every 50 ms or less often."""
        pool = self._pool
        if now < pool.next_review_at:
            return
        pool.next_review_at = now + max(
            _SHORTEST_INTERVAL_S,
            _INTERVAL_PER_TARGET_S * len(pool.records_by_name),
        )
        pool.measure(now)
        if not pool.rules.routing.ejection:
            return
        medians = {
            record.name: relative
            for record in pool.records_by_name.values()
            if (relative := record.relative_quantile(MEDIAN, now)) is not None
        }
        typical = median(medians.values()) if medians else 1
        stall_s = pool.estimates.quantile_s(P95, pool.usual_tokens, now)
        stall_s = max(_SHORTEST_STALL_S, stall_s * _STALL_P95)
        for record in pool.records_by_name.values():
            record.slowness = medians.get(record.name, typical) / typical
            self._review_target(record, stall_s, now)
        if not any(each.is_usable for each in pool.records_by_name.values()):
            self._return_all(now)

    def succeeded(self, record: TargetRecord, now: float) -> None:
        """Take a success of a target."""
        record.last_success_at = now
        record.breaker.succeeded(now)

    def failed(self, record: TargetRecord, now: float) -> None:
        """Take a failure of a target and eject it if that is due."""
        pool = self._pool
        breaker = record.breaker
        breaker.failures += 1
        if breaker.is_open:
            if breaker.is_probing:
                breaker.open(now, self._rng)
            return
        if not pool.rules.routing.ejection or not breaker.wants_open:
            return
        is_dead = breaker.failures >= (
            _DEAD_FACTOR * pool.rules.routing.ejection_failures
        )
        if is_dead and pool.has_others(record):
            self._eject(record, 'dead', now)
        elif pool.rest_can_carry(record):
            self._eject(record, 'failures', now)

    def _eject(self, record: TargetRecord, evidence: str, now: float) -> None:
        record.breaker.open(now, self._rng)
        _metrics.ejections.add(self._pool.name, evidence)
        self._pool.sync(record)
        self._pool.measure(now)

    def _return_all(self, now: float) -> None:
        """Try all live targets at once when none is left in routing.

        This happens when membership takes away the targets that stood in
        for ejected ones.
        """
        for record in self._pool.records_by_name.values():
            if record.is_live and record.is_avoided:
                record.is_avoided = False
                record.breaker.return_slowly(now)
            if record.is_live and record.breaker.is_open:
                record.breaker.is_probing = True
                self._probe(record)
            self._pool.sync(record)

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
            pool.sync(record)

    def _is_too_slow(self, record: TargetRecord) -> bool:
        if record.slowness <= _TOO_SLOW or not record.is_usable:
            return False
        return self._pool.rest_can_carry(record)

    def _review_avoided(self, record: TargetRecord, now: float) -> None:
        if record.slowness < _FAST_AGAIN:
            record.is_avoided = False
            record.breaker.return_slowly(now)
            self._pool.sync(record)
            return
        # The interval varies so that hosts do not probe at the same moment.
        interval_s = _PROBE_INTERVAL_S * (1 + self._rng.random())
        if now - record.last_dispatch_at > interval_s:
            self._probe(record)

    def _probe(self, record: TargetRecord) -> None:
        if record not in self._pool.probes and not record.in_flight:
            self._pool.probes.append(record)
