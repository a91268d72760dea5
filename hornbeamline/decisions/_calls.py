"""Tracking of calls in flight and measurement of their outcomes."""

from __future__ import annotations

from typing import Final

from hornbeamline.decisions._estimates import P95
from hornbeamline.decisions._health import HealthReview
from hornbeamline.decisions._pool import Pool
from hornbeamline.decisions._targets import TargetRecord
from hornbeamline.decisions._types import (
    CallReport,
    CallResult,
    Dispatch,
    StageCall,
)

_FAILURE_RESULTS: Final = frozenset(
    (
        CallResult.failed,
        CallResult.unreachable,
        CallResult.refused,
        CallResult.timed_out,
    )
)
_PUSHBACK_RESULTS: Final = frozenset((CallResult.refused, CallResult.timed_out))
# Below this utilisation of the limits, targets are assumed to be idle.
_IDLE_FRACTION: Final = 0.5


class _ActiveCall:
    """One call in flight."""

    def __init__(
        self,
        pool: Pool,
        record: TargetRecord,
        max_tokens: int,
        started_at: float,
    ) -> None:
        self.pool = pool
        self.record = record
        self.max_tokens = max_tokens
        self.started_at = started_at
        self.epoch = record.epoch
        self.first_token_s: float | None = None


class CallsInProgress:
    """Tracks calls in flight and updates measurements when they end."""

    def __init__(self) -> None:
        """Initialize without calls."""
        self._last_id = 0
        self._active: dict[int, _ActiveCall] = {}

    def start(
        self,
        call: StageCall,
        pool: Pool,
        record: TargetRecord,
        timeout_s: float,
        max_tokens: int,
        now: float,
    ) -> Dispatch:
        """Record a call as in flight and return its dispatch."""
        self._last_id += 1
        dispatch = Dispatch(
            self._last_id,
            call,
            record.name,
            timeout_s,
            software_version=record.software_version,
        )
        self._active[self._last_id] = _ActiveCall(pool, record, max_tokens, now)
        record.started_by_id[self._last_id] = now
        record.in_flight += 1
        record.last_dispatch_at = now
        pool.in_flight += 1
        pool.update_demand()
        pool.update_candidacy(record)
        if call.prefix:
            pool.affinity.record_holder(call.prefix, record.name, now)
        return dispatch

    def record_first_token(
        self,
        dispatch: Dispatch,
        duration_s: float,
        now: float,
    ) -> None:
        """Record the time to the first token of a call in flight."""
        active = self._active.get(dispatch.dispatch_id)
        if active is not None and active.first_token_s is None:
            active.first_token_s = duration_s
            # Streaming counts as progress, so the target is not stalled.
            active.record.last_success_at = now

    def finished(
        self,
        dispatch: Dispatch,
        report: CallReport,
        now: float,
    ) -> Pool | None:
        """Record the end of a call; return its pool, None if already ended."""
        active = self._active.pop(dispatch.dispatch_id, None)
        if active is None:
            return None
        record = active.record
        record.started_by_id.pop(dispatch.dispatch_id)
        record.in_flight -= 1
        active.pool.in_flight -= 1
        # Outcomes from a previous address or model version are not used for
        # the current one.
        if active.epoch == record.epoch:
            _record_outcome(active, report, now)
        active.pool.update_candidacy(record)
        return active.pool


def _record_outcome(
    active: _ActiveCall, report: CallReport, now: float
) -> None:
    if report.result is CallResult.succeeded:
        _record_success(active, report, now)
        return
    pool = active.pool
    record = active.record
    health = HealthReview(pool, pool.rng)
    p95_s = pool.estimates.quantile_s(P95, active.max_tokens, now)
    is_slow = report.duration_s > p95_s
    if report.result in _FAILURE_RESULTS:
        # A timeout below the p95 may only mean that too little time was left.
        if report.result is CallResult.timed_out and not is_slow:
            return
        health.failed(record, now)
        if report.result in _PUSHBACK_RESULTS:
            record.limit.pushed_back(active.started_at, now)
    if is_slow:
        # The duration is a lower bound for a call that did not succeed.
        # The slower call of a hedged pair, which is cancelled, counts as a
        # failure if its target has had no success since the call started.
        # Otherwise a stalled target whose calls are all hedged would never
        # be ejected.
        usual_s = pool.estimates.expected_s(active.max_tokens, now)
        record.record_relative(report.duration_s / usual_s, now)
        is_stalled = record.last_success_at < active.started_at
        if is_stalled and report.result is CallResult.cancelled:
            health.failed(record, now)


def _record_success(
    active: _ActiveCall, report: CallReport, now: float
) -> None:
    pool = active.pool
    record = active.record
    pool.served.count(now)
    estimates = pool.estimates
    tokens = report.tokens or active.max_tokens
    relative = report.duration_s / estimates.expected_s(tokens, now)
    record.record_relative(relative, now)
    usual_s = relative * estimates.expected_s(pool.usual_tokens, now)
    pool.idle_duration.record(
        usual_s,
        now,
        is_idle=pool.demand < pool.limit_sum * _IDLE_FRACTION,
    )
    record.limit.succeeded(
        usual_s / pool.idle_duration.mean_s,
        record.in_flight,
        active.started_at,
        now,
    )
    estimates.record(
        report.duration_s,
        report.tokens,
        active.max_tokens,
        active.first_token_s,
        now,
    )
    HealthReview(pool, pool.rng).succeeded(record, now)
