"""Choice of targets under load, faults and shared prompts."""

from __future__ import annotations

import random

import pytest

from hornbeamline.gateway import TargetLoad, TargetPicker
from hornbeamline.gateway._picker import EJECT_S, PickCriteria
from hornbeamline.helpers.clock import ManualClock
from tests.gateway.builders import make_request, make_target

TARGETS = [make_target(f't{number}') for number in range(4)]


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def picker(clock: ManualClock) -> TargetPicker:
    return TargetPicker('dc-1', clock, random.Random(1))


def wish(**changes: object) -> PickCriteria:
    """Return the wish of a plain request."""
    return PickCriteria(make_request(**changes), {}, ())


def test_busy_target_is_left_to_others(picker, clock) -> None:
    """Load: one target reports that it is full."""
    picker.record_load(TARGETS[0], TargetLoad(6, 10, 6))
    chosen = [picker.pick(TARGETS, wish()).id for _ in range(40)]
    assert chosen.count('t0') == 0


def test_old_report_is_forgotten(picker, clock) -> None:
    """Guards against a target that stays unused after a burst."""
    picker.record_load(TARGETS[0], TargetLoad(6, 10, 6))
    clock.advance(10)
    chosen = {picker.pick(TARGETS, wish()).id for _ in range(60)}
    assert 't0' in chosen


def test_failing_target_rests_and_comes_back(picker, clock) -> None:
    """Fault: a target breaks off its answers."""
    for _ in range(2):
        picker.record_failure(TARGETS[1])
    assert 't1' not in {picker.pick(TARGETS, wish()).id for _ in range(40)}
    clock.advance(EJECT_S + 0.1)
    assert 't1' in {picker.pick(TARGETS, wish()).id for _ in range(60)}


def test_only_failing_targets_are_still_used(picker) -> None:
    """Fault: all targets fail; refusing everything helps nobody."""
    for _ in range(2):
        picker.record_failure(TARGETS[0])
    assert picker.pick(TARGETS[:1], wish()) is not None


def test_tried_targets_are_excluded(picker) -> None:
    """A second attempt goes to another target."""
    tried = PickCriteria(make_request(), {}, ['t0', 't1', 't2'])
    assert picker.pick(TARGETS, tried).id == 't3'
    assert picker.pick(TARGETS[:3], tried) is None


def test_hosts_agree_on_the_engine_of_a_shared_prompt(clock) -> None:
    """Load: requests about one subject arrive at many hosts."""
    chosen = {
        TargetPicker('dc-1', clock, random.Random(seed))
        .pick_engine(TARGETS, wish())
        .id
        for seed in range(12)
    }
    assert len(chosen) == 1


def test_shared_prompt_does_not_pile_up_on_one_engine(picker) -> None:
    """Load: one subject gets most of the traffic."""
    home = picker.pick_engine(TARGETS, wish())
    for _ in range(20):
        picker.attempt_started(home)
    assert picker.pick_engine(TARGETS, wish()).id != home.id


def test_engine_near_large_inputs_is_preferred(picker) -> None:
    """Results of stages are not moved between data centres for little."""
    far = make_target('far', data_centre='dc-2')
    near = make_target('near', data_centre='dc-1')
    request = make_request(prompt=())
    choice = PickCriteria(request, {'dc-1': 4_000_000}, ())
    assert picker.pick_engine([far, near], choice).id == 'near'


def test_crashed_target_is_avoided_at_once(picker, clock) -> None:
    """Fault: a target refuses connections while the list still names it."""
    picker.eject(TARGETS[1])
    assert 't1' not in {picker.pick(TARGETS, wish()).id for _ in range(40)}
    clock.advance(EJECT_S + 0.1)
    assert 't1' in {picker.pick(TARGETS, wish()).id for _ in range(60)}
