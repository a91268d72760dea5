"""Retries and hedges, limited by their budgets."""

from __future__ import annotations

import random
from typing import Final

from hornbeamline.decisions import _metrics, const
from hornbeamline.decisions._budgets import CostWeight
from hornbeamline.decisions._plan import StagePlan
from hornbeamline.decisions._pool import Pool
from hornbeamline.decisions._types import CallReport, CallResult, Dispatch
from hornbeamline.inventory import RetryRules

_MS_PER_S: Final = 1000
# Results after which a repeat is safe, because the call did not run.
NOT_RUN: Final = frozenset((CallResult.refused, CallResult.unreachable))


class ExtraAttempts:
    """Grants retries and hedges."""

    def __init__(self, cost: CostWeight, rng: random.Random) -> None:
        """Initialize with the cost weight and a random source."""
        self._cost = cost
        self._rng = rng

    def hedge_delay_s(
        self,
        pool: Pool,
        dispatch: Dispatch,
        max_tokens: int,
        now: float,
    ) -> float | None:
        """Return the delay before a hedge, or None if none is allowed."""
        rules = pool.rules.hedge
        if not rules.enabled or not dispatch.is_idempotent:
            return None
        if dispatch.call.is_hedge or pool.usable_count < 2:
            return None
        return pool.estimates.quantile_s(rules.quantile, max_tokens, now)

    def take_hedge(self, pool: Pool, dispatch: Dispatch, wall_ms: int) -> bool:
        """Spend a hedge from the budget; return whether it is granted."""
        answer = self._hedge_answer(pool, dispatch, wall_ms)
        _metrics.hedges.add(pool.name, answer)
        return answer == const.HEDGE_TAKEN

    def retry_refusal_reason(
        self,
        pool: Pool,
        dispatch: Dispatch,
        report: CallReport,
    ) -> str | None:
        """Return why a call can't be retried, apart from time and budget."""
        if report.result in {CallResult.cancelled, CallResult.succeeded}:
            return const.REASON_RETRY_ATTEMPTS
        if dispatch.call.attempt >= pool.rules.retry.max_attempts:
            return const.REASON_RETRY_ATTEMPTS
        is_safe = report.result in NOT_RUN or dispatch.is_idempotent
        if not is_safe:
            return const.REASON_RETRY_NOT_IDEMPOTENT
        return None

    def take_retry(
        self,
        pool: Pool,
        dispatch: Dispatch,
        report: CallReport,
        plan: StagePlan,
        now: float,
    ) -> float | str:
        """Spend a retry; return its delay in seconds, or the reason code."""
        reason = self.retry_refusal_reason(pool, dispatch, report)
        if reason is not None:
            return reason
        delay_s = backoff_s(
            pool.rules.retry,
            dispatch.call.attempt,
            self._rng,
        )
        needed_s = delay_s + plan.median_s + plan.rest_median_s
        if now + needed_s > dispatch.call.request.deadline_at:
            return const.REASON_RETRY_NO_TIME
        if not pool.retry_budget.take():
            return const.REASON_RETRY_BUDGET
        _metrics.retries.add(pool.name, report.result.value)
        return delay_s

    def _hedge_answer(
        self,
        pool: Pool,
        dispatch: Dispatch,
        wall_ms: int,
    ) -> str:
        is_idempotent = dispatch.is_idempotent
        is_allowed = pool.rules.hedge.enabled and is_idempotent
        if not is_allowed or dispatch.call.is_hedge:
            return const.HEDGE_NOT_ALLOWED
        # The weight is the fraction of hedges that are denied to save cost.
        if self._rng.random() < self._cost.at(wall_ms):
            return const.HEDGE_COST
        if not pool.has_spare_capacity():
            return const.HEDGE_NO_CAPACITY
        if not pool.hedge_budget.take():
            return const.HEDGE_BUDGET
        return const.HEDGE_TAKEN


def backoff_s(rules: RetryRules, attempt: int, rng: random.Random) -> float:
    """Return the exponential backoff after an attempt, with jitter."""
    delay_ms = rules.base_delay_ms * float(1 << (attempt - 1))
    max_wait_ms = min(rules.max_delay_ms, delay_ms)
    return max_wait_ms * (1 + rng.random()) / 2 / _MS_PER_S
