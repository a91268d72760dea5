"""Answers submitted calls with a target, a place in the queue or a refusal."""

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
from hornbeamline.decisions._queue import Waiting
from hornbeamline.decisions._targets import TargetRecord
from hornbeamline.decisions._types import Decided, StageCall

# Calls behind one that finds no target, for example because it excludes the
# only one with room, are tried up to this depth.
_DRAIN_DEPTH: Final = 8


class _Question(NamedTuple):
    """A call that waits for a target, with what the answer needs."""

    call: StageCall
    decided: Decided
    pool: Pool
    plan: StagePlan
    latest_start_at: float


class Dispatcher:
    """Matches calls with targets that have room."""

    def __init__(
        self,
        state: FleetState,
        admission: Admission,
        calls: CallsInProgress,
    ) -> None:
        """Take pools, admission and calls of the host."""
        self._state = state
        self._admission = admission
        self._calls = calls

    def submit(
        self,
        call: StageCall,
        decided: Decided,
        pool: Pool,
        now: float,
    ) -> None:
        """Answer a call now, or put it in the queue."""
        question = self._question(call, decided, pool, now)
        reason = self._reason_against(question, now)
        if reason is not None:
            decided(self._admission.refuse(reason, pool, now))
            return
        if pool.queue and not call.is_hedge:
            self._enqueue(question, now)
            return
        record = self._choose(question, now)
        if record is not None:
            account = call.request.account
            weight = self._admission.weight(account)
            pool.tags.serve(pool.tags.take(account, weight))
            self._dispatch(question, record, now)
        elif call.is_hedge:
            reason = const.REASON_NO_HEDGE_TARGET
            decided(self._admission.refuse(reason, pool, now))
        else:
            self._enqueue(question, now)

    def drain(self, pool: Pool, now: float) -> None:
        """Dispatch waiting calls while targets have room."""
        # Callbacks may submit and withdraw, so the queue is read anew in
        # each step.
        index = 0
        while index < min(len(pool.queue), _DRAIN_DEPTH):
            if not (pool.own.records or pool.others.records or pool.probes):
                return
            waiting = pool.queue.peek(index)
            if waiting.latest_start_at < now:
                reason = const.REASON_DEADLINE_UNREACHABLE
                self._refuse(pool, waiting, reason, now)
                continue
            call = waiting.call
            question = self._question(call, waiting.decided, pool, now)
            record = self._choose(question, now)
            if record is None:
                index += 1
                continue
            pool.queue.pop(index)
            pool.tags.serve(waiting.start_tag)
            self._dispatch(question, record, now)

    def expire(self, pool: Pool, now: float) -> None:
        """Refuse the waiting calls that can't meet their deadline."""
        for waiting in pool.queue:
            if waiting.latest_start_at < now:
                reason = const.REASON_DEADLINE_UNREACHABLE
                self._refuse(pool, waiting, reason, now)

    def refuse_hopeless(self, pool: Pool, now: float) -> None:
        """Refuse the waiting calls that have no target left."""
        for waiting in pool.queue:
            if not self._state.has_target(pool, waiting.call.excluded):
                self._refuse(pool, waiting, const.REASON_NO_TARGET, now)

    def refuse_all(self, pool: Pool, now: float) -> None:
        """Refuse the waiting calls of a removed service."""
        for waiting in pool.queue:
            self._refuse(pool, waiting, const.REASON_NO_TARGET, now)

    def _question(
        self,
        call: StageCall,
        decided: Decided,
        pool: Pool,
        now: float,
    ) -> _Question:
        plan = self._state.plan(call, now)
        latest_at = call.request.deadline_at
        if pool.rules.admission.by_prediction:
            reserve_s = self._admission.reserve_s(call.request)
            latest_at = latest_start_at(plan, latest_at, reserve_s)
        return _Question(call, decided, pool, plan, latest_at)

    def _reason_against(self, question: _Question, now: float) -> str | None:
        if question.call.request.deadline_at <= now:
            return const.REASON_DEADLINE_EXCEEDED
        if question.latest_start_at < now:
            return const.REASON_DEADLINE_UNREACHABLE
        if not self._state.has_target(question.pool, question.call.excluded):
            return const.REASON_NO_TARGET
        return None

    def _choose(
        self,
        question: _Question,
        now: float,
    ) -> TargetRecord | None:
        spare_s = question.latest_start_at - now
        return question.pool.choose(question.call, spare_s, now)

    def _enqueue(self, question: _Question, now: float) -> None:
        pool = question.pool
        request = question.call.request
        weight = self._admission.weight(request.account)
        waiting = Waiting(
            question.call,
            question.decided,
            question.latest_start_at,
            pool.tags.take(request.account, weight),
        )
        priority = self._admission.priority(request)
        dropped = pool.queue.push(waiting, priority)
        if dropped is not None:
            reason = const.REASON_QUEUE_FULL
            dropped.decided(self._admission.refuse(reason, pool, now))
        self.drain(pool, now)

    def _dispatch(
        self,
        question: _Question,
        record: TargetRecord,
        now: float,
    ) -> None:
        pool = question.pool
        call = question.call
        if call.attempt == 1 and not call.is_hedge:
            self._admission.dispatched(call.request, call.stage_index)
            pool.retry_budget.earn()
            pool.hedge_budget.earn()
        is_idempotent = self._state.may_repeat(call)
        may_retry = (
            is_idempotent
            and call.attempt < pool.rules.retry.max_attempts
            and pool.retry_budget.may_take()
            and pool.usable_count > 1
        )
        timeout_s = attempt_timeout_s(
            question.plan,
            call.request.deadline_at - now,
            may_retry=may_retry,
        )
        tokens = self._state.tokens_of(call)
        dispatch = self._calls.start(call, pool, record, timeout_s, tokens, now)
        question.decided(dispatch._replace(may_repeat=is_idempotent))

    def _refuse(
        self,
        pool: Pool,
        waiting: Waiting,
        reason: str,
        now: float,
    ) -> None:
        # An earlier callback of the same sweep may have taken it out.
        if pool.queue.remove(waiting):
            waiting.decided(self._admission.refuse(reason, pool, now))
