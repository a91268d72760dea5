"""Execution of one stage: retries, hedging and resumed streams."""

from __future__ import annotations

import asyncio
import re
from typing import Any, Final, NamedTuple, TypedDict

from hornbeamline.decisions import (
    CallReport,
    CallResult,
    Dispatch,
    Refusal,
    StageCall,
)
from hornbeamline.decisions.const import REASON_NO_VERSION
from hornbeamline.exceptions import TargetError
from hornbeamline.helpers.codec import CodecError, decode_json
from hornbeamline.pipeline import _metrics
from hornbeamline.pipeline._attempt import Attempt, ExecutionContext, StagePlan
from hornbeamline.targets import (
    TargetFailedError,
    TargetNotSentError,
    TargetRefusedError,
    TargetUnreachableError,
    TargetVersionError,
)
from hornbeamline.telemetry import log_event

REASON_CONFIGURATION_CHANGED: Final = 'configuration_changed'
REASON_NOT_SENT: Final = 'send_by_passed'
_TOKEN_DATA: Final = re.compile(rb'\ndata: (.*)\n\n')
_FAILED_RETRY_AFTER_S: Final = 1.0


class _TokenBody(TypedDict):
    text: str


class StageResult(NamedTuple):
    """Result of a stage."""

    # None if the stage failed.
    output: dict[str, Any] | None
    refusal: Refusal | None = None
    # True if a non-repeatable call may have run.
    may_have_run: bool = False


