"""Reason codes of refusals, retries and hedges."""

from __future__ import annotations

from typing import Final

# Reasons of refusals. Each is a label value of the refusal counter and is
# part of the response to the caller.
REASON_DEADLINE_EXCEEDED: Final = 'deadline_exceeded'
REASON_DEADLINE_UNREACHABLE: Final = 'deadline_unreachable'
REASON_OVERLOADED: Final = 'overloaded'
REASON_QUEUE_FULL: Final = 'queue_full'
REASON_RATE_LIMITED: Final = 'rate_limited'
REASON_NO_TARGET: Final = 'no_target'
REASON_NO_VERSION: Final = 'no_target_of_version'
REASON_NO_HEDGE_TARGET: Final = 'no_hedge_target'
REASON_RETRY_BUDGET: Final = 'retry_budget_exhausted'
REASON_RETRY_ATTEMPTS: Final = 'retry_attempts_exhausted'
REASON_RETRY_NOT_IDEMPOTENT: Final = 'retry_not_idempotent'
REASON_RETRY_NO_TIME: Final = 'retry_no_time'

# Outcomes of `take_hedge`, used as label values of the hedge counter.
HEDGE_TAKEN: Final = 'taken'
HEDGE_BUDGET: Final = 'budget_exhausted'
HEDGE_NO_CAPACITY: Final = 'no_spare_capacity'
HEDGE_COST: Final = 'cost_weight'
HEDGE_NOT_ALLOWED: Final = 'not_allowed'
