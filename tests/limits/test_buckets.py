"""Permits of one granter stay below the limit and end with it."""

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
    IDLE_S,
    MAX_RESERVE_S,
    MIN_RATE_PER_S,
    TAKEOVER_WAIT_S,
)

# Bound of the platform for the requests of a window.
WINDOW_S = 4.0
FACTOR = 1.5
MORE = 5
# Seconds between two steps of the clock in tests.
STEP_S = 0.05


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100)


@pytest.fixture
def buckets(clock: ManualClock) -> TargetBuckets:
    return TargetBuckets(clock)


def ask(buckets: TargetBuckets, max_wait_s: float = 0, **more) -> PermitReply:
    """Ask for a permit of a host that heard of the limit from the granter."""
    question = AskPermit('t', 's', 1.0, math.inf, max_wait_s)
    return buckets.take(question._replace(**more))


def granted_in(
    buckets: TargetBuckets,
    clock: ManualClock,
    seconds: float,
) -> list[float]:
    """Ask all the time; return when permits could be used."""
    used: list[float] = []
    for _ in range(round(seconds / STEP_S)):
        if ask(buckets).number:
            used.append(clock.monotonic())
        clock.advance(STEP_S)
    return used


@pytest.mark.parametrize('limit_per_s', [0.5, 1.0, 5.0, 40.0])
def test_limit_is_used_and_not_exceeded(buckets, clock, limit_per_s) -> None:
    """Load: more requests than the limit, from all hosts."""
    buckets.name_limit('t', 's', limit_per_s)
    used = granted_in(buckets, clock, 20)
    # A permit is asked for once in a step.
    expected = min(limit_per_s, 1 / STEP_S) * 20
    assert 0.8 * expected <= len(used) <= expected + 1


def test_limit_of_zero_lets_an_answer_through(buckets, clock) -> None:
    """Fault: a target takes nothing, and only an answer tells the end."""
    buckets.name_limit('t', 's', 0.0)
    used = granted_in(buckets, clock, 20)
    assert len(used) in {20 * MIN_RATE_PER_S - 1, 20 * MIN_RATE_PER_S}


def test_new_granter_waits_for_permits_of_the_old_one(buckets, clock) -> None:
    """Hand-over: the new granter does not know what the old one granted."""
    reply = ask(buckets, MAX_RESERVE_S, named_ago_s=5.0)
    assert reply.delay_s >= TAKEOVER_WAIT_S / 2
    assert not ask(buckets, named_ago_s=5.0).number


def test_later_permit_is_not_reserved_too_far_ahead(buckets) -> None:
    """Load: requests that can wait for ever."""
    buckets.name_limit('t', 's', 1.0)
    delays = [ask(buckets, 60.0) for _ in range(9)]
    assert max(each.delay_s for each in delays if each.number) <= MAX_RESERVE_S


def test_spare_call_leaves_permits_to_callers(buckets, clock) -> None:
    """Load: calls that serve no caller come first in time."""
    buckets.name_limit('t', 's', 1.0)
    clock.advance(TAKEOVER_WAIT_S)
    assert not ask(buckets, is_spare=True).number
    assert ask(buckets).number
    clock.advance(9)
    assert ask(buckets, is_spare=True).number


def test_only_an_answer_to_a_later_request_ends_the_limit(
    buckets,
    clock,
) -> None:
    """Fault: answers overtake one another."""
    buckets.name_limit('t', 's', 1.0)
    clock.advance(2)
    before = ask(buckets).number
    clock.advance(1)
    buckets.name_limit('t', 's', 1.0)
    assert not buckets.end_limit('t', before)
    assert not buckets.end_limit('t', 0)
    clock.advance(1)
    assert buckets.end_limit('t', ask(buckets).number)
    assert ask(buckets).limit_per_s == math.inf


def test_older_word_does_not_revive_an_ended_limit(buckets, clock) -> None:
    """Fault: a host that heard of the limit first has not asked since."""
    buckets.name_limit('t', 's', 1.0)
    clock.advance(2)
    buckets.end_limit('t', ask(buckets).number)
    clock.advance(3)
    assert ask(buckets, named_ago_s=5.0).limit_per_s == math.inf
    assert ask(buckets, named_ago_s=1.0).limit_per_s == 1.0


def test_changed_limit_is_in_force_at_once(buckets, clock) -> None:
    """A target names another figure."""
    buckets.name_limit('t', 's', 1.0)
    clock.advance(2)
    buckets.name_limit('t', 's', 10.0)
    assert len(granted_in(buckets, clock, 4)) > 30
    buckets.name_limit('t', 's', 1.0)
    assert len(granted_in(buckets, clock, 4)) <= 5


def test_target_that_nobody_asks_for_is_forgotten(buckets, clock) -> None:
    """The granter keeps its services only while it is needed."""
    buckets.name_limit('t', 's', 1.0)
    assert buckets.services() == {'s'}
    clock.advance(IDLE_S + 1)
    assert not buckets.services()


class BucketMachine(RuleBasedStateMachine):
    """Any order of questions, answers and time against the platform's rule."""

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
        """Begin with a limit."""
        self.limit_per_s = limit_per_s
        self.name()

    @rule()
    def name(self) -> None:
        """A target names its limit in an answer."""
        self.buckets.name_limit('t', 's', self.limit_per_s)
        self.named_at = self.clock.monotonic()

    @rule(seconds=st.floats(0, 2))
    def wait(self, seconds: float) -> None:
        """Time goes on."""
        self.clock.advance(seconds)

    @rule(
        times=st.integers(1, 20),
        max_wait_s=st.sampled_from([0, 0.3, 5]),
        is_spare=st.booleans(),
    )
    def ask(self, times: int, max_wait_s: float, is_spare: bool) -> None:
        """Hosts ask one after the other."""
        now = self.clock.monotonic()
        for _ in range(times):
            reply = ask(self.buckets, max_wait_s, is_spare=is_spare)
            if reply.number:
                self.used_at.append(now + reply.delay_s)
                self.granted_at[reply.number] = now

    @precondition(lambda self: self.granted_at)
    @rule(data=st.data())
    def answer_without_limit(self, data: st.DataObject) -> None:
        """An answer of any earlier request names no limit."""
        permit = data.draw(st.sampled_from(sorted(self.granted_at)))
        known = self.buckets.limit_of('t') < math.inf
        if self.buckets.end_limit('t', permit) and known:
            assert self.granted_at[permit] >= self.named_at
            self.used_at.clear()
            self.name()

    @invariant()
    def stays_below_the_limit(self) -> None:
        """No window has more requests than the platform allows."""
        allowed = FACTOR * self.limit_per_s * WINDOW_S + MORE
        for end in self.used_at:
            inside = [at for at in self.used_at if end - WINDOW_S < at <= end]
            assert len(inside) <= allowed


TestBuckets = BucketMachine.TestCase
TestBuckets.settings = settings(max_examples=60, stateful_step_count=40)
