"""Data centres of stages with large results or inputs."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import pytest

from hornbeamline.gateway import (
    Placement,
    RouteKind,
    Stage,
    TargetDirectory,
    TargetPicker,
    VersionBinding,
)
from hornbeamline.gateway._job import Job
from hornbeamline.helpers.clock import ManualClock
from tests.gateway.builders import (
    make_request,
    make_route,
    make_target,
    open_guard,
)

LARGE = 800_000


@pytest.fixture
def placement() -> Placement:
    """Return a placement with an engine in data centre south."""
    clock = ManualClock()
    targets = TargetDirectory(clock)
    targets.replace_list(
        [
            make_target('e1', data_centre='south'),
            make_target(
                't1',
                service='first',
                address='t1:1',
                data_centre='north',
            ),
        ],
    )
    wire: Any = SimpleNamespace(
        address_of=lambda handle: handle.partition('/')[0],
    )
    picker = TargetPicker('north', clock, random.Random(1))
    return Placement(wire, targets, picker)


def make_job(*stages: Stage) -> Job:
    """Return a streamed request with two pieces in each stage."""
    return Job(
        make_request(pieces_by_stage=(2,) * len(stages)),
        b'',
        make_route(kind=RouteKind.STREAM, stages=stages),
        'service',
        None,
        0,
        15.0,
        [],
        {},
        lambda: None,
        open_guard(),
        VersionBinding(),
    )


def test_large_results_are_made_near_their_engine(placement) -> None:
    """Load: long prompts whose first stage produces large results."""
    job = make_job(Stage('first', (), LARGE))
    assert placement.preferred_data_centre(job, 0, {}) == 'south'


def test_small_results_are_made_anywhere(placement) -> None:
    """Load: short prompts, scheduled by due time alone."""
    job = make_job(Stage('first', (), 8000))
    assert not placement.preferred_data_centre(job, 0, {})


def test_stage_follows_its_large_inputs(placement) -> None:
    """Load: a large result that only a later stage reads."""
    job = make_job(Stage('first', (), LARGE), Stage('second', (0,), 8000))
    assert not placement.preferred_data_centre(job, 0, {})
    assert (
        placement.preferred_data_centre(job, 1, {0: ['t1:1/a', 't1:1/b']})
        == 'north'
    )
