"""One attempt at a target, reported once to the decision engine."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Any, NamedTuple

from hornbeamline.core import TaskSet
from hornbeamline.decisions import (
    CallReport,
    CallResult,
    DecisionEngine,
    Dispatch,
)
from hornbeamline.exceptions import TargetError
from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import Fleet, ServiceEntry, Stage, Target
from hornbeamline.pipeline._costs import CostMeter
from hornbeamline.pipeline._events import TokenEvents
from hornbeamline.pipeline._types import PipelineRequest
from hornbeamline.targets import (
    CompletionPayload,
    StagePayload,
    TargetCall,
    TargetClient,
    TargetNotSentError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
    TargetVersionError,
    TokenBatch,
    Usage,
)
from hornbeamline.telemetry import log_event


class ExecutionContext(NamedTuple):
    """Dependencies that all requests of one executor share."""

    decisions: DecisionEngine
    client: TargetClient
    clock: Clock
    tasks: TaskSet
    # Returns the current fleet, which may contain targets that the revision of
    # a request does not have yet.
    current_fleet: Callable[[], Fleet]
    # Called with the name of a target that refused a call, and the refusal. It
    # says whether the target is shutting down or asks for a pause.
    on_refused: Callable[[str, TargetRefusedError], None]


class StagePlan(NamedTuple):
    """Everything that attempts at one stage of one request need."""

    request: PipelineRequest
    stage_index: int
    stage: Stage
    service: ServiceEntry
    # Fleet revision that the request started with.
    fleet: Fleet
    payload: StagePayload
    costs: CostMeter
    # Sent in place of `payload` if the stage generates tokens.
    completion: CompletionPayload | None = None
    # Prefix digest of the prompt; empty if the stage generates no tokens.
    prefix: str = ''
    before_send: Callable[[], None] | None = None
    # Queue for the token events; None if they are not sent to the caller.
    events: TokenEvents | None = None

    @property
    def idempotency_key(self) -> str:
        """Return the key for the target; empty for a repeatable stage.

        It includes the client account, because request keys are unique only
        within one, and the stage, because several stages of a request may
        call the same target.
        """
        request_key = self.request.request_key
        if self.may_repeat or not request_key:
            return ''
        return f'{self.request.info.account}/{request_key}/{self.stage.name}'

    @property
    def remaining_stages(self) -> tuple[Stage, ...]:
        """Return this stage and the stages after it."""
        pipeline = self.fleet.pipelines_by_name[self.request.info.pipeline]
        return tuple(pipeline.stages[self.stage_index :])

    @property
    def may_repeat(self) -> bool:
        """Return whether calls of this stage may be repeated."""
        return self.fleet.stage_may_repeat(self.stage)

    @property
    def generates(self) -> bool:
        """Return whether the stage streams tokens."""
        return self.completion is not None


class Attempt:
    """One call to a target; `error` is set if it failed."""

    def __init__(
        self,
        context: ExecutionContext,
        plan: StagePlan,
        dispatch: Dispatch,
        target: Target,
        resume_from: int,
    ) -> None:
        """Create an attempt for `dispatch`.

        `resume_from` is the index of the first token to generate.
        """
        self.dispatch = dispatch
        self.output: dict[str, Any] = {}
        self.error: TargetError | None = None
        self.report: CallReport | None = None
        self.tokens = 0
        # Software version of the target, as it has stated it or else as known
        # at the dispatch.
        self.software_version = dispatch.software_version
        self._context = context
        self._plan = plan
        self._target = target
        self._resume_from = resume_from
        self._stream: AsyncGenerator[TokenBatch | Usage, None] | None = None
        self._first_part: TokenBatch | Usage | None = None
        self._target_ms: float = 0
        self._started_at = context.clock.monotonic()
        request_id = plan.request.info.request_id
        self._attempt_id = f'{request_id}.{dispatch.dispatch_id}'

    async def open(self) -> None:
        """Send the call; return after the answer or the first tokens.

        A `TargetError` is stored in `error`, not raised.
        """
        try:
            if self._plan.generates:
                await self._open_stream()
            else:
                await self._call()
        except TargetVersionError as error:
            self.fail(error)
            self._cancel_in_background()
        except TargetError as error:
            self.fail(error)
        except BaseException:
            self.abort()
            raise

    async def token_batches(self) -> AsyncIterator[TokenBatch]:
        """Yield the token batches of a stream; raises `TargetError`."""
        part = self._first_part
        while isinstance(part, TokenBatch):
            self.tokens += part.tokens
            yield part
            assert self._stream is not None
            part = await anext(self._stream)
        assert part is not None
        self._target_ms = part['target_ms']

    def succeed(self, target_ms: float | None = None) -> None:
        """Report success to the decision engine and the cost meter."""
        if target_ms is None:
            target_ms = self._target_ms
        self._end(CallResult.succeeded, target_ms)

    def fail(self, error: TargetError) -> None:
        """Store the error and report the failure."""
        self.error = error
        if isinstance(error, TargetRefusedError):
            self._context.on_refused(self.dispatch.target, error)
        self._end(result_of(error))

    def abort(self) -> None:
        """Report the call as cancelled and cancel it at the target."""
        if self.report is not None:
            return
        self._end(CallResult.cancelled)
        self._cancel_in_background()

    def _cancel_in_background(self) -> None:
        self._context.tasks.spawn(self._cancel_at_target(), 'cancel at target')

    async def _cancel_at_target(self) -> None:
        await self._context.client.cancel(
            self.dispatch.target,
            self._target,
            self._attempt_id,
        )
        # Until the first part has arrived, the cancelled `open` closes the
        # stream.
        if self._stream is not None and self._first_part is not None:
            await self._stream.aclose()

    async def _open_stream(self) -> None:
        self._stream = self._context.client.stream(
            self.dispatch.target,
            self._target,
            self._target_call(),
            self._resume_from,
        )
        self._first_part = await anext(self._stream)
        elapsed_s = self._context.clock.monotonic() - self._started_at
        self._context.decisions.record_first_token(self.dispatch, elapsed_s)
        if isinstance(self._first_part, TokenBatch):
            self._check_version(self._first_part.software_version)

    def _check_version(self, stated: str | None) -> None:
        """Apply the version that the target has stated.

        Raises `TargetVersionError` if it can't resume the stream.
        """
        target = self.dispatch.target
        if stated is not None and stated != self.software_version:
            log_event(
                'targets.version_stated',
                request=self._plan.request.info.request_id,
                target=target,
                known=self.software_version,
                stated=stated,
            )
            self._context.decisions.version_stated(target, stated)
            self.software_version = stated
        required = self.dispatch.call.software_version
        if required is not None and required != self.software_version:
            raise TargetVersionError(f'{target}: version {stated}')

    async def _call(self) -> None:
        answer = await self._context.client.call(
            self.dispatch.target,
            self._target,
            self._target_call(),
        )
        self.output = answer['output']
        self.tokens = answer['usage']['tokens']
        self.succeed(answer['usage']['target_ms'])

    def _target_call(self) -> TargetCall:
        payload: StagePayload | CompletionPayload = self._plan.payload
        if self._plan.completion is not None:
            payload = self._plan.completion.copy()
            payload['resume_from'] = self._resume_from
        request = self._plan.request
        remaining_s = request.info.deadline_at - self._context.clock.monotonic()
        return TargetCall(
            self._attempt_id,
            payload,
            max(0, min(self.dispatch.timeout_s, remaining_s)),
            self._plan.may_repeat,
            self._plan.idempotency_key,
            request.info.priority,
            self._plan.before_send,
        )

    def _end(
        self,
        result: CallResult,
        target_ms: float | None = None,
    ) -> None:
        if self.report is not None:
            return
        elapsed_s = self._context.clock.monotonic() - self._started_at
        self.report = CallReport(result, elapsed_s, self.tokens)
        self._context.decisions.finished(self.dispatch, self.report)
        self._plan.costs.add(
            self._plan.stage,
            self.dispatch.target,
            self.report,
            target_ms,
        )


def result_of(error: TargetError) -> CallResult:
    """Return the call result for an error of the target client."""
    if isinstance(error, TargetUnreachableError):
        return CallResult.unreachable
    if isinstance(error, TargetRefusedError):
        return CallResult.refused
    if isinstance(error, TargetVersionError):
        return CallResult.other_version
    if isinstance(error, TargetNotSentError):
        return CallResult.cancelled
    if isinstance(error, TargetTimeoutError):
        return CallResult.timed_out
    return CallResult.failed
