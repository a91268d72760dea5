"""Dispatch, queueing and refusal of submitted calls."""

from __future__ import annotations

from typing import Final, NamedTuple

from hornbeamline.decisions import const
from hornbeamline.decisions._admission import Admission
from hornbeamline.decisions._calls import CallsInProgress
from hornbeamline.decisions._fleet import FleetState
from hornbeamline.decisions._plan import (
    StagePlan,
    attempt_timeout_s,
    latest_start_at,
)
from hornbeamline.decisions._pool import Pool
from hornbeamline.decisions._queue import QueuedCall
from hornbeamline.decisions._targets import TargetRecord
from hornbeamline.decisions._types import DecisionCallback, StageCall

# Queue positions that are tried per drain. A call without a usable target, for
# example one that excludes the only free target, must not block those behind.
_DRAIN_DEPTH: Final = 8


class _PendingCall(NamedTuple):
    """A submitted call with the data needed for its decision."""

    call: StageCall
    on_decision: DecisionCallback
    pool: Pool
    plan: StagePlan
    latest_start_at: float


class Dispatcher:
    """Assigns calls to targets with free capacity."""

    def __init__(
        self,
        state: FleetState,
        admission: Admission,
        calls: CallsInProgress,
    ) -> None:
        """Initialize with the pools, admission and calls of the host."""
        self._state = state
        self._admission = admission
        self._calls = calls

    def submit(
        self,
        call: StageCall,
        on_decision: DecisionCallback,
        pool: Pool,
        now: float,
    ) -> None:
        """Dispatch, queue or refuse a call."""
        pending = self._pending_call(call, on_decision, pool, now)
        reason = self._refusal_reason(pending, now)
        if reason is not None:
            on_decision(self._admission.refuse(reason, pool, now))
            return
        if pool.queue and not call.is_hedge:
            self._enqueue(pending, now)
            return
        record = self._choose(pending, now)
        if record is not None:
            account = call.request.account
            weight = self._admission.weight(account)
            pool.tags.advance(pool.tags.next_tag(account, weight))
            self._dispatch(pending, record, now)
        elif call.is_hedge:
            reason = const.REASON_NO_HEDGE_TARGET
            on_decision(self._admission.refuse(reason, pool, now))
        else:
            self._enqueue(pending, now)

    def drain(self, pool: Pool, now: float) -> None:
        """Dispatch queued calls while targets have free capacity."""
        # Callbacks may submit and withdraw calls, so each step reads the
        # queue again.
        index = 0
        while index < min(len(pool.queue), _DRAIN_DEPTH):
            if not (
                pool.local_candidates.records
                or pool.remote_candidates.records
                or pool.probes
            ):
                return
            waiting = pool.queue.peek(index)
            if waiting.latest_start_at < now:
                reason = const.REASON_DEADLINE_UNREACHABLE
                self._refuse(pool, waiting, reason, now)
                continue
            call = waiting.call
            pending = self._pending_call(call, waiting.on_decision, pool, now)
            record = self._choose(pending, now)
            if record is None:
                index += 1
                continue
            pool.queue.pop(index)
            pool.tags.advance(waiting.start_tag)
            self._dispatch(pending, record, now)

    def expire(self, pool: Pool, now: float) -> None:
        """Refuse the queued calls that can no longer be served in time."""
        for waiting in pool.queue:
            call = waiting.call
            if waiting.latest_start_at < now:
                reason = const.REASON_DEADLINE_UNREACHABLE
                self._refuse(pool, waiting, reason, now)
            elif call.software_version is not None and not pool.has_target(
                call,
            ):
                self._refuse(pool, waiting, const.REASON_NO_VERSION, now)

    def refuse_unroutable(self, pool: Pool, now: float) -> None:
        """Refuse the queued calls that no target can take any more."""
        for waiting in pool.queue:
            if not pool.has_target(waiting.call):
                reason = _no_target_reason(waiting.call)
                self._refuse(pool, waiting, reason, now)

    def refuse_all(self, pool: Pool, now: float) -> None:
        """Refuse all queued calls of a removed service."""
        for waiting in pool.queue:
            self._refuse(pool, waiting, const.REASON_NO_TARGET, now)

    def _pending_call(
        self,
        call: StageCall,
        on_decision: DecisionCallback,
        pool: Pool,
        now: float,
    ) -> _PendingCall:
        plan = self._state.plan(call, now)
        latest_at = call.request.deadline_at
        if pool.rules.admission.by_prediction:
            reserve_s = self._admission.reserve_s(call.request)
            latest_at = latest_start_at(plan, latest_at, reserve_s)
        return _PendingCall(call, on_decision, pool, plan, latest_at)

    def _refusal_reason(self, pending: _PendingCall, now: float) -> str | None:
        if pending.call.request.deadline_at <= now:
            return const.REASON_DEADLINE_EXCEEDED
        if pending.latest_start_at < now:
            return const.REASON_DEADLINE_UNREACHABLE
        if not pending.pool.has_target(pending.call):
            return _no_target_reason(pending.call)
        return None

    def _choose(
        self,
        pending: _PendingCall,
        now: float,
    ) -> TargetRecord | None:
        spare_s = pending.latest_start_at - now
        return pending.pool.choose(pending.call, spare_s, now)

    def _enqueue(self, pending: _PendingCall, now: float) -> None:
        pool = pending.pool
        request = pending.call.request
        weight = self._admission.weight(request.account)
        waiting = QueuedCall(
            pending.call,
            pending.on_decision,
            pending.latest_start_at,
            pool.tags.next_tag(request.account, weight),
        )
        priority = self._admission.priority(request)
        dropped = pool.queue.push(waiting, priority)
        if dropped is not None:
            reason = const.REASON_QUEUE_FULL
            dropped.on_decision(self._admission.refuse(reason, pool, now))
        self.drain(pool, now)

    def _dispatch(
        self,
        pending: _PendingCall,
        record: TargetRecord,
        now: float,
    ) -> None:
        pool = pending.pool
        call = pending.call
        if call.attempt == 1 and not call.is_hedge:
            self._admission.dispatched(call.request, call.stage_index)
            pool.retry_budget.earn()
            pool.hedge_budget.earn()
        is_idempotent = self._state.is_idempotent(call)
        may_retry = (
            is_idempotent
            and call.attempt < pool.rules.retry.max_attempts
            and pool.retry_budget.may_take()
            and pool.usable_count > 1
        )
        timeout_s = attempt_timeout_s(
            pending.plan,
            call.request.deadline_at - now,
            may_retry=may_retry,
        )
        tokens = self._state.tokens_of(call)
        dispatch = self._calls.start(call, pool, record, timeout_s, tokens, now)
        pending.on_decision(dispatch._replace(is_idempotent=is_idempotent))

    def _refuse(
        self,
        pool: Pool,
        waiting: QueuedCall,
        reason: str,
        now: float,
    ) -> None:
        # An earlier callback of the same pass may have removed the call.
        if pool.queue.remove(waiting):
            waiting.on_decision(self._admission.refuse(reason, pool, now))


def _no_target_reason(call: StageCall) -> str:
    if call.software_version is None:
        return const.REASON_NO_TARGET
    return const.REASON_NO_VERSION
