"""Routing, limits, ejection and prefix affinity."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from hornbeamline.decisions import (
    CallResult,
    Dispatch,
    LoadReport,
    Refusal,
)
from hornbeamline.decisions._affinity import PrefixAffinity
from hornbeamline.decisions._limits import AdaptiveLimit
from hornbeamline.inventory import (
    LimitRules,
    RetryRules,
    RoutingRules,
    Rules,
    ServiceKind,
)
from tests.decisions.common import SERVICE_S, Driver, fleet_of

GOOD = (CallResult.succeeded, SERVICE_S)


def test_limit_follows_latency_and_refusals() -> None:
    """Guards against a limit that ignores measurements or its bounds."""
    limit = AdaptiveLimit(LimitRules(), 32, host_count=12)
    assert limit.value == 6
    for step in range(1_100):
        limit.succeeded(1.0, int(limit.value), step, step)
    assert limit.value == 32
    limit.pushed_back(1000, 1001)
    shrunk = limit.value
    limit.pushed_back(1000, 1002)
    assert limit.value == shrunk < 32
    for step in range(2000, 2500):
        limit.succeeded(5.0, 1, step, step)
    assert limit.value == 1


@pytest.mark.parametrize(
    'name',
    ['two_choices', 'round_robin', 'random', 'least_in_flight', 'least_work'],
)
def test_all_algorithms_spread_load(name: str) -> None:
    """Guards against an algorithm that is missing or favours one target."""
    rules = Rules(routing=RoutingRules(algorithm=name))
    counts = Driver(fleet_of(rules=rules)).run(lambda _: GOOD, 200)
    assert len(counts) >= 2
    assert max(counts.values()) <= 140


def test_own_data_centre_first_then_others() -> None:
    """Guards against needless traffic between data centres."""
    driver = Driver(fleet_of())
    dispatches = [driver.submit() for _ in range(8)]
    is_local = [each.target in ('first-1', 'first-3') for each in dispatches]
    assert is_local[0]
    assert not all(is_local)
    assert Counter(each.target for each in dispatches) == {
        f'first-{index}': 2 for index in range(4)
    }


def test_stale_reports_do_not_make_hosts_herd() -> None:
    """Guards against 12 hosts that all choose the target last seen idle."""
    counts: Counter[str] = Counter()
    for seed in range(12):
        driver = Driver(fleet_of(), seed)
        for index in range(4):
            busy = 0 if index == 1 else 2
            driver.engine.load_reported(
                f'first-{index}', LoadReport(busy, 0, 2.0)
            )
        for _ in range(4):
            counts[driver.submit().target] += 1
    assert max(counts.values()) <= 0.5 * sum(counts.values())


def test_loaded_target_is_avoided() -> None:
    """Guards against load reports that routing ignores."""
    driver = Driver(fleet_of())
    driver.engine.load_reported('first-1', LoadReport(20, 20, 0.1))
    picked = {driver.submit().target for _ in range(2)}
    assert 'first-1' not in picked


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize(
    'bad', [(CallResult.unreachable, 0.001), (CallResult.timed_out, 2.0)]
)
def test_dead_target_is_ejected_and_returns(bad, idempotent: bool) -> None:
    """Guards against a dead target that keeps calls or is never reinstated."""
    driver = Driver(fleet_of(idempotent=idempotent))
    driver.run(lambda _: GOOD, 100)
    counts = driver.run(lambda name: bad if name == 'first-1' else GOOD, 400)
    assert counts['first-1'] < 25
    again = driver.run(lambda _: GOOD, 3000)
    assert again['first-1'] > 200


def test_probe_waits_for_old_calls() -> None:
    """Guards against a target that is never reinstated after a hung call."""
    driver = Driver(fleet_of())
    hung = driver.submit()
    bad = (CallResult.unreachable, 0.001)
    driver.run(lambda name: bad if name == hung.target else GOOD, 300)
    driver.run(lambda _: GOOD, 600)
    driver.end(hung, CallResult.timed_out, 4)
    again = driver.run(lambda _: GOOD, 3000)
    assert again[hung.target] > 200


def test_straggler_gets_probes_only() -> None:
    """Guards against a straggler with full load, or without any probes."""
    slow = (CallResult.succeeded, SERVICE_S * 10)
    driver = Driver(fleet_of())
    counts = driver.run(lambda name: slow if name == 'first-1' else GOOD, 3000)
    assert 10 < counts['first-1'] < 150
    again = driver.run(lambda _: GOOD, 3000)
    assert again['first-1'] > 200


def test_cancelled_hedge_losers_show_a_silent_target() -> None:
    """Guards against a stalled target masked by hedges that succeed."""
    silent = (CallResult.cancelled, SERVICE_S * 6)
    driver = Driver(fleet_of())
    driver.run(lambda _: GOOD, 100)
    counts = driver.run(
        lambda name: silent if name == 'first-1' else GOOD, 1000
    )
    assert counts['first-1'] < 60


def test_ejection_leaves_enough_targets() -> None:
    """Guards against ejecting targets whose capacity is needed."""
    driver = Driver(fleet_of(targets=2))
    flaky = random.Random(3)
    for _ in range(300):
        held = [driver.submit() for _ in range(4)]
        targets = {each.target for each in held if isinstance(each, Dispatch)}
        assert len(targets) == 2
        for each in held:
            failed = flaky.random() < 0.4
            result = CallResult.failed if failed else CallResult.succeeded
            driver.end(each, result)
        driver.clock.advance(0.05)


def test_last_target_is_never_ejected() -> None:
    """Guards against a service without targets when all of them fail."""
    driver = Driver(fleet_of())
    driver.run(lambda _: (CallResult.failed, 0.01), 300)
    driver.engine.update_unavailable(frozenset({'first-0', 'first-2'}))
    driver.clock.advance(0.1)
    driver.run(lambda _: GOOD, 50)


def test_new_rules_take_effect_at_once() -> None:
    """Guards against limits, breakers and budgets that use old rules."""
    driver = Driver(fleet_of(targets=1))
    held = [driver.submit(), driver.submit()]
    assert driver.submit() is None
    one = Rules(limits=LimitRules(max_concurrency=1))
    driver.engine.update_fleet(fleet_of(targets=1, rules=one))
    driver.end(held[0])
    assert len(driver.answers) == 2
    driver.end(held[1])
    assert len(driver.answers) == 3
    none = Rules(retry=RetryRules(budget=0))
    driver.engine.update_fleet(fleet_of(targets=1, rules=none))
    report = driver.end(driver.answers[2], CallResult.failed)
    answer = driver.engine.retry_delay_s(driver.answers[2], report)
    assert answer.reason == 'retry_budget_exhausted'
    eager = Rules(routing=RoutingRules(ejection_failures=1))
    driver.engine.update_fleet(fleet_of(rules=eager))
    failed = driver.submit()
    driver.end(failed, CallResult.failed)
    picked = {driver.submit().target for _ in range(5)}
    assert failed.target not in picked


def test_unavailable_targets_get_nothing() -> None:
    """Guards against dispatches to a leaving target, also from the queue."""
    driver = Driver(fleet_of(targets=2))
    held = [driver.submit() for _ in range(4)]
    for _ in range(5):
        assert driver.submit() is None
    driver.engine.update_unavailable(frozenset({'first-0'}))
    driver.answers.clear()
    for dispatch in held:
        driver.end(dispatch)
    assert {each.target for each in driver.answers} == {'first-1'}
    driver.engine.update_unavailable(frozenset({'first-0', 'first-1'}))
    assert isinstance(driver.answers[-1], Refusal)
    assert driver.submit().reason == 'no_target'
    assert driver.engine.admit(driver.request()).reason == 'no_target'


def test_prefix_goes_to_its_holder_with_bounded_load() -> None:
    """Guards against lost affinity and against an overloaded holder."""
    fleet = fleet_of(targets=6, kind=ServiceKind.generation)
    driver = Driver(fleet)
    holder = driver.submit(prefix='p')
    driver.end(holder)
    again = [driver.submit(prefix='p') for _ in range(6)]
    assert again[0].target == holder.target
    assert len({each.target for each in again}) > 1
    other = Driver(fleet, seed=99)
    assert other.submit(prefix='p').target == holder.target
    other.engine.prefix_cached('first-5', 'q', held=True)
    assert other.submit(prefix='q').target == 'first-5'


def test_cache_events_that_get_lost_expire() -> None:
    """Guards against a prefix holder that never expires."""
    affinity = PrefixAffinity()
    affinity.record_holder('p', 'first-1', 0)
    assert affinity.holders('p', 1) == ['first-1']
    assert affinity.holders('p', 1000) == []
    affinity.record_holder('p', 'first-1', 1000)
    affinity.remove_holder('p', 'first-1')
    assert affinity.holders('p', 1001) == []
