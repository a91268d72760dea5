"""Target selection under load, faults and shared prompts."""

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


def criteria(**changes: object) -> PickCriteria:
    """Return the criteria of a request without inputs."""
    return PickCriteria(make_request(**changes), {}, ())


def test_full_target_gets_no_requests(picker, clock) -> None:
    """Load: one target reports that it is full."""
    picker.record_load(TARGETS[0], TargetLoad(6, 10, 6))
    chosen = [picker.pick(TARGETS, criteria()).id for _ in range(40)]
    assert chosen.count('t0') == 0


def test_old_report_is_forgotten(picker, clock) -> None:
    """Guards against a target that gets no requests after a burst."""
    picker.record_load(TARGETS[0], TargetLoad(6, 10, 6))
    clock.advance(10)
    chosen = {picker.pick(TARGETS, criteria()).id for _ in range(60)}
    assert 't0' in chosen


def test_failing_target_is_ejected_and_used_again(picker, clock) -> None:
    """Fault: a target aborts its responses."""
    for _ in range(2):
        picker.record_failure(TARGETS[1])
    assert 't1' not in {picker.pick(TARGETS, criteria()).id for _ in range(40)}
    clock.advance(EJECT_S + 0.1)
    assert 't1' in {picker.pick(TARGETS, criteria()).id for _ in range(60)}


def test_only_failing_targets_are_still_used(picker) -> None:
    """Fault: all targets fail; attempts are better than refusals."""
    for _ in range(2):
        picker.record_failure(TARGETS[0])
    assert picker.pick(TARGETS[:1], criteria()) is not None


def test_tried_targets_are_excluded(picker) -> None:
    """A second attempt goes to another target."""
    tried = PickCriteria(make_request(), {}, ['t0', 't1', 't2'])
    assert picker.pick(TARGETS, tried).id == 't3'
    assert picker.pick(TARGETS[:3], tried) is None


def test_hosts_agree_on_the_engine_of_a_shared_prompt(clock) -> None:
    """Load: requests with a shared prompt arrive at many hosts."""
    chosen = {
        TargetPicker('dc-1', clock, random.Random(seed))
        .pick_engine(TARGETS, criteria())
        .id
        for seed in range(12)
    }
    assert len(chosen) == 1


def test_shared_prompt_does_not_pile_up_on_one_engine(picker) -> None:
    """Load: most requests share one prompt."""
    preferred = picker.pick_engine(TARGETS, criteria())
    for _ in range(20):
        picker.attempt_started(preferred)
    assert picker.pick_engine(TARGETS, criteria()).id != preferred.id


def test_engine_near_large_inputs_is_preferred(picker) -> None:
    """Large stage results are not transferred needlessly."""
    far = make_target('far', data_centre='dc-2')
    near = make_target('near', data_centre='dc-1')
    request = make_request(prompt=())
    engine_criteria = PickCriteria(request, {'dc-1': 4_000_000}, ())
    assert picker.pick_engine([far, near], engine_criteria).id == 'near'


def test_crashed_target_is_avoided_at_once(picker, clock) -> None:
    """Fault: a listed target refuses connections."""
    picker.eject(TARGETS[1])
    assert 't1' not in {picker.pick(TARGETS, criteria()).id for _ in range(40)}
    clock.advance(EJECT_S + 0.1)
    assert 't1' in {picker.pick(TARGETS, criteria()).id for _ in range(60)}