class StageRunner:
    """Runs one stage of one request."""

    def __init__(self, context: ExecutionContext, plan: StagePlan) -> None:
        """Create a runner for the stage and payload in `plan`."""
        self._context = context
        self._plan = plan
        self._excluded: frozenset[str] = frozenset()
        self._attempts = 0
        self._next_token = 0
        # Dispatch of the attempt that wrote the first token. All later tokens
        # must come from targets with the same software version.
        self._first_writer: Dispatch | None = None
        # Refusal that describes the failure of the latest attempt.
        self._failure: Refusal | None = None
        # The first attempt and its hedged attempt while both are opened.
        self._concurrent_attempts: list[Attempt] = []
        self._token_events: list[bytes] = []

    async def run(self) -> StageResult:
        """Attempt the stage until it succeeds or may not be retried."""
        while True:
            decided = await self._decide()
            if _lacks_version(decided):
                decided = await self._decide_without_version()
            if isinstance(decided, Refusal):
                return StageResult(None, decided)
            attempt = await self._start_attempt(decided)
            if attempt.error is None:
                await self._consume(attempt)
            if attempt.error is None:
                return StageResult(attempt.output)
            delay = self._retry_delay(attempt, attempt.error)
            if isinstance(delay, StageResult):
                return delay
            await asyncio.sleep(delay)

    def _retry_delay(
        self,
        attempt: Attempt,
        error: TargetError,
    ) -> float | StageResult:
        if isinstance(error, TargetNotSentError):
            return StageResult(None, Refusal(REASON_NOT_SENT, 1))
        assert attempt.report is not None
        result = attempt.report.result
        failure = Refusal(f'target_{result.value}', _FAILED_RETRY_AFTER_S)
        if isinstance(error, TargetVersionError) and self._failure is not None:
            # The stream ends for the reason that broke it.
            failure = self._failure
        self._failure = failure
        if not (self._plan.may_repeat or proves_not_run(error)):
            return StageResult(None, failure, may_have_run=True)
        delay = self._context.decisions.retry_delay_s(
            attempt.dispatch,
            attempt.report,
        )
        if isinstance(delay, Refusal):
            wait_s = max(delay.retry_after_s, failure.retry_after_s)
            return StageResult(None, failure._replace(retry_after_s=wait_s))
        _metrics.RETRIES.labels(
            self._plan.request.info.pipeline,
            self._plan.stage.name,
            result.value,
        ).inc()
        return delay

    async def _decide(
        self,
        *,
        is_hedge: bool = False,
    ) -> Dispatch | Refusal:
        self._attempts += 1
        call = StageCall(
            self._plan.request.info,
            self._plan.stage_index,
            attempt=self._attempts,
            is_hedge=is_hedge,
            prefix=self._plan.prefix,
            excluded=self._excluded_targets(is_hedge=is_hedge),
            stages=self._plan.remaining_stages,
            software_version=self._software_version,
        )
        decision: asyncio.Future[Dispatch | Refusal]
        decision = asyncio.get_running_loop().create_future()

        def on_decision(answer: Dispatch | Refusal) -> None:
            if not decision.done():
                decision.set_result(answer)
            elif isinstance(answer, Dispatch):
                self._release_dispatch(answer)

        try:
            self._context.decisions.submit(call, on_decision)
        except LookupError:
            # A newer revision has removed this pipeline or stage.
            return Refusal(REASON_CONFIGURATION_CHANGED, 1)
        try:
            return self._validate_dispatch(await decision)
        except asyncio.CancelledError:
            self._withdraw_call(call, decision)
            raise

    async def _decide_without_version(self) -> Dispatch | Refusal:
        """Return the decision if no target has the version of the stream.

        A stream of which the caller has received nothing begins again at any
        target. Any other stream ends with the failure that broke it.
        """
        writer = self._first_writer
        failure = self._failure
        assert writer is not None
        assert failure is not None
        may_restart = self._plan.events is None
        live = self._context.decisions.live_by_version(self._plan.stage.service)
        log_event(
            'pipeline.resumption_refused',
            request=self._plan.request.info.request_id,
            stage=self._plan.stage.name,
            target=writer.target,
            software_version=writer.software_version,
            candidates=','.join(
                f'{version}={count}' for version, count in sorted(live.items())
            ),
            next_token=self._next_token,
            outcome='restarted' if may_restart else failure.reason,
        )
        if not may_restart:
            return failure
        self._first_writer = None
        self._next_token = 0
        self._token_events.clear()
        self._plan.costs.discard(self._plan.stage)
        return await self._decide()

    @property
    def _software_version(self) -> str | None:
        writer = self._first_writer
        return None if writer is None else writer.software_version

    def _excluded_targets(self, *, is_hedge: bool) -> frozenset[str]:
        # When all targets have been tried, a retry may use any of them again;
        # a hedged attempt may not.
        names = self._plan.fleet.targets_of(self._plan.stage.service)
        if not is_hedge and self._excluded >= names.keys():
            return frozenset()
        return self._excluded

    def _validate_dispatch(
        self,
        answer: Dispatch | Refusal,
    ) -> Dispatch | Refusal:
        if isinstance(answer, Refusal):
            return answer
        # The decision engine uses the newest revision, but the request keeps
        # the revision it started with.
        target = self._find_target(answer)
        if target is None or target.service != self._plan.stage.service:
            self._release_dispatch(answer)
            return Refusal(REASON_CONFIGURATION_CHANGED, 1)
        return answer

    def _find_target(self, dispatch: Dispatch) -> Any:
        # The decision engine knows the target by its newest entry, which may
        # have another address and version than that of the request's revision.
        newest = self._context.current_fleet().targets_by_name.get(
            dispatch.target,
        )
        if newest is not None:
            return newest
        return self._plan.fleet.targets_by_name.get(dispatch.target)

    def _withdraw_call(
        self,
        call: StageCall,
        decision: asyncio.Future[Dispatch | Refusal],
    ) -> None:
        if decision.cancelled() or not decision.done():
            self._context.decisions.withdraw(call)
            return
        answer = decision.result()
        if isinstance(answer, Dispatch):
            self._release_dispatch(answer)

    def _release_dispatch(self, dispatch: Dispatch) -> None:
        unused = CallReport(CallResult.cancelled, 0)
        self._context.decisions.finished(dispatch, unused)

    async def _start_attempt(self, dispatch: Dispatch) -> Attempt:
        attempt = self._create_attempt(dispatch)
        delay_s = None
        if self._plan.may_repeat:
            delay_s = self._context.decisions.hedge_delay_s(dispatch)
        if delay_s is None:
            await attempt.open()
            self._concurrent_attempts.clear()
            return attempt
        return await self._open_hedged(attempt, delay_s)

    def _create_attempt(self, dispatch: Dispatch) -> Attempt:
        self._excluded |= {dispatch.target}
        attempt = Attempt(
            self._context,
            self._plan,
            dispatch,
            self._find_target(dispatch),
            self._next_token,
        )
        self._concurrent_attempts.append(attempt)
        return attempt

    async def _open_hedged(self, first: Attempt, delay_s: float) -> Attempt:
        primary = asyncio.create_task(self._open(first))
        running: set[asyncio.Task[Any]] = {primary}
        winner: Attempt | None = None
        try:
            await asyncio.wait(running, timeout=delay_s)
            if not primary.done() and self._context.decisions.take_hedge(
                first.dispatch,
            ):
                running.add(asyncio.create_task(self._open_hedge()))
            winner = await _first_success(running) or first
        finally:
            self._cancel_losers(running, winner)
        return winner

    def _cancel_losers(
        self,
        running: set[asyncio.Task[Any]],
        winner: Attempt | None,
    ) -> None:
        for task in running:
            task.cancel()
        # Aborts right away, so that the costs of the outcome include the
        # attempts that lost.
        for attempt in self._concurrent_attempts:
            if attempt is not winner:
                attempt.abort()
        self._concurrent_attempts.clear()

    async def _open(self, attempt: Attempt) -> Attempt:
        await attempt.open()
        return attempt

    async def _open_hedge(self) -> Attempt | None:
        decided = await self._decide(is_hedge=True)
        if isinstance(decided, Refusal):
            return None
        return await self._open(self._create_attempt(decided))

    async def _consume(self, attempt: Attempt) -> None:
        if not self._plan.generates:
            return
        try:
            async for part in attempt.token_batches():
                if self._first_writer is None:
                    self._first_writer = attempt.dispatch._replace(
                        software_version=attempt.software_version,
                    )
                self._next_token = part.first + part.tokens
                self._token_events.append(part.events)
                events = self._plan.events
                if events is not None and not events.offer(part.events):
                    await events.wait_space()
            attempt.output = {'text': self._text(), 'tokens': self._next_token}
            attempt.succeed()
        except TargetError as error:
            attempt.fail(error)
        except BaseException:
            attempt.abort()
            raise

    def _text(self) -> str:
        bodies = _TOKEN_DATA.findall(b''.join(self._token_events))
        try:
            tokens = decode_json(
                b'[%b]' % b','.join(bodies),
                list[_TokenBody],
            )
        except CodecError as error:
            raise TargetFailedError(f'token events: {error}') from error
        return ''.join(token['text'] for token in tokens)


def _lacks_version(decided: Dispatch | Refusal) -> bool:
    return isinstance(decided, Refusal) and decided.reason == REASON_NO_VERSION


def proves_not_run(error: TargetError) -> bool:
    """Return whether an error proves that the call did not run."""
    return isinstance(
        error,
        (TargetUnreachableError, TargetRefusedError, TargetNotSentError),
    )


async def _first_success(
    running: set[asyncio.Task[Any]],
) -> Attempt | None:
    """Return the first successful attempt, or else the last failed one."""
    pending = set(running)
    failed: Attempt | None = None
    while pending:
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            attempt: Attempt | None = task.result()
            if attempt is None:
                continue
            if attempt.error is None:
                return attempt
            failed = attempt
    return failed
