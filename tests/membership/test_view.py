"""View compared with an oracle that recomputes the state from the history."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from hornbeamline.helpers.clock import ManualClock
from hornbeamline.inventory import (
    Fleet,
    FleetInfo,
    MembershipRules,
    Target,
    TargetState,
)
from hornbeamline.membership import MembershipView

HOLD_S = 10
RULES = MembershipRules(leaving_hold_s=HOLD_S)
TARGETS = ('t1', 't2', 't3')
STATES = st.dictionaries(
    st.sampled_from(TARGETS),
    st.sampled_from(['live', 'leaving']),
)


class Delivered(NamedTuple):
    """A list that the view has applied or rejected."""

    at: float
    version: int
    states: dict[str, str]


class SelfReport(NamedTuple):
    """A target's own report that it is leaving."""

    target: str


def is_leaving(target: str, history: list[Delivered | SelfReport]) -> bool:
    """Return whether a target counts as leaving, as the design page defines."""
    highest = -1
    report_version: int | None = None
    live_times: list[float] = []
    for event in history:
        if isinstance(event, SelfReport):
            if event.target == target:
                report_version, live_times = highest, []
            continue
        if event.version < highest:
            continue
        highest = event.version
        state = event.states.get(target)
        if state == 'leaving':
            report_version, live_times = highest, []
        elif report_version is not None and highest > report_version:
            live_times = [*live_times, event.at] if state == 'live' else []
            if live_times and live_times[-1] - live_times[0] >= HOLD_S:
                report_version, live_times = None, []
    return report_version is not None


class ViewMachine(RuleBasedStateMachine):
    """A platform whose list copies lag, flap and arrive out of order."""

    @initialize()
    def begin(self) -> None:
        """Start without any list."""
        self.clock = ManualClock()
        self.view = MembershipView(lambda: RULES, self.clock)
        self.history: list[Delivered | SelfReport] = []
        self.published: list[dict[str, str]] = [{}]
        self.last_notified: frozenset[str] = frozenset()
        self.view.on_change(self.take_change)

    def take_change(self, unavailable: frozenset[str]) -> None:
        """Store the last set that the callback received."""
        assert unavailable != self.last_notified
        self.last_notified = unavailable

    @rule(seconds=st.sampled_from([0.5, 1, 3, 9.5, 10]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.advance(seconds)

    @rule(states=STATES)
    def publish(self, states: dict[str, str]) -> None:
        """Publish the next version without delivering it."""
        self.published.append(states)

    @rule(age=st.integers(0, 3))
    def deliver(self, age: int) -> None:
        """Read the newest list or a stale copy."""
        version = max(len(self.published) - 1 - age, 0)
        self.deliver_version(version, self.published[version])

    @rule(name=st.sampled_from(TARGETS), periods=st.integers(1, 12))
    def report_live(self, name: str, periods: int) -> None:
        """Publish and read one list per second that reports a target live."""
        for _ in range(periods):
            self.published.append({name: 'live'})
            self.deliver(0)
            self.clock.advance(1)

    @rule(name=st.sampled_from(TARGETS), periods=st.integers(10, 12))
    def repeat_after_note(self, name: str, periods: int) -> None:
        """A list older than a target's own report is read repeatedly."""
        self.report_live(name, 1)
        self.note(name)
        for _ in range(periods):
            self.clock.advance(1)
            self.deliver(0)

    @rule(name=st.sampled_from(TARGETS))
    def note(self, name: str) -> None:
        """A target reports that it is leaving."""
        self.view.note_leaving(name)
        self.history.append(SelfReport(name))

    def deliver_version(self, version: int, states: dict[str, str]) -> None:
        """Pass a list to the view and the oracle."""
        self.view.apply_list(version, states)
        at = self.clock.monotonic()
        self.history.append(Delivered(at, version, states))

    @invariant()
    def agrees_with_oracle(self) -> None:
        """Guards against targets reinstated too early or never."""
        expected = {name for name in TARGETS if is_leaving(name, self.history)}
        assert self.view.unavailable() == expected
        assert self.last_notified == expected
        for name in TARGETS:
            assert self.view.accepts_new_work(name) == (name not in expected)


TestView = ViewMachine.TestCase
TestView.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)


def fleet(**states: TargetState) -> Fleet:
    """Return a fleet with targets in the given states."""
    return Fleet(
        fleet=FleetInfo(name='test'),
        targets_by_name={
            name: Target(
                service='s',
                data_centre='d',
                address='127.0.0.1:1',
                state=state,
            )
            for name, state in states.items()
        },
    )


def test_draining_counts_as_leaving() -> None:
    """Guards against new work for a draining target."""
    view = MembershipView(lambda: RULES, ManualClock())
    view.update_fleet(fleet(t1=TargetState.draining, t2=TargetState.live))
    assert view.unavailable() == {'t1'}
    view.update_fleet(fleet(t1=TargetState.live, t2=TargetState.live))
    assert view.unavailable() == frozenset()


def test_operator_returns_a_target_without_a_list() -> None:
    """Guards against a target that is never reinstated without a list."""
    view = MembershipView(lambda: RULES, ManualClock())
    view.update_fleet(fleet(t1=TargetState.live))
    view.note_leaving('t1')
    view.update_fleet(fleet(t1=TargetState.live))
    assert not view.accepts_new_work('t1')
    view.update_fleet(fleet(t1=TargetState.draining))
    view.update_fleet(fleet(t1=TargetState.live))
    assert view.accepts_new_work('t1')


def test_draining_keeps_what_the_list_says() -> None:
    """Guards against a listed leaving report that is lost by draining."""
    view = MembershipView(lambda: RULES, ManualClock())
    view.apply_list(1, {'t1': 'leaving'})
    view.update_fleet(fleet(t1=TargetState.draining))
    view.update_fleet(fleet(t1=TargetState.live))
    assert not view.accepts_new_work('t1')


def test_own_report_ends_where_no_list_confirms_it() -> None:
    """Guards against a restarted target that never gets work again."""
    clock = ManualClock()
    view = MembershipView(lambda: RULES, clock)
    view.note_leaving('t1')
    clock.advance(59)
    view.expire()
    assert not view.accepts_new_work('t1')
    view.apply_list(1, {'t2': 'leaving'})
    view.note_leaving('t2')
    clock.advance(2)
    view.expire()
    assert view.unavailable() == {'t2'}
    clock.advance(100)
    view.expire()
    assert view.unavailable() == {'t2'}


def test_target_that_asks_for_a_pause_gets_no_work_until_its_end() -> None:
    """Guards against a pause that is ignored or cut off by a shorter one."""
    clock = ManualClock()
    view = MembershipView(lambda: RULES, clock)
    view.note_pause('t1', 3.0)
    view.note_pause('t1', 0.5)
    clock.advance(2.9)
    view.expire()
    assert not view.accepts_new_work('t1')
    clock.advance(0.2)
    view.expire()
    assert view.accepts_new_work('t1')
