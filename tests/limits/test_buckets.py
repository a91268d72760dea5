"""Permits of one granter stay within the limit and end with it."""

from __future__ import annotations

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from hornbeamline.helpers.clock import ManualClock
from hornbeamline.limits._buckets import TargetBuckets
from hornbeamline.limits._messages import AskPermit, PermitReply
from hornbeamline.limits.const import (
    BUCKET_IDLE_TIMEOUT_S,
    MAX_RESERVATION_S,
    MIN_RATE_PER_S,
    TAKEOVER_WAIT_S,
)

# Platform rule: any window of WINDOW_S has at most LIMIT_FACTOR times the limit
# plus ALLOWANCE requests.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
ALLOWANCE = 5
# Interval between two clock steps of the tests.
STEP_S = 0.05


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100)


@pytest.fixture
def buckets(clock: ManualClock) -> TargetBuckets:
    return TargetBuckets(clock)


def ask(buckets: TargetBuckets, max_wait_s: float = 0, **more) -> PermitReply:
    """Request a permit as a host that knows the limit from the granter."""
    permit_request = AskPermit('t', 's', 1.0, math.inf, max_wait_s)
    return buckets.take(permit_request._replace(**more))


def granted_in(
    buckets: TargetBuckets,
    clock: ManualClock,
    seconds: float,
) -> list[float]:
    """Request permits at each step; return when permits could be used."""
    used: list[float] = []
    for _ in range(round(seconds / STEP_S)):
        if ask(buckets).number:
            used.append(clock.monotonic())
        clock.advance(STEP_S)
    return used


@pytest.mark.parametrize('limit_per_s', [0.5, 1.0, 5.0, 40.0])
def test_limit_is_used_and_not_exceeded(buckets, clock, limit_per_s) -> None:
    """Load: more requests than the limit allows."""
    buckets.record_limit('t', 's', limit_per_s)
    used = granted_in(buckets, clock, 20)
    # One permit is requested in each step.
    expected = min(limit_per_s, 1 / STEP_S) * 20
    assert 0.8 * expected <= len(used) <= expected + 1


def test_limit_of_zero_allows_some_requests(buckets, clock) -> None:
    """Fault: a limit of 0, whose end only an answer can show."""
    buckets.record_limit('t', 's', 0.0)
    used = granted_in(buckets, clock, 20)
    assert len(used) in {20 * MIN_RATE_PER_S - 1, 20 * MIN_RATE_PER_S}


def test_new_granter_waits_for_permits_of_the_old_one(buckets, clock) -> None:
    """Handover: the new granter does not know which permits are in use."""
    reply = ask(buckets, MAX_RESERVATION_S, named_ago_s=5.0)
    assert reply.delay_s >= TAKEOVER_WAIT_S / 2
    assert not ask(buckets, named_ago_s=5.0).number


def test_later_permit_is_not_reserved_too_far_ahead(buckets) -> None:
    """Load: requests that accept a delay of 60 s."""
    buckets.record_limit('t', 's', 1.0)
    delays = [ask(buckets, 60.0) for _ in range(9)]
    assert (
        max(each.delay_s for each in delays if each.number) <= MAX_RESERVATION_S
    )


def test_spare_call_leaves_permits_to_callers(buckets, clock) -> None:
    """Load: requests that serve no caller arrive before others."""
    buckets.record_limit('t', 's', 1.0)
    clock.advance(TAKEOVER_WAIT_S)
    assert not ask(buckets, is_spare=True).number
    assert ask(buckets).number
    clock.advance(9)
    assert ask(buckets, is_spare=True).number


def test_only_an_answer_to_a_later_request_ends_the_limit(
    buckets,
    clock,
) -> None:
    """Fault: answers arrive out of order."""
    buckets.record_limit('t', 's', 1.0)
    clock.advance(2)
    before = ask(buckets).number
    clock.advance(1)
    buckets.record_limit('t', 's', 1.0)
    assert not buckets.end_limit('t', before)
    assert not buckets.end_limit('t', 0)
    clock.advance(1)
    assert buckets.end_limit('t', ask(buckets).number)
    assert ask(buckets).limit_per_s == math.inf


def test_outdated_limit_does_not_revive_an_ended_one(buckets, clock) -> None:
    """Fault: a host still holds a limit stated before the limit ended."""
    buckets.record_limit('t', 's', 1.0)
    clock.advance(2)
    buckets.end_limit('t', ask(buckets).number)
    clock.advance(3)
    assert ask(buckets, named_ago_s=5.0).limit_per_s == math.inf
    assert ask(buckets, named_ago_s=1.0).limit_per_s == 1.0


def test_changed_limit_is_in_force_at_once(buckets, clock) -> None:
    """The target raises and then lowers its limit."""
    buckets.record_limit('t', 's', 1.0)
    clock.advance(2)
    buckets.record_limit('t', 's', 10.0)
    assert len(granted_in(buckets, clock, 4)) > 30
    buckets.record_limit('t', 's', 1.0)
    assert len(granted_in(buckets, clock, 4)) <= 5


def test_idle_target_is_evicted(buckets, clock) -> None:
    """A granter keeps a service only while its targets are in use."""
    buckets.record_limit('t', 's', 1.0)
    assert buckets.services() == {'s'}
    clock.advance(BUCKET_IDLE_TIMEOUT_S + 1)
    assert not buckets.services()


class BucketMachine(RuleBasedStateMachine):
    """Check the platform rule for any order of requests, answers and waits."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(100)
        self.buckets = TargetBuckets(self.clock)
        self.used_at: list[float] = []
        self.granted_at: dict[int, float] = {}
        self.named_at = -math.inf
        self.limit_per_s = 1.0

    @initialize(limit_per_s=st.sampled_from([0.0, 0.3, 1.0, 2.5, 8.0]))
    def name_first(self, limit_per_s: float) -> None:
        """Start with a limit."""
        self.limit_per_s = limit_per_s
        self.name()

    @rule()
    def name(self) -> None:
        """The target states its limit in an answer."""
        self.buckets.record_limit('t', 's', self.limit_per_s)
        self.named_at = self.clock.monotonic()

    @rule(seconds=st.floats(0, 2))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.advance(seconds)

    @rule(
        times=st.integers(1, 20),
        max_wait_s=st.sampled_from([0, 0.3, 5]),
        is_spare=st.booleans(),
    )
    def ask(self, times: int, max_wait_s: float, is_spare: bool) -> None:
        """Several hosts request permits at the same time."""
        now = self.clock.monotonic()
        for _ in range(times):
            reply = ask(self.buckets, max_wait_s, is_spare=is_spare)
            if reply.number:
                self.used_at.append(now + reply.delay_s)
                self.granted_at[reply.number] = now

    @precondition(lambda self: self.granted_at)
    @rule(data=st.data())
    def answer_without_limit(self, data: st.DataObject) -> None:
        """An answer to any earlier request states no limit."""
        permit = data.draw(st.sampled_from(sorted(self.granted_at)))
        known = self.buckets.limit_of('t') < math.inf
        if self.buckets.end_limit('t', permit) and known:
            assert self.granted_at[permit] >= self.named_at
            self.used_at.clear()
            self.name()

    @invariant()
    def stays_within_the_limit(self) -> None:
        """No window has more requests than the platform rule allows."""
        allowed = LIMIT_FACTOR * self.limit_per_s * WINDOW_S + ALLOWANCE
        for end in self.used_at:
            inside = [at for at in self.used_at if end - WINDOW_S < at <= end]
            assert len(inside) <= allowed


TestBuckets = BucketMachine.TestCase
TestBuckets.settings = settings(max_examples=60, stateful_step_count=40)
