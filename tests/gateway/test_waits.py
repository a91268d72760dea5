"""Queueing time estimates of stages that requests reach later."""

from __future__ import annotations

import asyncio
import math
import random
from types import SimpleNamespace

import pytest

from hornbeamline.gateway import (
    BatchLimits,
    StageLoad,
    StageRunner,
    VersionBinding,
    rate_of,
    wait_by_service,
)
from hornbeamline.gateway._admission import check_admission, retry_after_s
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._stages import (
    _input_space_share,
    _remaining_s_by_stage,
)
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
        VersionBinding(),
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


# Failure: a valid configuration with a stage of 0 ms made the queueing times of
# all requests fail (CONFIG).
@pytest.mark.parametrize('call_s', [0.0, -1.0, 1.7e308])
@pytest.mark.parametrize('piece_s', [0.0, 1.7e308])
@pytest.mark.parametrize('results_mb', [0.0, 5e-324, 1.7e308])
async def test_figures_at_the_ends_of_their_ranges_give_finite_times(
    call_s, piece_s, results_mb
) -> None:
    """Guards against figures of an operator that no calculation can bear."""
    limits = BatchLimits(0, 0, 1, call_s, piece_s, results_mb, 0.0)
    table = make_table(make_route(stages=CHAIN))
    services = {
        name: service._replace(batch=limits)
        for name, service in table.services_by_name.items()
    }
    table = table._replace(services_by_name=services)
    rate = rate_of(limits, 0)
    assert 0 < rate < math.inf
    load = StageLoad({}, {'second': {0: 80}}, {})
    waits = wait_by_service([load], 0, lambda _service: rate)
    assert 0 <= waits['second'] < math.inf
    for route in (make_route(stages=CHAIN), make_route(stages=CHAIN, aim_s=0)):
        request = make_request(pieces_by_stage=(2, 1))
        decision = check_admission(request, route, table, waits, 0.0)
        assert math.isfinite(decision.expected_s)
        retry_s = retry_after_s(route, waits, random.Random(1))
        assert 0 < retry_s < math.inf
        assert all(
            math.isfinite(left_s)
            for left_s in _remaining_s_by_stage(route, table)
        )
        share = _input_space_share(request, route, table, 1)
        assert share >= 0
