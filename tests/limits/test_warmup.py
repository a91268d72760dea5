"""Beliefs about cold targets begin, are bounded and end."""

from __future__ import annotations

import math
from typing import NamedTuple

import pytest

from hornbeamline.helpers.clock import ManualClock
from hornbeamline.limits import TargetLimits, WarmupBeliefs, WarmupLimits
from hornbeamline.limits._buckets import TargetBuckets
from hornbeamline.limits._messages import AskPermit
from hornbeamline.limits.const import (
    ANSWER_MARGIN_S,
    LIST_LAG_S,
    NEWER_LIST_S,
    REOPENING_SPREAD_S,
)

WARMUP = WarmupLimits(3.0, 9.3)
LONGEST_S = WARMUP.duration_s + LIST_LAG_S
LIST_READ_S = 0.65


class Listed(NamedTuple):
    """Entry of the list."""

    id: str = 't'
    service: str = 's'
    data_centre: str = 'dc-1'
    is_cold: bool = False


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100)


@pytest.fixture
def beliefs(clock: ManualClock) -> WarmupBeliefs:
    """Return the beliefs about a target that is warm."""
    return warm_beliefs(clock)


def warm_beliefs(clock: ManualClock) -> WarmupBeliefs:
    """Return beliefs after two lists with a warm target."""
    warm = WarmupBeliefs(clock)
    warm.update_services({'s': WARMUP})
    for _ in range(2):
        warm.note_listed([Listed()], clock.monotonic())
        clock.advance(LIST_READ_S)
    assert warm.rate_of('t') == math.inf
    return warm


def cold_time(beliefs: WarmupBeliefs, clock: ManualClock) -> float:
    """Return how long the target stays cold without further news."""
    began = clock.monotonic()
    while beliefs.rate_of('t') < math.inf:
        clock.advance(0.1)
        assert clock.monotonic() - began < 100
    return clock.monotonic() - began


# Guards against a new target, or one that restarts under its id, which gets
# the load of a warm one.
def test_new_target_is_cold_until_a_newer_list(beliefs, clock) -> None:
    """Starts: a target is listed for the first time, and again."""
    for _ in range(2):
        beliefs.note_listed([], clock.monotonic())
        clock.advance(LIST_READ_S)
        read_at = clock.monotonic()
        beliefs.note_listed([Listed()], read_at)
        assert beliefs.rate_of('t') == WARMUP.requests_per_s
        # The same list from another process, which tells its age.
        beliefs.note_confirmed(read_at + NEWER_LIST_S / 4)
        assert beliefs.rate_of('t') == WARMUP.requests_per_s
        beliefs.note_confirmed(read_at + LIST_READ_S)
        assert beliefs.rate_of('t') == math.inf


# Guards against a list from before an event that ends the belief in it.
def test_list_from_before_a_refusal_does_not_end_the_belief(
    beliefs, clock
) -> None:
    """Fault: the list lags and does not show a crash."""
    beliefs.note_unreachable('t')
    clock.advance(LIST_LAG_S * 0.9)
    beliefs.note_confirmed(clock.monotonic())
    assert beliefs.rate_of('t') == WARMUP.requests_per_s
    clock.advance(LIST_LAG_S * 0.2)
    beliefs.note_confirmed(clock.monotonic())
    assert beliefs.rate_of('t') == math.inf


def test_reopened_data_centre_is_cold_as_a_whole(beliefs, clock) -> None:
    """Maintenance: an evacuation ends; lists are from before its end."""
    beliefs.note_reopened('dc-2')
    assert beliefs.rate_of('t') == math.inf
    beliefs.note_reopened('dc-1')
    clock.advance(LIST_LAG_S + REOPENING_SPREAD_S - 0.1)
    beliefs.note_confirmed(clock.monotonic())
    assert cold_time(beliefs, clock) > 0
    assert clock.monotonic() >= 100 + LONGEST_S


def test_flag_of_the_list_is_cold_while_it_lasts(beliefs, clock) -> None:
    """A target that is listed as cold for ever stays limited."""
    for _ in range(100):
        beliefs.note_listed([Listed(is_cold=True)], clock.monotonic())
        clock.advance(LIST_READ_S)
        beliefs.note_confirmed(clock.monotonic())
        assert beliefs.rate_of('t') == WARMUP.requests_per_s
    # The list is no longer available.
    assert cold_time(beliefs, clock) == pytest.approx(LONGEST_S, abs=0.2)


# Guards against a host that was suspended, or one whose lists are old, which
# takes an old list for a new one.
def test_old_list_shows_nothing_that_is_over(beliefs, clock) -> None:
    """Fault: the list was read a minute ago."""
    beliefs.note_listed([Listed(is_cold=True)], clock.monotonic() - 60)
    assert beliefs.rate_of('t') == math.inf


# Guards against beliefs without an end after figures that make no sense.
@pytest.mark.parametrize(
    ('left_s', 'expected_s'),
    [
        (1.0, 1 + ANSWER_MARGIN_S),
        (1e300, WARMUP.duration_s + ANSWER_MARGIN_S),
        (math.inf, WARMUP.duration_s + ANSWER_MARGIN_S),
        (-1.0, 0),
        (-math.inf, 0),
        (math.nan, 0),
        (0.0, 0),
    ],
)
def test_answer_gives_a_bounded_belief(
    beliefs, clock, left_s, expected_s
) -> None:
    """Fault: a target states negative, huge or no numbers."""
    beliefs.note_answer('t', left_s, was_permitted=False)
    assert cold_time(beliefs, clock) == pytest.approx(expected_s, abs=0.11)
    beliefs.note_reported('t', left_s)
    assert cold_time(beliefs, clock) <= LONGEST_S + 0.11


