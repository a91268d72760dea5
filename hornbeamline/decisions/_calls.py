"""Calls in progress and what their ends teach."""

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

_FAILURES: Final = frozenset(
    (
        CallResult.failed,
        CallResult.unreachable,
        CallResult.refused,
        CallResult.timed_out,
    )
)
_PUSHED_BACK: Final = frozenset((CallResult.refused, CallResult.timed_out))
# A host that uses less than this part of its limits sees idle targets.
_IDLE_PART: Final = 0.5


class _Active:
    """One call in progress."""

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
    """Counts calls at targets and learns from their ends."""

    def __init__(self) -> None:
        """Start without calls."""
        self._last_id = 0
        self._active: dict[int, _Active] = {}

    def start(
        self,
        call: StageCall,
        pool: Pool,
        record: TargetRecord,
        timeout_s: float,
        max_tokens: int,
        now: float,
    ) -> Dispatch:
        """Count a call as sent and return its dispatch."""
        self._last_id += 1
        dispatch = Dispatch(self._last_id, call, record.name, timeout_s)
        self._active[self._last_id] = _Active(pool, record, max_tokens, now)
        record.started_by_id[self._last_id] = now
        record.in_flight += 1
        record.last_dispatch_at = now
        pool.in_flight += 1
        pool.note_demand()
        pool.sync(record)
        if call.prefix:
            pool.affinity.note(call.prefix, record.name, now)
        return dispatch

    def first_token(
        self,
        dispatch: Dispatch,
        duration_s: float,
        now: float,
    ) -> None:
        """Note the first token of a call in progress."""
        active = self._active.get(dispatch.dispatch_id)
        if active is not None and active.first_token_s is None:
            active.first_token_s = duration_s
            # A target that streams is not silent.
            active.record.last_success_at = now

    def finished(
        self,
        dispatch: Dispatch,
        report: CallReport,
        now: float,
    ) -> Pool | None:
        """Count a call as ended; None if it had ended before."""
        active = self._active.pop(dispatch.dispatch_id, None)
        if active is None:
            return None
        record = active.record
        record.started_by_id.pop(dispatch.dispatch_id)
        record.in_flight -= 1
        active.pool.in_flight -= 1
        # What happened at an old address or model version says nothing
        # about the present one.
        if active.epoch == record.epoch:
            _learn(active, report, now)
        active.pool.sync(record)
        return active.pool


def _learn(active: _Active, report: CallReport, now: float) -> None:
    if report.result is CallResult.succeeded:
        _learn_success(active, report, now)
        return
    pool = active.pool
    record = active.record
    health = HealthReview(pool, pool.rng)
    p95_s = pool.estimates.quantile_s(P95, active.max_tokens, now)
    is_slow = report.duration_s > p95_s
    if report.result in _FAILURES:
        # A call that was sent with too little time left proves nothing.
        if report.result is CallResult.timed_out and not is_slow:
            return
        health.failed(record, now)
        if report.result in _PUSHED_BACK:
            record.limit.pushed_back(active.started_at, now)
    if is_slow:
        # A call that was given up took at least this long. The loser of a
        # hedge counts, or a silent target whose calls are all hedged would
        # never show a failure.
        usual_s = pool.estimates.expected_s(active.max_tokens, now)
        record.record_relative(report.duration_s / usual_s, now)
        is_silent = record.last_success_at < active.started_at
        if is_silent and report.result is CallResult.cancelled:
            health.failed(record, now)


def _learn_success(active: _Active, report: CallReport, now: float) -> None:
    pool = active.pool
    record = active.record
    pool.served.count(now)
    estimates = pool.estimates
    tokens = report.tokens or active.max_tokens
    relative = report.duration_s / estimates.expected_s(tokens, now)
    record.record_relative(relative, now)
    usual_s = relative * estimates.expected_s(pool.usual_tokens, now)
    pool.idle.record(
        usual_s,
        now,
        is_idle=pool.demand < pool.limit_sum * _IDLE_PART,
    )
    record.limit.succeeded(
        usual_s / pool.idle.mean_s,
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
