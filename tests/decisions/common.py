"""Test fleets and a driver of the decision engine."""

from __future__ import annotations

import random
from typing import Any

from hornbeamline.decisions import (
    CallReport,
    CallResult,
    DecisionEngine,
    DecisionSettings,
    Dispatch,
    Refusal,
    RequestInfo,
    StageCall,
)
from hornbeamline.helpers.clock import ManualClock
from hornbeamline.inventory import (
    Account,
    Fleet,
    FleetInfo,
    Pipeline,
    Rules,
    ServiceEntry,
    ServiceKind,
    Stage,
    Target,
)

SERVICE_S = 0.05


def fleet_of(
    targets: int = 4,
    rules: Rules | None = None,
    kind: ServiceKind = ServiceKind.retrieval,
    accounts: dict[str, Account] | None = None,
    **service: Any,
) -> Fleet:
    """Return a fleet of the services `first` and `second`."""
    service.setdefault('expected_ms', SERVICE_S * 1000)
    entry = ServiceEntry(kind=kind, **service)
    return Fleet(
        fleet=FleetInfo(name='test'),
        services_by_name={'first': entry, 'second': entry},
        targets_by_name={
            f'{name}-{index}': Target(
                service=name,
                data_centre='dc-a' if index % 2 else 'dc-b',
                address=f'10.0.0.{len(name)}:{index + 1}',
                concurrency=2,
            )
            for name in ('first', 'second')
            for index in range(targets)
        },
        accounts_by_name=accounts or {},
        pipelines_by_name={
            'both': Pipeline(
                stages=[Stage(name=each, service=each) for each in _STAGES],
            ),
        },
        rules=rules or Rules(),
    )


_STAGES = ('first', 'second')


class Driver:
    """Decision engine with a manual clock that records all its decisions."""

    def __init__(self, fleet: Fleet, seed: int = 1) -> None:
        self.clock = ManualClock(100)
        self.rng = random.Random(seed)
        self.engine = DecisionEngine(
            DecisionSettings('entry-1', 'dc-a'),
            self.clock,
            self.rng,
        )
        self.engine.update_fleet(fleet)
        self.answers: list[Dispatch | Refusal] = []
        self._serial = 0

    def request(
        self,
        deadline_s: float = 4.0,
        account: str = 'ash',
        priority: int = 0,
    ) -> RequestInfo:
        self._serial += 1
        return RequestInfo(
            f'r{self._serial}',
            account,
            'both',
            self.clock.now_s + deadline_s,
            priority,
        )

    def submit(self, request: RequestInfo | None = None, **call: Any):
        """Submit a call; return its decision, or None if it was queued."""
        before = len(self.answers)
        call.setdefault('stage_index', 0)
        self.engine.submit(
            StageCall(request or self.request(), **call),
            self.answers.append,
        )
        return self.answers[before] if len(self.answers) > before else None

    def end(
        self,
        dispatch: Dispatch,
        result: CallResult = CallResult.succeeded,
        duration_s: float = SERVICE_S,
    ) -> CallReport:
        report = CallReport(result, duration_s)
        self.engine.finished(dispatch, report)
        return report

    def run(self, result_of: Any, count: int, step_s: float = 0.02):
        """Run calls one after the other; return their number by target."""
        counts: dict[str, int] = {}
        for _ in range(count):
            dispatch = self.submit()
            assert isinstance(dispatch, Dispatch), dispatch
            counts[dispatch.target] = counts.get(dispatch.target, 0) + 1
            result, duration_s = result_of(dispatch.target)
            self.clock.advance(step_s)
            self.end(dispatch, result, duration_s)
        return counts
