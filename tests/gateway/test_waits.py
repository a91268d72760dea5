"""Queueing time estimates of stages that requests reach later."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from hornbeamline.gateway import StageLoad, StageRunner, wait_by_service
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._waits import UpcomingPieces
from hornbeamline.helpers.clock import SystemClock
from tests.gateway.builders import (
    CHAIN,
    make_request,
    make_route,
    make_table,
    open_guard,
)

RATE = 40.0


class SilentBatching:
    """Batching service that never has a result."""

    async def compute(self, *_: object) -> list[str]:
        """Wait indefinitely."""
        await asyncio.Event().wait()
        return []


def test_burst_in_the_first_stage_counts_at_the_second() -> None:
    """Load: a burst that is not yet in the queue of the second stage."""
    upcoming = UpcomingPieces()
    for _ in range(10):
        upcoming.add('second', 1, 8)
    loads = [
        StageLoad({'second': {1: 0.5}}, {}, {}),
        StageLoad({}, upcoming.by_service(), {}),
    ]
    waits = wait_by_service(loads, 1, lambda _service: RATE)
    assert waits['second'] == pytest.approx(0.5 + 80 / RATE)


# Failure: requests that were expected to meet their aim queued for 3 s, because
# upcoming pieces were converted with the rate of full calls at fast targets.
def test_coming_pieces_count_with_the_measured_rate() -> None:
    """Load: the targets of a service reach half of the maximum rate."""
    loads = [
        StageLoad({'second': {1: 0.5}}, {}, {'second': RATE / 2}),
        StageLoad({}, {'second': {1: 80}}, {}),
    ]
    waits = wait_by_service(loads, 1, lambda _service: RATE)
    assert waits['second'] == pytest.approx(0.5 + 160 / RATE)


def test_urgent_rank_does_not_wait_for_others() -> None:
    """Load: a burst of requests with a lower priority."""
    loads = [StageLoad({'second': {2: 3.0}}, {'second': {2: 80}}, {})]
    waits = wait_by_service(loads, 0, lambda _service: RATE)
    assert not waits['second']


def test_queued_pieces_are_no_longer_upcoming() -> None:
    """Guards against pieces that are counted twice or never removed."""
    upcoming = UpcomingPieces()
    upcoming.add('second', 1, 8)
    upcoming.add('second', 1, -8)
    assert not upcoming.by_service()


async def test_cancelled_request_is_no_longer_upcoming() -> None:
    """Fault: the caller disconnects before the first stage has begun."""
    placement = SimpleNamespace(preferred_data_centre=lambda *_: '')
    runner = StageRunner(
        SilentBatching(),
        lambda _rank: {},
        placement,
        SystemClock(),
    )
    route = make_route(stages=CHAIN)
    job = Job(
        make_request(pieces_by_stage=(1, 4)),
        b'',
        route,
        'service',
        None,
        0,
        15.0,
        [],
        {},
        lambda: None,
        open_guard(),
    )
    for steps in range(4):
        work = asyncio.ensure_future(runner.run(job, make_table(route)))
        for _ in range(steps):
            await asyncio.sleep(0)
        work.cancel()
        await asyncio.wait({work})
        assert not runner.upcoming.by_service()


def test_two_owners_share_the_targets() -> None:
    """Fault: two hosts own a service until their views converge."""
    loads = [
        StageLoad({'second': {0: 0.5}}, {}, {}),
        StageLoad({'second': {0: 2.0}}, {}, {}),
    ]
    assert wait_by_service(loads, 0, lambda _service: RATE) == {'second': 2.0}
