"""Requests that cannot be served in time are refused at once."""

from __future__ import annotations

import random

import pytest

from hornbeamline.gateway._admission import check_admission, retry_after_s
from hornbeamline.gateway._stages import ENGINE_START_S
from tests.gateway.builders import CHAIN, make_request, make_route, make_table

ROUTE = make_route(stages=CHAIN)
REQUEST = make_request(pieces_by_stage=(1, 4))
# Times of the two stages by the limits of `make_table`, in seconds.
FIRST_S = 0.26
SECOND_S = 0.32
SEEDS = range(20)


def test_request_is_admitted_without_load() -> None:
    """No queue, no refusal."""
    decision = check_admission(REQUEST, ROUTE, make_table(ROUTE), {}, 0.1)
    assert decision.is_admitted
    assert decision.expected_s < ROUTE.aim_s


def test_burst_is_refused_before_it_waits_in_vain() -> None:
    """Load: a burst has filled the queue of the second stage."""
    decision = check_admission(
        REQUEST, ROUTE, make_table(ROUTE), {'second': 7.5}, 0
    )
    assert not decision.is_admitted
    assert decision.expected_s > 7


# Failure: expected times of 4.0 s where requests took 2.9 s, since the
# backlogs of all stages were added up.
def test_later_backlog_drains_while_an_earlier_stage_works() -> None:
    """Load: queues before both stages."""
    waits = {'first': 1.0, 'second': 1.1}
    decision = check_admission(REQUEST, ROUTE, make_table(ROUTE), waits, 0)
    assert decision.expected_s == pytest.approx(
        1.0 + FIRST_S + SECOND_S + ENGINE_START_S,
    )


# Failure: most admitted requests were expected to be late, waited until
# their aim was over, and were late or given up.
def test_request_that_a_queue_makes_late_is_refused_at_once() -> None:
    """Load: an overload that lasts has made the queues as long as the aim."""
    decision = check_admission(
        REQUEST, ROUTE, make_table(ROUTE), {'second': 1.6}, 0
    )
    assert decision.expected_s > ROUTE.aim_s
    assert not decision.is_admitted


def test_long_request_is_admitted_while_the_queues_are_short() -> None:
    """Guards against sizes that are refused on a calm day."""
    request = make_request(pieces_by_stage=(1, 70))
    table = make_table(ROUTE)
    short = check_admission(request, ROUTE, table, {'second': 0.5}, 0)
    assert short.expected_s > ROUTE.aim_s
    assert short.is_admitted
    assert not check_admission(
        request, ROUTE, table, {'second': 2.5}, 0
    ).is_admitted


def test_caller_with_little_time_is_refused_first() -> None:
    """The same queue is too long for a caller that waits 1 s."""
    waits = {'second': 0.5}
    table = make_table(ROUTE)
    request = REQUEST._replace(patience_s=1.0)
    assert check_admission(REQUEST, ROUTE, table, waits, 0).is_admitted
    assert not check_admission(request, ROUTE, table, waits, 0).is_admitted


def test_omitted_stage_needs_no_time() -> None:
    """A stage without pieces does not wait in its queue."""
    request = make_request(pieces_by_stage=(1, 0))
    decision = check_admission(
        request, ROUTE, make_table(ROUTE), {'second': 60}, 0
    )
    assert decision.is_admitted


# Failure: refused callers came back when their aim was over, and took the
# place of others that could still be in time.
def test_caller_comes_back_while_it_can_be_in_time() -> None:
    """Load: queues that are a little too long drain within 0.3 s."""
    waits = {'first': 0.0, 'second': 1.2}
    decision = check_admission(REQUEST, ROUTE, make_table(ROUTE), waits, 0)
    assert not decision.is_admitted
    for seed in SEEDS:
        again_s = retry_after_s(
            ROUTE,
            waits,
            random.Random(seed),
            decision.excess_s,
        )
        assert 0.1 < again_s < ROUTE.aim_s / 2


def test_caller_that_is_late_anyway_comes_back_after_the_backlog() -> None:
    """Load: queues that are longer than the aim."""
    waits = {'first': 0.5, 'second': 3.0}
    decision = check_admission(REQUEST, ROUTE, make_table(ROUTE), waits, 0)
    times = [
        retry_after_s(ROUTE, waits, random.Random(seed), decision.excess_s)
        for seed in SEEDS
    ]
    assert min(times) > 2
    assert max(times) - min(times) > 1
