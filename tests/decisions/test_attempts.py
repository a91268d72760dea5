"""Retries, hedges, their budgets and the cost weight."""

from __future__ import annotations

import datetime

import pytest

from hornbeamline.decisions import CallResult, Dispatch, Refusal
from hornbeamline.decisions._budgets import AttemptBudget, CostWeight
from hornbeamline.inventory import CostRules, HedgeRules, Rules, ServiceHours
from tests.decisions.common import SERVICE_S, Driver, fleet_of


def test_budget_is_a_fraction_of_first_attempts() -> None:
    """Guards against extra attempts beyond the budget."""
    budget = AttemptBudget(0.1)
    taken = 0
    for _ in range(1000):
        budget.earn()
        taken += budget.take()
        taken += budget.take()
    assert 100 <= taken <= 103
    assert not AttemptBudget(0).take()


@pytest.mark.parametrize(
    ('result', 'idempotent', 'reason'),
    [
        (CallResult.failed, True, None),
        (CallResult.timed_out, True, None),
        (CallResult.unreachable, False, None),
        (CallResult.refused, False, None),
        (CallResult.failed, False, 'retry_not_idempotent'),
        (CallResult.timed_out, False, 'retry_not_idempotent'),
        (CallResult.cancelled, True, 'retry_attempts_exhausted'),
    ],
)
def test_what_may_be_retried(
    result: CallResult, idempotent: bool, reason: str | None
) -> None:
    """Guards against a repeat of a call that is not idempotent."""
    driver = Driver(fleet_of(idempotent=idempotent))
    dispatch = driver.submit()
    answer = driver.engine.retry_delay_s(dispatch, driver.end(dispatch, result))
    if reason is None:
        assert isinstance(answer, float)
        assert 0 < answer <= 0.2
    else:
        assert isinstance(answer, Refusal)
        assert answer.reason == reason


def test_retry_needs_attempts_time_and_budget() -> None:
    """Guards against endless retries, retries without time, and storms."""
    driver = Driver(fleet_of())
    last = driver.submit(attempt=3)
    report = driver.end(last, CallResult.failed)
    answer = driver.engine.retry_delay_s(last, report)
    assert answer.reason == 'retry_attempts_exhausted'
    request = driver.request(0.3)
    dispatch = driver.submit(request)
    driver.clock.advance(0.25)
    report = driver.end(dispatch, CallResult.failed)
    answer = driver.engine.retry_delay_s(dispatch, report)
    assert answer.reason == 'retry_no_time'
    granted = 0
    for _ in range(100):
        dispatch = driver.submit()
        report = driver.end(dispatch, CallResult.failed)
        answer = driver.engine.retry_delay_s(dispatch, report)
        granted += isinstance(answer, float)
        driver.clock.advance(0.02)
    assert granted <= 13


def test_storm_keeps_the_rest_within_budget() -> None:
    """Guards against retries that overload the healthy targets."""
    driver = Driver(fleet_of(targets=4))
    extra = 0
    for _ in range(500):
        dispatch = driver.submit()
        while isinstance(dispatch, Dispatch):
            is_bad = dispatch.target in ('first-1', 'first-2')
            result = CallResult.failed if is_bad else CallResult.succeeded
            report = driver.end(dispatch, result)
            if not is_bad:
                break
            answer = driver.engine.retry_delay_s(dispatch, report)
            if isinstance(answer, Refusal):
                break
            extra += 1
            call = dispatch.call
            dispatch = driver.submit(
                call.request,
                attempt=call.attempt + 1,
                excluded=call.excluded | {dispatch.target},
            )
        driver.clock.advance(0.01)
    assert 0 < extra <= 53


def test_hedge_is_after_the_quantile_and_within_budget() -> None:
    """Guards against hedges for every call, or for none."""
    driver = Driver(fleet_of())
    for _ in range(400):
        driver.end(driver.submit())
        driver.clock.advance(0.01)
    dispatch = driver.submit()
    delay_s = driver.engine.hedge_delay_s(dispatch)
    assert delay_s == pytest.approx(SERVICE_S, rel=0.1)
    taken = sum(driver.engine.take_hedge(dispatch) for _ in range(100))
    assert 20 <= taken <= 23
    hedge = driver.submit(
        dispatch.call.request,
        is_hedge=True,
        excluded=frozenset({dispatch.target}),
    )
    assert hedge.target != dispatch.target
    assert driver.engine.hedge_delay_s(hedge) is None


def test_no_hedge_without_capacity_or_permission() -> None:
    """Guards against hedges under overload or of calls that must run once."""
    driver = Driver(fleet_of())
    held = [driver.submit() for _ in range(8)]
    assert not driver.engine.take_hedge(held[0])
    hedge = driver.submit(is_hedge=True)
    assert hedge.reason == 'no_hedge_target'
    for off in (
        fleet_of(idempotent=False),
        fleet_of(rules=Rules(hedge=HedgeRules(enabled=False))),
        fleet_of(rules=Rules(cost=CostRules(weight=1))),
    ):
        driver = Driver(off)
        dispatch = driver.submit()
        assert not driver.engine.take_hedge(dispatch)


def test_cost_weight_follows_service_hours() -> None:
    """Guards against hours in local time and a weight cached for too long."""
    hours = ServiceHours(weekdays=[7], from_hour=8, to_hour=12)
    weight = CostWeight()
    weight.update(
        CostRules(
            weight=0.9,
            weight_in_service_hours=0.1,
            service_hours=[hours],
        )
    )
    sunday = datetime.datetime(2026, 3, 1, 8, tzinfo=datetime.UTC)
    start_ms = int(sunday.timestamp() * 1000)
    hour_ms = 3_600_000
    assert weight.at(start_ms - 1) == 0.9
    assert weight.at(start_ms + 1000) == 0.1
    assert weight.at(start_ms + 4 * hour_ms) == 0.9
    assert weight.at(start_ms + 25 * hour_ms) == 0.9
    # The wall clock may be set back.
    assert weight.at(start_ms) == 0.1
