"""Stateful property test of the decision engine."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hornbeamline.decisions import (
    CallReport,
    CallResult,
    DecisionEngine,
    DecisionSettings,
    Dispatch,
    LoadReport,
    Refusal,
    RequestInfo,
    StageCall,
)
from hornbeamline.helpers.clock import ManualClock
from hornbeamline.inventory import (
    AdmissionRules,
    Rules,
    TargetState,
)
from tests.decisions.common import fleet_of

QUEUE_LENGTH = 6
TARGETS = [
    f'{name}-{index}' for name in ('first', 'second') for index in (0, 1, 2)
]
RULES = Rules(admission=AdmissionRules(queue_length=QUEUE_LENGTH))


def fleet_with(draining: frozenset[str], removed: str, port_suffix: int):
    """Return a fleet with some targets draining, removed or readdressed."""
    plain = fleet_of(targets=3, rules=RULES)
    targets = {
        name: type(target)(
            service=target.service,
            data_centre=target.data_centre,
            address=f'{target.address}{port_suffix}',
            concurrency=target.concurrency,
            state=(
                TargetState.draining if name in draining else TargetState.live
            ),
        )
        for name, target in plain.targets_by_name.items()
        if name != removed
    }
    return type(plain)(
        fleet=plain.fleet,
        services_by_name=plain.services_by_name,
        targets_by_name=targets,
        pipelines_by_name=plain.pipelines_by_name,
        rules=RULES,
    )


class EngineMachine(RuleBasedStateMachine):
    """Calls the engine's methods in random order and checks invariants."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(1000)
        self.engine = DecisionEngine(
            DecisionSettings('entry-1', 'dc-a'),
            self.clock,
            random.Random(7),
        )
        self.draining: frozenset[str] = frozenset()
        self.unavailable: frozenset[str] = frozenset()
        self.removed = ''
        self.engine.update_fleet(fleet_with(frozenset(), '', 0))
        self.serial = 0
        self.decision_counts: dict[StageCall, int] = {}
        self.withdrawn: set[StageCall] = set()
        self.requests: list[RequestInfo] = []
        self.active: list[Dispatch] = []
        self.first_attempts = {'first': 0, 'second': 0}
        self.retries = {'first': 0, 'second': 0}
        self.hedges = {'first': 0, 'second': 0}

    @rule(
        deadline_s=st.sampled_from([0.05, 0.3, 4]),
        account=st.sampled_from('ab'),
    )
    def admit(self, deadline_s: float, account: str) -> None:
        self.serial += 1
        request = RequestInfo(
            f'r{self.serial}',
            account,
            'both',
            self.clock.now_s + deadline_s,
            self.serial % 3,
        )
        if self.engine.admit(request) is None:
            self.requests.append(request)

    @rule(data=st.data(), count=st.integers(1, 6))
    def submit(self, data: st.DataObject, count: int) -> None:
        for _ in range(count):
            if not self.requests:
                self.admit(4, 'a')
            if not self.requests:
                return
            request = data.draw(st.sampled_from(self.requests))
            self.serial += 1
            call = StageCall(
                request,
                data.draw(st.integers(0, 1)),
                prefix=f'p{self.serial}',
                excluded=data.draw(
                    st.frozensets(st.sampled_from(TARGETS), max_size=3)
                ),
            )
            self._submit(call)

    @rule(
        data=st.data(),
        result=st.sampled_from(CallResult),
        duration_s=st.sampled_from([0.001, 0.05, 2]),
        count=st.integers(1, 8),
        retry=st.booleans(),
    )
    def finish(self, data, result, duration_s, count, retry) -> None:
        for _ in range(min(count, len(self.active))):
            dispatch = data.draw(st.sampled_from(self.active))
            self.active.remove(dispatch)
            report = CallReport(result, duration_s)
            self.engine.finished(dispatch, report)
            before = [self.engine.in_flight(name) for name in TARGETS]
            self.engine.finished(dispatch, report)
            assert before == [self.engine.in_flight(name) for name in TARGETS]
            if not retry:
                continue
            answer = self.engine.retry_delay_s(dispatch, report)
            if isinstance(answer, float):
                call = dispatch.call
                self.retries[dispatch.target.split('-')[0]] += 1
                self._submit(
                    call._replace(
                        attempt=call.attempt + 1,
                        excluded=call.excluded | {dispatch.target},
                    )
                )

    @rule(data=st.data())
    def hedge(self, data: st.DataObject) -> None:
        if not self.active:
            return
        dispatch = data.draw(st.sampled_from(self.active))
        self.engine.record_first_token(dispatch, 0.01)
        self.engine.hedge_delay_s(dispatch)
        if self.engine.take_hedge(dispatch):
            call = dispatch.call
            self.serial += 1
            self.hedges[dispatch.target.split('-')[0]] += 1
            self._submit(
                call._replace(
                    is_hedge=True,
                    prefix=f'p{self.serial}',
                    excluded=call.excluded | {dispatch.target},
                )
            )

    @rule(data=st.data())
    def end_request(self, data: st.DataObject) -> None:
        if self.requests:
            request = data.draw(st.sampled_from(self.requests))
            self.requests.remove(request)
            for call, count in list(self.decision_counts.items()):
                if call.request is request and not count:
                    self.engine.withdraw(call)
                    self.withdrawn.add(call)
            self.engine.finish_request(request)

    @rule(step_s=st.sampled_from([0.001, 0.06, 1, 20]))
    def advance(self, step_s: float) -> None:
        self.clock.advance(step_s)
        self.engine.tick()

    @rule(
        draining=st.frozensets(st.sampled_from(TARGETS), max_size=3),
        removed=st.sampled_from(['', 'first-2']),
        addresses=st.integers(0, 1),
    )
    def change_fleet(self, draining, removed: str, addresses: int) -> None:
        self.draining = draining
        self.removed = removed
        self.engine.update_fleet(fleet_with(draining, removed, addresses))

    @rule(names=st.frozensets(st.sampled_from(TARGETS), max_size=4))
    def change_membership(self, names: frozenset[str]) -> None:
        self.unavailable = names
        self.engine.update_unavailable(names)

    @rule(name=st.sampled_from(TARGETS), load=st.integers(0, 9))
    def report(self, name: str, load: int) -> None:
        self.engine.load_reported(name, LoadReport(load, load, 2.0))
        self.engine.prefix_cached(name, f'p{load}', held=load > 3)

    @invariant()
    def in_flight_matches(self) -> None:
        for name in TARGETS:
            mine = sum(each.target == name for each in self.active)
            assert self.engine.in_flight(name) == mine

    @invariant()
    def queues_are_bounded(self) -> None:
        waiting = [
            call
            for call, count in self.decision_counts.items()
            if not count and call not in self.withdrawn
        ]
        for stage in (0, 1):
            queued = [call for call in waiting if call.stage_index == stage]
            assert len(queued) <= QUEUE_LENGTH

    @invariant()
    def budgets_hold(self) -> None:
        for service, count in self.first_attempts.items():
            assert self.retries[service] <= 0.1 * count + 3 + 1e-6
            assert self.hedges[service] <= 0.05 * count + 3 + 1e-6

    def teardown(self) -> None:
        self.clock.advance(100)
        self.engine.tick()
        for call, count in self.decision_counts.items():
            assert count == (0 if call in self.withdrawn else 1)

    def _submit(self, call: StageCall) -> None:
        self.decision_counts[call] = 0
        self.engine.submit(
            call, lambda answer: self._record_decision(call, answer)
        )

    def _record_decision(
        self, call: StageCall, answer: Dispatch | Refusal
    ) -> None:
        assert call not in self.withdrawn
        self.decision_counts[call] += 1
        assert self.decision_counts[call] == 1
        if isinstance(answer, Refusal):
            assert answer.retry_after_s > 0
            return
        assert answer.call == call
        assert answer.target not in call.excluded
        assert answer.target not in self.unavailable
        assert answer.target not in self.draining
        assert answer.target != self.removed
        assert answer.timeout_s > 0
        self.active.append(answer)
        if call.attempt == 1 and not call.is_hedge:
            self.first_attempts[answer.target.split('-')[0]] += 1


TestEngine = EngineMachine.TestCase
TestEngine.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
