"""One request on its way through the stages of its pipeline."""

from __future__ import annotations

from typing import Any, Final

from hornbeamline.decisions import Refusal
from hornbeamline.exceptions import LedgerError
from hornbeamline.helpers.codec import encode_json
from hornbeamline.inventory import Fleet, ServiceKind, Stage
from hornbeamline.ledger import Claim, SendPermit
from hornbeamline.pipeline._attempt import StagePlan, Tools
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
REASON_NOT_MARKED: Final = 'sending_not_recorded'
REASON_INTERNAL: Final = 'internal_error'
_RETRY_AFTER_S: Final = 1.0


class Sending:
    """The claim of a request and its permission to send."""

    def __init__(self, claims: Claims, claim: Claim) -> None:
        """Take the ledger and the granted claim."""
        self.claim = claim
        self._claims = claims
        self._permit: SendPermit | None = None

    async def mark(self, send_by_s: float) -> Refusal | None:
        """Record once that calls may be sent; return why not."""
        if self._permit is not None:
            return None
        try:
            self._permit = await self._claims.mark_sending(
                self.claim,
                send_by_s,
            )
        except LedgerError:
            return Refusal(REASON_NOT_MARKED, _RETRY_AFTER_S)
        return None

    def check(self) -> None:
        """Raise `TargetNotSentError` unless the first byte may go out."""
        if self._permit is None or not self._claims.may_send(self._permit):
            raise TargetNotSentError('the permission to send has ended')


class RequestRun:
    """Runs the stages and keeps what the outcome depends on."""

    def __init__(
        self,
        tools: Tools,
        request: PipelineRequest,
        fleet: Fleet,
        events: TokenEvents | None,
        sending: Sending | None = None,
    ) -> None:
        """Take the request and the fleet revision it keeps to its end."""
        self._tools = tools
        self._request = request
        self._fleet = fleet
        self._events = events
        self._sending = sending
        self._costs = CostMeter(request.info)
        self._outputs: dict[str, Any] = {}
        self._may_have_run = False
        # Output of the last non-repeatable stage that succeeded.
        self._kept_output: dict[str, Any] | None = None

    async def run(self) -> Outcome:
        """Run all stages."""
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
                return self.failed(refusal)
        return Outcome(
            OutcomeKind.answered,
            self._outputs[stages[-1].name],
            costs=self._costs.costs,
        )

    def failed(self, refusal: Refusal) -> Outcome:
        """Return the outcome of a request that cannot go on."""
        costs = self._costs.costs
        if self._kept_output is not None:
            return Outcome(
                OutcomeKind.unknown,
                self._kept_output,
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

    def crashed(self) -> Outcome:
        """Return the outcome after an error that nothing foresaw."""
        return self.failed(Refusal(REASON_INTERNAL, _RETRY_AFTER_S))

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
            # Holds until the stage proves the opposite, also when an error
            # that nothing foresaw ends it.
            self._may_have_run = True
        end = await StageRunner(self._tools, plan).run()
        if not repeatable:
            self._may_have_run = end.may_have_run
            self._kept_output = end.output or self._kept_output
        if end.output is None:
            return end.refusal
        self._outputs[stage.name] = end.output
        return None

    async def _mark_sending(self) -> Refusal | None:
        if self._sending is None:
            return Refusal(REASON_NOT_MARKED, _RETRY_AFTER_S)
        deadline_at = self._request.info.deadline_at
        remaining_s = deadline_at - self._tools.clock.monotonic()
        return await self._sending.mark(max(0, remaining_s))

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
        if not plan.may_repeat and self._sending is not None:
            plan = plan._replace(before_send=self._sending.check)
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
        # The caller's part goes first: it is what requests have in common,
        # so that the prefix caches of the engines can hold it.
        prompt = self._request.input.get('prompt')
        if not isinstance(prompt, str):
            prompt = encode_json(self._request.input).decode()
        if not self._outputs:
            return prompt
        return f'{prompt}\n{encode_json(self._outputs).decode()}'
