"""Choice among targets by many hosts with outdated views."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from hornbeamline.costs import (
    KIND_PLAIN,
    Beliefs,
    Candidate,
    Option,
    RequestFeatures,
    SpeedEvidence,
    choose,
    sample,
)
from hornbeamline.helpers.clock import ManualClock

TARGETS = [f't{number}' for number in range(45)]
SLOW = frozenset(TARGETS[::4])
REQUEST = RequestFeatures('r')
# Logarithms of the slowness of targets with speeds of 0.55 and 1.2.
SLOW_LOG = 60
FAST_LOG = -18


def make_hosts(count: int, age_s: float, work: dict[str, float]) -> list:
    """Return hosts with the same view, which is `age_s` old."""
    speeds = {
        target: SpeedEvidence(
            1000, 10 * (SLOW_LOG if target in SLOW else FAST_LOG)
        )
        for target in TARGETS
    }
    hosts = []
    for seed in range(count):
        clock = ManualClock()
        host = Beliefs(clock, random.Random(seed))
        host.note_report('s', TARGETS[0], 1)
        host.update_others(work, speeds)
        clock.advance(age_s + 1e-3)
        hosts.append(host)
    return hosts


def pick(host: Beliefs, features: RequestFeatures = REQUEST) -> str:
    """Return the target that a host chooses, and start a request there."""
    slowness_of = host.speeds.slowness_of
    targets = sample(TARGETS, [], slowness_of, host._rng)
    candidates = [Candidate(target, 16, 0, 0, 0) for target in targets]
    option = host.choose('s', KIND_PLAIN, candidates, features)
    chosen = next(c for c in candidates if c.target == option.target)
    host.started('s', chosen, features)
    return option.target


@pytest.mark.parametrize('hosts', [12, 96, 200])
@pytest.mark.parametrize('age_s', [0, 0.5, 2])
def test_hosts_do_not_all_choose_the_idle_target(hosts, age_s) -> None:
    """Guards against a herd: all hosts see the same idle target."""
    work = dict.fromkeys(TARGETS, 8.0) | {'t1': 0}
    chosen = Counter(
        pick(host) for host in make_hosts(hosts, age_s, work) for _ in range(3)
    )
    assert max(chosen.values()) <= max(chosen.total() * 0.2, 5)
    assert len(chosen) >= min(hosts, 30)


@pytest.mark.parametrize('busy_s', [0, 8.0])
def test_slow_targets_get_less_in_proportion(busy_s) -> None:
    """Load: a quarter of the targets has half the speed of the others."""
    work = {
        target: busy_s * (2.2 if target in SLOW else 1) for target in TARGETS
    }
    hosts = make_hosts(96, 1, work)
    chosen = Counter(pick(host) for host in hosts for _ in range(20))
    slow = sum(chosen[target] for target in SLOW) / len(SLOW)
    fast_count = len(TARGETS) - len(SLOW)
    fast = (chosen.total() - slow * len(SLOW)) / fast_count
    assert 0.03 < slow / fast < 0.6


def test_host_with_nothing_learned_uses_all_targets() -> None:
    """Guards against a new host that favours some targets."""
    host = Beliefs(ManualClock(), random.Random(2))
    host.note_report('s', 'elsewhere', 1)
    chosen = Counter(pick(host) for _ in range(450))
    assert len(chosen) == len(TARGETS)
    assert max(chosen.values()) < 40


@pytest.mark.parametrize('factor', [0.1, 10])
def test_estimates_off_by_ten_still_spread_the_work(factor) -> None:
    """Fault: the estimated costs are wrong by a factor of ten."""
    clock = ManualClock()
    host = Beliefs(clock, random.Random(3))
    host.note_report('s', 'elsewhere', 1)
    for _ in range(30):
        host.model.observe(REQUEST, 0.2 * factor)
    chosen = Counter(pick(host) for _ in range(900))
    assert max(chosen.values()) < 2 * 900 / len(TARGETS)


def test_target_that_claims_to_be_idle_gets_no_more() -> None:
    """Fault: a target reports no load and a tenth of the usual duration."""
    host = Beliefs(ManualClock(), random.Random(5))
    for _ in range(20):
        host.note_report('s', 't1', 0.1)
    chosen = Counter(pick(host) for _ in range(900))
    assert chosen['t1'] < 3 * 900 / len(TARGETS)


def test_momentary_slowness_counts_while_it_is_fresh() -> None:
    """Load: one of two targets is in a slow spell."""
    clock = ManualClock()
    host = Beliefs(clock, random.Random(5))
    host.note_report('s', 't1', 2.5)
    view = [Candidate(target, 16, 0, 0, 0) for target in ('t1', 't2')]

    def share() -> int:
        return sum(
            host.choose('s', KIND_PLAIN, view, REQUEST).target == 't1'
            for _ in range(100)
        )

    assert share() == 0
    clock.advance(1.5)
    assert share() > 20


def test_transfer_and_prompt_are_part_of_the_cost() -> None:
    """Guards against a full prefill to save a little wait."""
    near = Option('near', wait_s=0.1, run_s=0.4)
    far = Option('far', wait_s=0, run_s=0.4, extra_s=0.5)
    rng = random.Random(1)
    assert choose([near, far], rng).target == 'near'
    uncached = Option('uncached', wait_s=0, run_s=1)
    assert choose([near, uncached], rng).target == 'near'