def test_only_an_answer_with_a_permit_ends_the_belief(beliefs) -> None:
    """Fault: a late answer to a request from before the crash says 0."""
    beliefs.note_unreachable('t')
    beliefs.note_answer('t', 0, was_permitted=False)
    assert beliefs.rate_of('t') < math.inf
    beliefs.note_answer('t', 0, was_permitted=True)
    assert beliefs.rate_of('t') == math.inf


# Guards against hosts that keep a belief alive among themselves.
def test_belief_from_the_granter_is_not_told_on(beliefs, clock) -> None:
    """Only a host that has observed something reports it."""
    beliefs.note_shared({'t': LONGEST_S, 'unknown': 1.0})
    assert beliefs.rate_of('t') < math.inf
    assert not beliefs.observed()
    assert not beliefs.observed_left_s('t')
    assert cold_time(beliefs, clock) < LONGEST_S + 0.2


# Failure: after a crash of all servers of a service, hosts told one another
# of the refused connections for seconds after the list had shown the end.
def test_list_outdates_what_other_hosts_have_observed(beliefs, clock) -> None:
    """A report is older than the list that says that the target is warm."""
    beliefs.note_unreachable('t')
    clock.advance(LIST_LAG_S + 0.1)
    left_s = beliefs.observed_left_s('t')
    beliefs.note_confirmed(clock.monotonic())
    beliefs.note_shared({'t': left_s})
    beliefs.note_reported('t', left_s)
    assert beliefs.rate_of('t') == math.inf
    # A later observation counts.
    beliefs.note_reported('t', LONGEST_S)
    assert beliefs.rate_of('t') == WARMUP.requests_per_s


def test_services_without_a_warm_up_have_no_state(clock) -> None:
    """Deployments without warm-ups decide as before."""
    beliefs = WarmupBeliefs(clock)
    for _ in range(2):
        beliefs.note_listed([Listed(is_cold=True)], clock.monotonic())
        beliefs.note_unreachable('t')
        beliefs.note_answer('t', 3, was_permitted=False)
        beliefs.note_reopened('dc-1')
        beliefs.note_reported('t', 3)
        beliefs.note_shared({'t': 3})
        assert beliefs.rate_of('t') == math.inf
        assert not beliefs.observed()
        beliefs.update_services({'other': WARMUP})


def test_document_without_the_warm_up_ends_it(beliefs, clock) -> None:
    """The operator removes the warm-up of a service."""
    beliefs.note_unreachable('t')
    beliefs.update_services({})
    assert beliefs.rate_of('t') == math.inf
    beliefs.note_listed([Listed()], clock.monotonic())
    assert not beliefs.cold_services()


# Guards against a limit that ends with the warm-up, and the reverse.
def test_stated_limit_and_warm_up_do_not_end_each_other(clock) -> None:
    """A target is cold and also states a limit."""
    limits = TargetLimits(clock)
    limits.warmup = warm_beliefs(clock)
    limits.record_stated_limit('t', 2.0)
    limits.warmup.note_unreachable('t')
    assert limits.limit_of('t') == 2.0
    limits.note_ended('t')
    assert limits.limit_of('t') == WARMUP.requests_per_s
    limits.record_stated_limit('t', 20.0)
    assert limits.limit_of('t') == WARMUP.requests_per_s
    limits.warmup.note_answer('t', 0, was_permitted=True)
    assert limits.limit_of('t') == 20.0


# Guards against the answer to a request with a permit for a cold target that
# ends the warm-up at the granter, or leaves the stated limit in force.
def test_end_of_a_stated_limit_leaves_the_rate_of_the_warm_up(clock) -> None:
    """An answer no longer states a limit while the target is cold."""
    buckets = TargetBuckets(clock)
    buckets.record_warmup('t', 's', 9.3, 0)
    buckets.record_limit('t', 's', 1.0)
    clock.advance(5)
    ask = AskPermit('t', 's', math.inf, math.inf, 0)
    reply = buckets.take(ask)
    assert reply.limit_per_s == 1.0
    assert buckets.limit_by_target() == {'t': 1.0}
    assert buckets.end_limit('t', reply.number)
    assert not buckets.limit_by_target()
    clock.advance(1)
    granted = [buckets.take(ask) for _ in range(9)]
    assert {each.limit_per_s for each in granted} == {9.3}
    assert sum(each.number > 0 for each in granted) < 3
    buckets.record_warmup('t', 's', math.inf, 0)
    assert buckets.take(ask).limit_per_s == math.inf


def test_end_of_the_warm_up_leaves_a_stated_limit(clock) -> None:
    """A target that states a limit becomes warm."""
    buckets = TargetBuckets(clock)
    buckets.record_limit('t', 's', 1.0)
    buckets.record_warmup('t', 's', 9.3, 0)
    buckets.record_warmup('t', 's', math.inf, 0)
    assert buckets.limit_of('t') == 1.0
