"""Target selection under load, faults and shared prompts."""

from __future__ import annotations

import random

import pytest

from hornbeamline.gateway import PromptPart, TargetLoad, TargetPicker
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


def test_choice_by_counts_is_unchanged_without_a_fourth_figure(clock) -> None:
    """Guards against other decisions at targets that report three figures."""
    picker = TargetPicker('dc-1', clock, random.Random(4))
    for target in TARGETS:
        picker.record_load(target, TargetLoad(1, 0, 6))
    reference = random.Random(4)
    for _ in range(30):
        by_counts = min(reference.sample(TARGETS, 2), key=picker.load_per_slot)
        assert picker.pick(TARGETS, criteria()) == by_counts
        assert picker.attempt_started(by_counts, criteria()) is None
    assert not picker.beliefs.work.own_by_target()
    assert not picker.beliefs.speeds.evidence_by_target()


def test_target_in_a_slow_spell_is_avoided(picker, clock) -> None:
    """Load: a target takes 2.5 times as long for 0.6 s."""
    picker.record_load(TARGETS[0], TargetLoad(0, 0, 6, 2.5))
    assert 't0' not in {picker.pick(TARGETS, criteria()).id for _ in range(40)}
    assert picker.pick_engine(TARGETS, criteria(prompt=())).id != 't0'
    clock.advance(2)
    assert 't0' in {picker.pick(TARGETS, criteria()).id for _ in range(40)}


def test_only_services_with_a_fourth_figure_use_costs(picker) -> None:
    """Guards against a service that switches the choice of another one."""
    picker.record_load(TARGETS[0], TargetLoad(0, 0, 6, 1.0))
    other = make_target('other', service='other')
    assert picker.attempt_started(other, criteria()) is None
    assert picker.attempt_started(TARGETS[0], criteria()) is not None


def test_cached_prompt_is_weighed_against_work(picker) -> None:
    """Load: most requests share a long prompt that one engine has cached."""
    picker.record_load(TARGETS[0], TargetLoad(0, 0, 6, 1.0))
    request = criteria(
        prompt=(PromptPart('shared', 12_000), PromptPart('own', 10)),
        prompt_tokens=12_010,
    )
    preferred = picker.pick_engine(TARGETS, request)
    picker.record_prompt(preferred, request.request)
    assert picker.pick_engine(TARGETS, request) == preferred
    running = [picker.attempt_started(preferred, request) for _ in range(40)]
    assert picker.pick_engine(TARGETS, request) != preferred
    for work in running:
        picker.attempt_ended(preferred, work)
    assert picker.pick_engine(TARGETS, request) == preferred


def test_answer_teaches_cost_and_speed(picker, clock) -> None:
    """Load: the targets of a service have different speeds."""
    for target in TARGETS:
        picker.record_load(target, TargetLoad(0, 0, 6, 1.0))
    for number in range(60):
        target = TARGETS[number % 4]
        work = picker.attempt_started(target, criteria())
        clock.advance(0.2 if target.id == 't0' else 0.1)
        picker.record_success(target, work)
        picker.attempt_ended(target, work)
    speeds = picker.beliefs.speeds
    ratio = speeds.slowness_of('t0') / speeds.slowness_of('t1')
    assert ratio == pytest.approx(2, rel=0.2)
    assert 't0' not in {picker.pick(TARGETS, criteria()).id for _ in range(20)}
