"""Requests that cannot be served in time are refused immediately."""

from __future__ import annotations

import random

import pytest

from hornbeamline.gateway._admission import check_admission, retry_after_s
from hornbeamline.gateway._stages import ENGINE_START_S
from tests.gateway.builders import CHAIN, make_request, make_route, make_table

ROUTE = make_route(stages=CHAIN)
REQUEST = make_request(pieces_by_stage=(1, 4))
# Durations of the two stages with the limits of `make_table`.
FIRST_S = 0.26
SECOND_S = 0.32
SEEDS = range(20)


def test_request_is_admitted_without_load() -> None:
    """Without queues there is no refusal."""
    decision = check_admission(REQUEST, ROUTE, make_table(ROUTE), {}, 0.1)
    assert decision.is_admitted
    assert decision.expected_s < ROUTE.aim_s


def test_burst_that_would_be_late_is_refused() -> None:
    """Load: a burst fills the queue of the second stage."""
    decision = check_admission(
        REQUEST, ROUTE, make_table(ROUTE), {'second': 7.5}, 0
    )
    assert not decision.is_admitted
    assert decision.expected_s > 7


# Failure: the expected time was 4.0 s for requests that took 2.9 s, because the
# backlogs of all stages were added up although they drain concurrently.
def test_later_backlog_drains_while_an_earlier_stage_works() -> None:
    """Load: both stages have queues."""
    waits = {'first': 1.0, 'second': 1.1}
    decision = check_admission(REQUEST, ROUTE, make_table(ROUTE), waits, 0)
    assert decision.expected_s == pytest.approx(
        1.0 + FIRST_S + SECOND_S + ENGINE_START_S,
    )


# Failure: most admitted requests were expected to miss their aim. They queued
# beyond it and were late or abandoned.
def test_request_that_a_queue_makes_late_is_refused_at_once() -> None:
    """Load: a sustained overload has made the queues as long as the aim."""
    decision = check_admission(
        REQUEST, ROUTE, make_table(ROUTE), {'second': 1.6}, 0
    )
    assert decision.expected_s > ROUTE.aim_s
    assert not decision.is_admitted


def test_long_request_is_admitted_while_the_queues_are_short() -> None:
    """Guards against refusing large requests without an overload."""
    request = make_request(pieces_by_stage=(1, 70))
    table = make_table(ROUTE)
    short = check_admission(request, ROUTE, table, {'second': 0.5}, 0)
    assert short.expected_s > ROUTE.aim_s
    assert short.is_admitted
    assert not check_admission(
        request, ROUTE, table, {'second': 2.5}, 0
    ).is_admitted


def test_caller_with_little_time_is_refused_first() -> None:
    """A queue that others accept is too long for a caller that waits 1 s."""
    waits = {'second': 0.5}
    table = make_table(ROUTE)
    request = REQUEST._replace(caller_timeout_s=1.0)
    assert check_admission(REQUEST, ROUTE, table, waits, 0).is_admitted
    assert not check_admission(request, ROUTE, table, waits, 0).is_admitted


def test_omitted_stage_needs_no_time() -> None:
    """A stage without pieces is not queued."""
    request = make_request(pieces_by_stage=(1, 0))
    decision = check_admission(
        request, ROUTE, make_table(ROUTE), {'second': 60}, 0
    )
    assert decision.is_admitted


# Failure: refused callers retried after their aim had passed and displaced
# requests that could still be in time.
def test_caller_retries_while_it_can_be_in_time() -> None:
    """Load: queues that are slightly too long drain within 0.3 s."""
    waits = {'first': 0.0, 'second': 1.2}
    decision = check_admission(REQUEST, ROUTE, make_table(ROUTE), waits, 0)
    assert not decision.is_admitted
    for seed in SEEDS:
        retry_s = retry_after_s(
            ROUTE,
            waits,
            random.Random(seed),
            decision.excess_s,
        )
        assert 0.1 < retry_s < ROUTE.aim_s / 2


def test_late_caller_retries_after_the_backlog() -> None:
    """Load: queues that are longer than the aim."""
    waits = {'first': 0.5, 'second': 3.0}
    decision = check_admission(REQUEST, ROUTE, make_table(ROUTE), waits, 0)
    times = [
        retry_after_s(ROUTE, waits, random.Random(seed), decision.excess_s)
        for seed in SEEDS
    ]
    assert min(times) > 2
    assert max(times) - min(times) > 1
