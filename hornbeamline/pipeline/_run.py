"""Execution of one request through the stages of its pipeline."""

from __future__ import annotations

from typing import Any, Final

from hornbeamline.decisions import Refusal
from hornbeamline.exceptions import LedgerError
from hornbeamline.helpers.codec import encode_json
from hornbeamline.inventory import Fleet, ServiceKind, Stage
from hornbeamline.ledger import Claim, SendPermit
from hornbeamline.pipeline._attempt import ExecutionContext, StagePlan
from hornbeamline.pipeline._claims import Claims
from hornbeamline.pipeline._costs import CostMeter
from hornbeamline.pipeline._events import TokenEvents
from hornbeamline.pipeline._stage import StageRunner
from hornbeamline.pipeline._types import (
    Outcome,
    OutcomeKind,
    PipelineRequest,
)
from hornbeamline.targets import (
    CompletionPayload,
    StagePayload,
    TargetNotSentError,
    prefix_digest,
)

REASON_PARTIALLY_RUN: Final = 'partially_run'
REASON_SENDING_NOT_RECORDED: Final = 'sending_not_recorded'
REASON_INTERNAL: Final = 'internal_error'
_RETRY_AFTER_S: Final = 1.0


class SendGuard:
    """Checks that the ledger permits calls of a claimed request."""

    def __init__(self, claims: Claims, claim: Claim) -> None:
        """Create a guard without a permit for the granted claim."""
        self.claim = claim
        self._claims = claims
        self._permit: SendPermit | None = None

    async def record_sending(self, send_by_s: float) -> Refusal | None:
        """Record in the ledger that calls of the request may be sent.

        Return a refusal if that fails. Later calls have no effect once a
        permit is held. `send_by_s` is the time left for sending.
        """
        if self._permit is not None:
            return None
        try:
            self._permit = await self._claims.mark_sending(
                self.claim,
                send_by_s,
            )
        except LedgerError:
            return Refusal(REASON_SENDING_NOT_RECORDED, _RETRY_AFTER_S)
        return None

    def check_permit(self) -> None:
        """Raise `TargetNotSentError` unless the permit is still valid."""
        if self._permit is None or not self._claims.may_send(self._permit):
            raise TargetNotSentError('no valid send permit for the claim')


class RequestRun:
    """Runs all stages of one request and determines its outcome."""

    def __init__(
        self,
        context: ExecutionContext,
        request: PipelineRequest,
        fleet: Fleet,
        events: TokenEvents | None,
        send_guard: SendGuard | None = None,
    ) -> None:
        """Create a run that uses the revision `fleet` for all stages."""
        self._context = context
        self._request = request
        self._fleet = fleet
        self._events = events
        self._send_guard = send_guard
        self._costs = CostMeter(request.info)
        self._outputs: dict[str, Any] = {}
        self._may_have_run = False
        # Output of the last non-repeatable stage that succeeded.
        self._non_repeatable_output: dict[str, Any] | None = None

    async def run(self) -> Outcome:
        """Run all stages and return the outcome."""
        stages = self._fleet.pipelines_by_name[
            self._request.info.pipeline
        ].stages
        for index, stage in enumerate(stages):
            refusal = await self._run_stage(
                index,
                stage,
                is_last=index == len(stages) - 1,
            )
            if refusal is not None:
                return self.failed_outcome(refusal)
        return Outcome(
            OutcomeKind.answered,
            self._outputs[stages[-1].name],
            costs=self._costs.costs,
        )

    def failed_outcome(self, refusal: Refusal) -> Outcome:
        """Return the outcome of a request that cannot continue.

        It is `not_run` only if no non-repeatable call may have run.
        """
        costs = self._costs.costs
        if self._non_repeatable_output is not None:
            return Outcome(
                OutcomeKind.unknown,
                self._non_repeatable_output,
                REASON_PARTIALLY_RUN,
                costs=costs,
            )
        if self._may_have_run:
            return Outcome(
                OutcomeKind.unknown,
                None,
                refusal.reason,
                costs=costs,
            )
        return Outcome(OutcomeKind.not_run, None, *refusal, costs=costs)

    def crashed_outcome(self) -> Outcome:
        """Return the outcome after an unexpected error."""
        return self.failed_outcome(Refusal(REASON_INTERNAL, _RETRY_AFTER_S))

    async def _run_stage(
        self,
        index: int,
        stage: Stage,
        *,
        is_last: bool,
    ) -> Refusal | None:
        plan = self._plan(index, stage, is_last=is_last)
        repeatable = plan.may_repeat
        if not repeatable:
            refusal = await self._mark_sending()
            if refusal is not None:
                return refusal
            # Set before the stage starts, so that the outcome is also correct
            # after an unexpected error; the result of the stage may clear it.
            self._may_have_run = True
        stage_result = await StageRunner(self._context, plan).run()
        if not repeatable:
            self._may_have_run = stage_result.may_have_run
            self._non_repeatable_output = (
                stage_result.output or self._non_repeatable_output
            )
        if stage_result.output is None:
            return stage_result.refusal
        self._outputs[stage.name] = stage_result.output
        return None

    async def _mark_sending(self) -> Refusal | None:
        if self._send_guard is None:
            return Refusal(REASON_SENDING_NOT_RECORDED, _RETRY_AFTER_S)
        deadline_at = self._request.info.deadline_at
        remaining_s = deadline_at - self._context.clock.monotonic()
        return await self._send_guard.record_sending(max(0, remaining_s))

    def _plan(self, index: int, stage: Stage, *, is_last: bool) -> StagePlan:
        service = self._fleet.services_by_name[stage.service]
        plan = StagePlan(
            self._request,
            index,
            stage,
            service,
            self._fleet,
            StagePayload(
                stage=stage.name,
                input=self._request.input,
                outputs_by_stage=self._outputs,
            ),
            self._costs,
        )
        if not plan.may_repeat and self._send_guard is not None:
            plan = plan._replace(before_send=self._send_guard.check_permit)
        if service.kind is not ServiceKind.generation:
            return plan
        prompt = self._prompt()
        return plan._replace(
            completion=CompletionPayload(
                stage=stage.name,
                model=stage.model,
                prompt=prompt,
                max_tokens=stage.max_tokens,
                stream=True,
                resume_from=0,
            ),
            prefix=prefix_digest(prompt)[0],
            events=self._events if is_last else None,
        )

    def _prompt(self) -> str:
        # The caller's prompt comes first: it often starts with text that
        # requests have in common, so the engines' prefix caches can reuse it.
        prompt = self._request.input.get('prompt')
        if not isinstance(prompt, str):
            prompt = encode_json(self._request.input).decode()
        if not self._outputs:
            return prompt
        return f'{prompt}\n{encode_json(self._outputs).decode()}'
