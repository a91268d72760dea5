"""Leaving and paused targets get no work."""

from __future__ import annotations

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from hornbeamline.helpers.clock import ManualClock
from hornbeamline.membership import TargetAvailability
from hornbeamline.membership.const import (
    MAX_PAUSE_S,
    MIN_RESTART_ABSENCE_S,
    PEER_REPORT_TTL_S,
)

TARGETS = ('a', 'b')


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def availability(clock: ManualClock) -> TargetAvailability:
    return TargetAvailability(clock)


def test_leaving_target_gets_nothing_although_lists_say_live(
    availability,
    clock,
) -> None:
    """Guards against a lagging or stale list that overrides the target."""
    availability.note_leaving('a')
    for _ in range(100):
        clock.advance(1)
        availability.apply_listed({'a', 'b'})
        assert not availability.accepts_work('a')
    assert availability.pause_left_s('a') == math.inf


def test_target_that_starts_again_under_its_id_takes_work(
    availability,
    clock,
) -> None:
    """Guards against a restarted target that stays excluded by its id."""
    availability.note_leaving('a')
    availability.apply_listed({'b'})
    clock.advance(MIN_RESTART_ABSENCE_S + 0.5)
    assert not availability.accepts_work('a')
    availability.apply_listed({'a', 'b'})
    assert availability.accepts_work('a')


def test_list_that_drops_a_leaving_target_for_a_moment_changes_nothing(
    availability,
    clock,
) -> None:
    """Guards against work for a draining target when list copies differ."""
    availability.note_leaving('a')
    clock.advance(1)
    availability.apply_listed({'b'})
    clock.advance(1)
    availability.apply_listed({'a'})
    assert not availability.accepts_work('a')


def test_pause_ends_on_time_and_shorter_ones_do_not_end_it(
    availability,
    clock,
) -> None:
    """Guards against a shorter pause that cuts off a longer one.

    Two requests in flight can return pauses of different lengths.
    """
    availability.note_pause('a', 2.5)
    availability.note_pause('a', 0.5)
    clock.advance(2.4)
    assert not availability.accepts_work('a')
    assert availability.pause_left_s('a') == pytest.approx(0.1)
    clock.advance(0.2)
    assert availability.accepts_work('a')


@pytest.mark.parametrize('asked_s', [MAX_PAUSE_S * 10, math.inf])
def test_huge_pause_is_bounded(availability, clock, asked_s) -> None:
    """Guards against a target that requests an endless pause."""
    availability.note_pause('a', asked_s)
    assert availability.pause_left_s('a') == MAX_PAUSE_S


def test_peer_report_expires_unless_repeated(
    availability,
    clock,
) -> None:
    """Guards against two processes that keep a report alive between them."""
    availability.note_peer_leaving(['a'])
    assert not availability.accepts_work('a')
    assert not availability.leaving()
    clock.advance(PEER_REPORT_TTL_S + 0.1)
    assert availability.accepts_work('a')


class StandingsMachine(RuleBasedStateMachine):
    """Random responses, delays and lists, checked against target reports."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.availability = TargetAvailability(self.clock)
        self.paused_until = dict.fromkeys(TARGETS, 0.0)
        self.left: set[str] = set()

    @rule(target_id=st.sampled_from(TARGETS), pause_s=st.floats(0, 8))
    def request_pause(self, target_id: str, pause_s: float) -> None:
        """A target refuses a request and requests a pause."""
        until = self.clock.monotonic() + pause_s
        self.paused_until[target_id] = max(self.paused_until[target_id], until)
        self.availability.note_pause(target_id, pause_s)

    @rule(target_id=st.sampled_from(TARGETS))
    def leave(self, target_id: str) -> None:
        """A target reports that it is leaving."""
        self.left.add(target_id)
        self.availability.note_leaving(target_id)

    @rule(peer_targets=st.sets(st.sampled_from(TARGETS)))
    def receive_peer_report(self, peer_targets: set[str]) -> None:
        """Another process reports leaving targets."""
        self.availability.note_peer_leaving(peer_targets)

    @rule(pause_s=st.floats(0.01, 2))
    def wait(self, pause_s: float) -> None:
        """Time passes; the clock also runs while the host is suspended."""
        self.clock.advance(pause_s)

    @rule()
    def list_all(self) -> None:
        """A list contains all targets."""
        self.availability.apply_listed(set(TARGETS))

    @rule(listed=st.sets(st.sampled_from(TARGETS)))
    def list_some(self, listed: set[str]) -> None:
        """A list omits some targets and the next one contains all."""
        self.availability.apply_listed(listed)
        self.availability.apply_listed(set(TARGETS))

    @invariant()
    def leaving_and_paused_targets_get_no_work(self) -> None:
        """Guards against requests to a leaving or paused target."""
        now = self.clock.monotonic()
        for target_id in TARGETS:
            if target_id in self.left or self.paused_until[target_id] > now:
                assert not self.availability.accepts_work(target_id)


TestStandings = StandingsMachine.TestCase
TestStandings.settings = settings(max_examples=60, deadline=None)
