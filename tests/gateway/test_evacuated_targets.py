"""Targets of evacuated data centres receive nothing, by whatever way."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import pytest

from hornbeamline.batching import ResultsKeptError
from hornbeamline.evacuations import EvacuationState
from hornbeamline.gateway import (
    Placement,
    RefusedError,
    ResultReleaser,
    Stage,
    TargetDirectory,
    TargetPicker,
)
from hornbeamline.gateway.errors import TargetGoneError
from hornbeamline.helpers.clock import ManualClock
from hornbeamline.platform._wire import PlatformWire
from tests.gateway.builders import make_gate, make_target
from tests.gateway.test_forwarder import FakeHttp, Script, forward
from tests.gateway.test_placement import LARGE, make_job
from tests.gateway.test_stream_versions import VersionedHost, VersionedTargets

NORTH = EvacuationState(7, ['north'])


def two_data_centres() -> TargetDirectory:
    """Return a directory with one target in each of two data centres."""
    targets = TargetDirectory(ManualClock(100))
    targets.replace_list(
        [
            make_target('n', data_centre='north', address='n:1', version='v1'),
            make_target('s', data_centre='south', address='s:1', version='v2'),
        ]
    )
    return targets


def ids(targets: TargetDirectory) -> list[str]:
    """Return the targets that are available for a request."""
    return [target.id for target in targets.available_targets('service')]


def test_evacuated_targets_are_in_no_list() -> None:
    """Guards against attempts, waits and estimates that still use them."""
    targets = two_data_centres()
    targets.apply_evacuations(NORTH)
    assert ids(targets) == ['s']
    assert len(targets.call_rates('service')) == 1
    assert targets.version_pause_s('service', 'v1') is None
    # A target that the list names for the first time, and one that drains.
    later = [
        make_target('n2', data_centre='north'),
        make_target('n', data_centre='north', version='v1', is_leaving=True),
    ]
    targets.replace_list(later)
    assert not ids(targets)
    assert targets.pause_left_s('service') is None
    assert not targets.available_targets('service', 'v1')
    assert targets.evacuated_services == {'service'}


def test_end_of_an_evacuation_is_reported() -> None:
    """Guards against targets that get their full load while they are cold."""
    targets = two_data_centres()
    reopened: list[str] = []
    targets.on_reopened = reopened.append
    targets.apply_evacuations(EvacuationState(3, ['north', 'south']))
    assert not ids(targets)
    targets.apply_evacuations(NORTH)
    targets.apply_evacuations(EvacuationState(3, ['north', 'south']))
    assert reopened == ['south']
    assert ids(targets) == ['s']
    targets.apply_evacuations(EvacuationState(9, []))
    assert reopened == ['south', 'north']
    assert ids(targets) == ['n', 's']
    assert not targets.evacuated_services


async def test_request_is_not_sent_if_its_target_is_evacuated_meanwhile() -> (
    None
):
    """Fault: the evacuation starts while connections are being opened."""
    targets = two_data_centres()
    both = EvacuationState(7, ['north', 'south'])
    http = FakeHttp(
        Script(on_connect=lambda: targets.apply_evacuations(both)),
    )
    with pytest.raises(RefusedError) as caught:
        await forward(http, targets)
    assert caught.value.refusal.status == 503
    assert len(http.sent) == 1


@pytest.mark.parametrize('is_late', [False, True])
async def test_results_of_evacuated_targets_are_kept(is_late) -> None:
    """Fault: the evacuation starts before or while a release is sent."""
    targets = two_data_centres()
    calls: list[str] = []

    async def fetch(address, *arguments: Any) -> None:
        targets.apply_evacuations(NORTH)
        arguments[-1]()
        calls.append(address)

    http: Any = SimpleNamespace(fetch=fetch)
    release = ResultReleaser(http, PlatformWire(), targets, make_gate(targets))
    if not is_late:
        targets.apply_evacuations(NORTH)
    with pytest.raises(ResultsKeptError):
        await release('n:1', ['n:1/1'])
    assert not calls


async def test_gate_refuses_evacuated_targets() -> None:
    """Guards against stage calls that were chosen before the evacuation."""
    targets = two_data_centres()
    gate = make_gate(targets)
    target = targets.available_targets('service')[0]
    permit = await gate.admit(target)
    gate.check_before_send(target, permit)
    targets.apply_evacuations(NORTH)
    with pytest.raises(TargetGoneError):
        gate.check_before_send(target, permit)


def test_stage_is_not_placed_in_an_evacuated_data_centre() -> None:
    """Guards against stages that prefer the place of their inputs."""
    targets = two_data_centres()
    wire: Any = SimpleNamespace(
        address_of=lambda handle: handle.partition('/')[0],
    )
    picker = TargetPicker('north', ManualClock(), random.Random(1))
    placement = Placement(wire, targets, picker)
    stages = [Stage('service', (), 2 * LARGE), Stage('service', (), LARGE)]
    job = make_job(*stages, Stage('service', (0, 1), 1))
    handles = {0: ['n:1/1'], 1: ['s:1/1']}
    assert placement.preferred_data_centre(job, 2, handles) == 'north'
    targets.apply_evacuations(NORTH)
    assert placement.preferred_data_centre(job, 2, handles) == 'south'


async def test_stream_of_an_evacuated_version_is_refused_at_once() -> None:
    """Guards against a resumption that waits for its version."""
    http = VersionedTargets('v1', 'v2')
    http.targets[0] = http.targets[0]._replace(data_centre='north')
    host = VersionedHost(http)
    host.origins.default = 'v1'
    host.targets.apply_evacuations(NORTH)
    status, _, _ = await host.stream('r2', resumes='r1', last_event_id='1')
    assert status == 503
    assert b'version_gone' in host.last_caller.body
    assert not http.used
