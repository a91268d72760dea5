"""Calls that require a software version of the target."""

from __future__ import annotations

import msgspec
import pytest

from hornbeamline.decisions import CallResult, Dispatch, Refusal
from hornbeamline.inventory import (
    Fleet,
    RoutingRules,
    Rules,
    ServiceKind,
    TargetState,
)
from tests.decisions.common import SERVICE_S, Driver, fleet_of

TARGETS = 12


def fleet_of_versions(
    *versions: str,
    rules: Rules | None = None,
    targets: int = TARGETS,
    **states: TargetState,
) -> Fleet:
    """Return a fleet whose targets have the versions in turn."""
    fleet = fleet_of(targets, rules, ServiceKind.generation)
    entries = {
        name: msgspec.structs.replace(
            target,
            software_version=versions[int(name[-1]) % len(versions)],
            state=states.get(name.replace('-', '_'), target.state),
        )
        for name, target in fleet.targets_by_name.items()
    }
    return msgspec.structs.replace(fleet, targets_by_name=entries)


@pytest.mark.parametrize(
    'name', ['two_choices', 'round_robin', 'random', 'least_in_flight']
)
def test_all_algorithms_keep_to_the_version(name: str) -> None:
    """Guards against an algorithm that ignores the required version."""
    rules = Rules(routing=RoutingRules(algorithm=name))
    fleet = fleet_of_versions('1', '', '2', rules=rules)
    driver = Driver(fleet)
    for number in range(60):
        version = ('1', '', '2')[number % 3]
        dispatch = driver.submit(
            attempt=2,
            software_version=version,
            prefix=f'p{number % 2}',
            excluded=frozenset(('first-3',)),
        )
        assert isinstance(dispatch, Dispatch)
        target = fleet.targets_by_name[dispatch.target]
        assert target.software_version == version == dispatch.software_version
        assert dispatch.target != 'first-3'
        driver.clock.advance(0.02)
        driver.end(dispatch)


def test_call_without_a_version_goes_to_all() -> None:
    """Guards against first attempts that keep to one version."""
    rules = Rules(routing=RoutingRules(algorithm='random'))
    driver = Driver(fleet_of_versions('1', '2', rules=rules, targets=4))
    counts = driver.run(lambda _: (CallResult.succeeded, SERVICE_S), 100)
    assert len(counts) == 4


def test_missing_version_is_refused_at_once() -> None:
    """Guards against a call that waits for a version until its deadline."""
    driver = Driver(fleet_of_versions('1', '2', targets=4))
    answer = driver.submit(attempt=2, software_version='3')
    assert isinstance(answer, Refusal)
    assert answer.reason == 'no_target_of_version'


def test_busy_version_is_waited_for_until_it_is_gone() -> None:
    """Guards against a refusal of busy targets and a wait for none."""
    driver = Driver(fleet_of_versions('1', '2', targets=4))
    busy = []
    while isinstance(
        dispatch := driver.submit(attempt=2, software_version='1'),
        Dispatch,
    ):
        busy.append(dispatch)
    assert dispatch is None
    driver.engine.tick()
    driver.end(busy[0])
    assert isinstance(driver.answers[-1], Dispatch)
    assert driver.answers[-1].software_version == '1'
    driver.submit(attempt=2, software_version='1')
    gone = {'first_0': TargetState.draining, 'first_2': TargetState.draining}
    driver.engine.update_fleet(fleet_of_versions('1', '2', targets=4, **gone))
    assert driver.answers[-1].reason == 'no_target_of_version'


def test_queued_call_ends_when_its_version_is_ejected() -> None:
    """Guards against a queued resumption that only the deadline ends."""
    driver = Driver(fleet_of_versions('1', '2', targets=2))
    busy = []
    while isinstance(
        dispatch := driver.submit(attempt=2, software_version='1'),
        Dispatch,
    ):
        busy.append(dispatch)
    record = driver.engine._state.records_by_name['first-0']
    record.breaker.open(driver.clock.monotonic(), driver.rng)
    driver.engine.tick()
    assert isinstance(driver.answers[-1], Refusal)
    assert driver.answers[-1].reason == 'no_target_of_version'


def test_ejected_target_gets_one_resumption_and_no_hedge() -> None:
    """Guards against load on an ejected target, and against giving it up."""
    driver = Driver(fleet_of_versions('1', '2', targets=2))
    record = driver.engine._state.records_by_name['first-0']
    record.breaker.open(driver.clock.monotonic(), driver.rng)
    driver.engine._state.pools_by_name['first'].refresh(100)
    hedge = driver.submit(attempt=3, software_version='1', is_hedge=True)
    assert isinstance(hedge, Refusal)
    last = driver.submit(attempt=2, software_version='1')
    assert isinstance(last, Dispatch)
    assert last.target == 'first-0'
    second = driver.submit(attempt=2, software_version='1')
    assert isinstance(second, Refusal)
