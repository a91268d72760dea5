"""Requests that cannot be served are refused at once."""

from __future__ import annotations

import pytest

from hornbeamline.gateway._admission import judge
from tests.gateway.builders import CHAIN, make_request, make_route, make_table

ROUTE = make_route(stages=CHAIN)
REQUEST = make_request(pieces_by_stage=(1, 4))
# Times of the two stages by the limits of `make_table`, in seconds.
FIRST_S = 0.26
SECOND_S = 0.32
ENGINE_START_S = 0.3


def test_request_is_admitted_without_load() -> None:
    """No queue, no refusal."""
    verdict = judge(REQUEST, ROUTE, make_table(ROUTE), {}, 0.1)
    assert verdict.is_admitted
    assert verdict.expected_s < ROUTE.aim_s


def test_burst_is_refused_before_it_waits_in_vain() -> None:
    """Load: a burst has filled the queue of the second stage."""
    verdict = judge(REQUEST, ROUTE, make_table(ROUTE), {'second': 7.5}, 0)
    assert not verdict.is_admitted
    assert verdict.expected_s > 7


# Failure: expected times of 4.0 s where requests took 2.9 s, since the
# backlogs of all stages were added up.
def test_later_backlog_drains_while_an_earlier_stage_works() -> None:
    """Load: queues before both stages."""
    waits = {'first': 1.0, 'second': 1.1}
    verdict = judge(REQUEST, ROUTE, make_table(ROUTE), waits, 0)
    assert verdict.expected_s == pytest.approx(
        1.0 + FIRST_S + SECOND_S + ENGINE_START_S,
    )


def test_late_request_is_admitted_while_there_is_time() -> None:
    """Load: a short queue makes a request late, which has some worth."""
    verdict = judge(REQUEST, ROUTE, make_table(ROUTE), {'second': 2.5}, 0)
    assert verdict.is_admitted
    assert verdict.expected_s > ROUTE.aim_s


def test_caller_with_little_time_is_refused_first() -> None:
    """The same queue is too long for a caller that waits 2.5 s."""
    request = REQUEST._replace(patience_s=2.5)
    verdict = judge(request, ROUTE, make_table(ROUTE), {'second': 2.5}, 0)
    assert not verdict.is_admitted


def test_omitted_stage_needs_no_time() -> None:
    """A stage without pieces does not wait in its queue."""
    request = make_request(pieces_by_stage=(1, 0))
    verdict = judge(request, ROUTE, make_table(ROUTE), {'second': 60}, 0)
    assert verdict.is_admitted
