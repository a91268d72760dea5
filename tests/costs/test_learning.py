"""Estimates of costs, speeds and work under bad and changing evidence."""

from __future__ import annotations

import math
import random

import pytest

from hornbeamline.costs import (
    AttemptWork,
    CostModel,
    CostParts,
    RequestFeatures,
    SpeedEvidence,
    TargetSpeeds,
    WorkLeft,
)
from hornbeamline.costs.const import MAX_COST_KEYS, MAX_COST_S, MAX_SLOWNESS
from hornbeamline.helpers.clock import ManualClock


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def model(clock: ManualClock) -> CostModel:
    return CostModel(clock)


@pytest.fixture
def speeds(clock: ManualClock) -> TargetSpeeds:
    return TargetSpeeds(clock)


def test_heavy_tail_moves_an_estimate_little(model) -> None:
    """Guards against one response in twenty that takes 100 times as long."""
    rng = random.Random(3)
    for _ in range(400):
        tail = 100 if rng.random() < 0.05 else 1
        model.observe(RequestFeatures('r'), 0.2 * tail * rng.uniform(0.8, 1.2))
    assert 0.15 < model.estimate(RequestFeatures('r')) < 0.4


@pytest.mark.parametrize('actual_s', [0.004, 0.5, 5.0])
def test_prior_that_is_far_off_is_corrected(model, actual_s) -> None:
    """Guards against estimates that stay off by ten."""
    for _ in range(12):
        model.observe(RequestFeatures('r'), actual_s)
    estimate = model.estimate(RequestFeatures('r'))
    assert estimate == pytest.approx(actual_s, rel=0.3)


def test_prompt_tokens_are_told_from_output(model) -> None:
    """Guards against prompts of 800 and 12,000 tokens at the same cost."""
    rng = random.Random(5)
    for _ in range(600):
        prompt = rng.choice([826, 2368, 11_992])
        first_s = 0.02 + prompt / 50_000
        seconds = first_s + 100 * 0.004
        model.observe(RequestFeatures('r', prompt, 100), seconds, first_s)
    token_s = model.parts(RequestFeatures('r', 1, 100)).prompt_token_s
    assert token_s == pytest.approx(1 / 50_000, rel=0.4)
    estimate = model.estimate(RequestFeatures('r', 11_992, 100))
    assert estimate == pytest.approx(0.66, rel=0.25)


def test_new_account_begins_with_the_route(model) -> None:
    """Guards against a prior for accounts whose route is known."""
    for _ in range(30):
        model.observe(RequestFeatures('r', account='known'), 2.0)
    new = model.estimate(RequestFeatures('r', account='new'))
    assert new == pytest.approx(2.0, rel=0.2)


def test_changed_cost_is_followed(model) -> None:
    """Guards against old observations that outweigh new ones for ever."""
    for seconds in [0.1] * 500 + [0.6] * 80:
        model.observe(RequestFeatures('r'), seconds)
    assert model.estimate(RequestFeatures('r')) > 0.45


def test_keys_are_bounded(model) -> None:
    """Load: a caller with a new account for each request."""
    for number in range(MAX_COST_KEYS + 50):
        model.observe(RequestFeatures('r', account=f'a{number}'), 0.1)
    assert len(model) <= MAX_COST_KEYS


@pytest.mark.parametrize('seconds', [-1, 0, math.nan, math.inf, 1e9])
def test_absurd_durations_are_ignored(model, seconds) -> None:
    """Guards against a belief that one broken figure ruins."""
    before = model.estimate(RequestFeatures('r'))
    model.observe(RequestFeatures('r'), seconds)
    assert model.estimate(RequestFeatures('r')) == before
    huge = RequestFeatures('r', 10**30, 10**30)
    assert model.estimate(huge) <= MAX_COST_S
    assert model.estimate(RequestFeatures('r', -5, -5)) > 0


def test_slow_spell_ends_with_the_evidence(speeds, clock) -> None:
    """Load: a target takes 2.5 times as long for 0.6 s."""
    speeds.note_report('t', 2.5)
    assert speeds.slowness_of('t') > 2
    clock.advance(0.3)
    assert 1.2 < speeds.slowness_of('t') < 1.8
    clock.advance(1.5)
    assert speeds.slowness_of('t') == pytest.approx(1)


def test_durations_show_a_slow_target(speeds) -> None:
    """Load: a target has half the usual speed and never says so."""
    for _ in range(20):
        speeds.observe('t', 2.0)
    assert speeds.slowness_of('t') == pytest.approx(2.0, rel=0.1)


def test_fast_change_leaves_the_lasting_speed(speeds, clock) -> None:
    """Load: the speed of a target changes many times a second."""
    rng = random.Random(7)
    for _ in range(400):
        slowness = rng.choice([0.5, 1.0, 2.0])
        speeds.note_report('t', slowness)
        speeds.observe('t', slowness)
        clock.advance(0.05)
    clock.advance(2)
    assert speeds.slowness_of('t') == pytest.approx(1, rel=0.15)


def test_target_that_always_claims_to_be_fast(speeds, clock) -> None:
    """Fault: a target lies; its durations tell the truth."""
    for _ in range(60):
        speeds.note_report('t', 0.01)
        speeds.observe('t', 1.0)
        clock.advance(0.1)
    assert 0.8 < speeds.slowness_of('t') < 1.5


def test_evidence_of_others_is_used_and_bounded(speeds, clock) -> None:
    """A host without observations takes the speeds from the others."""
    other = TargetSpeeds(clock)
    for _ in range(10):
        other.observe('t', 2.0)
    speeds.update_others(other.evidence_by_target())
    assert speeds.slowness_of('t') == pytest.approx(2, rel=0.15)
    speeds.update_others({'t': SpeedEvidence(-5, 10**9)})
    assert speeds.slowness_of('t') == 1
    speeds.update_others({'t': SpeedEvidence(1, 10**300)})
    assert speeds.slowness_of('t') <= MAX_SLOWNESS * 1.001


def test_events_show_progress() -> None:
    """Guards against finished work that counts until a stream ends."""
    left = WorkLeft()
    parts = CostParts(0.1, 0.4, 1.0, 0.001)
    attempt = AttemptWork('t', RequestFeatures('r'), parts, 2.0, 0, 0)
    left.started(attempt)
    left.update_others({'t': 0.5})
    assert left.left_s('t') == pytest.approx(2.0)
    left.progressed(attempt, 3.0)
    assert left.left_s('t') == pytest.approx(1.5)
    left.progressed(attempt, 4.0)
    assert left.left_s('t') == pytest.approx(1.0)
    left.ended(attempt)
    assert left.own_by_target() == {}
    assert left.left_s('t') == 0.5
