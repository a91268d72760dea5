"""Runs the stages of a request one after the other."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from hornbeamline.decisions import (
    CallReport,
    CallResult,
    DecisionEngine,
    Dispatch,
    Refusal,
    StageCall,
)
from hornbeamline.exceptions import TargetError
from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import Fleet, ServiceEntry, Stage
from hornbeamline.pipeline._types import (
    Outcome,
    OutcomeKind,
    PipelineRequest,
    StageCost,
)
from hornbeamline.targets import (
    StageAnswer,
    StagePayload,
    TargetCall,
    TargetClient,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
)


class FleetSource(Protocol):
    """Where the executor reads the configuration in force."""

    @property
    def fleet(self) -> Fleet:
        """Return inventory and rules in force."""

    def holds_lease(self) -> bool:
        """Return whether new work may start under this configuration."""


class PipelineExecutor:
    """Executes requests with the decisions of one engine."""

    def __init__(
        self,
        fleet_source: FleetSource,
        decisions: DecisionEngine,
        client: TargetClient,
        clock: Clock,
    ) -> None:
        """Take configuration, decisions, target client and clock."""
        self._source = fleet_source
        self._decisions = decisions
        self._client = client
        self._clock = clock

    async def run(self, request: PipelineRequest) -> Outcome:
        """Run a request and return its final outcome."""
        if not self._source.holds_lease():
            return Outcome(OutcomeKind.not_run, None, 'no_lease', 1)
        refusal = self._decisions.admit(request.info)
        if refusal is not None:
            return _not_run(refusal)
        try:
            return await self._run_stages(request)
        finally:
            self._decisions.finish_request(request.info)

    async def _run_stages(self, request: PipelineRequest) -> Outcome:
        fleet = self._source.fleet
        outputs: dict[str, Any] = {}
        costs: list[StageCost] = []
        stages = fleet.pipelines_by_name[request.info.pipeline].stages
        for index, stage in enumerate(stages):
            service = fleet.services_by_name[stage.service]
            payload = StagePayload(
                stage=stage.name,
                input=request.input,
                outputs_by_stage=outputs,
            )
            decided = await self._decide(StageCall(request.info, index))
            if isinstance(decided, Refusal):
                return _not_run(decided)
            ended = await self._dispatch(request, decided, payload, service)
            if isinstance(ended, Outcome):
                return ended
            outputs[stage.name] = ended['output']
            costs.append(_cost(stage, decided.target, ended))
        return Outcome(
            OutcomeKind.answered,
            outputs[stages[-1].name],
            costs=tuple(costs),
        )

    async def _decide(self, call: StageCall) -> Dispatch | Refusal:
        decision: asyncio.Future[Dispatch | Refusal]
        decision = asyncio.get_running_loop().create_future()
        self._decisions.submit(call, decision.set_result)
        try:
            return await decision
        except asyncio.CancelledError:
            self._decisions.withdraw(call)
            raise

    async def _dispatch(
        self,
        request: PipelineRequest,
        dispatch: Dispatch,
        payload: StagePayload,
        service: ServiceEntry,
    ) -> StageAnswer | Outcome:
        started_at = self._clock.monotonic()
        target = self._source.fleet.targets_by_name[dispatch.target]
        attempt_id = f'{request.info.request_id}.{dispatch.dispatch_id}'
        ended = CallResult.cancelled
        tokens = 0
        try:
            answer = await self._client.call(
                dispatch.target,
                target,
                TargetCall(
                    attempt_id,
                    payload,
                    dispatch.timeout_s,
                    service.idempotent,
                    request.request_key,
                    request.info.priority,
                ),
            )
        except TargetError as error:
            ended = result_of(error)
            return _outcome_of(ended, service)
        else:
            ended = CallResult.succeeded
            tokens = answer['usage']['tokens']
            return answer
        finally:
            self._report(dispatch, started_at, ended, tokens)

    def _report(
        self,
        dispatch: Dispatch,
        started_at: float,
        ended: CallResult,
        tokens: int,
    ) -> None:
        duration_s = self._clock.monotonic() - started_at
        report = CallReport(ended, duration_s, tokens)
        self._decisions.finished(dispatch, report)


def result_of(error: TargetError) -> CallResult:
    """Return what an error of the target client proves."""
    if isinstance(error, TargetUnreachableError):
        return CallResult.unreachable
    if isinstance(error, TargetRefusedError):
        return CallResult.refused
    if isinstance(error, TargetTimeoutError):
        return CallResult.timed_out
    return CallResult.failed


def _outcome_of(result: CallResult, service: ServiceEntry) -> Outcome:
    proves_not_run = result in {CallResult.unreachable, CallResult.refused}
    if service.idempotent or proves_not_run:
        return Outcome(OutcomeKind.not_run, None, f'target_{result.value}', 1)
    return Outcome(OutcomeKind.unknown, None, f'target_{result.value}')


def _not_run(refusal: Refusal) -> Outcome:
    return Outcome(
        OutcomeKind.not_run,
        None,
        refusal.reason,
        refusal.retry_after_s,
    )


def _cost(stage: Stage, target: str, answer: StageAnswer) -> StageCost:
    usage = answer['usage']
    return StageCost(
        stage.name,
        stage.service,
        target,
        usage['target_ms'],
        usage['tokens'],
        1,
    )
