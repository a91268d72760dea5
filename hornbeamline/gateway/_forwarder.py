"""Forwards a request to targets, with retries, until one answers."""

from __future__ import annotations

import asyncio
from typing import Final

from hornbeamline.gateway._answer_checks import (
    check_form,
    check_head,
    check_not_run,
    is_failure,
    is_unproven_refusal,
)
from hornbeamline.gateway._attempts import (
    OUTCOME_ANSWERED,
    OUTCOME_CANCELLED,
    OUTCOME_FAILED,
    OUTCOME_LOST,
    OUTCOME_NOT_RUN,
    Attempts,
    BufferedAnswer,
    PermittedTarget,
    log_attempt,
)
from hornbeamline.gateway._gate import TargetGate
from hornbeamline.gateway._http import TargetHttp, TargetResponse
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._picker import PickCriteria, TargetPicker
from hornbeamline.gateway._reply import Reply
from hornbeamline.gateway._stream_relay import RelayedAttempt, StreamRelay
from hornbeamline.gateway._targets import TargetDirectory
from hornbeamline.gateway._types import (
    Refusal,
    RouteKind,
    Target,
)
from hornbeamline.gateway._warm_first import permit_candidates, pick_target
from hornbeamline.gateway._wire import TargetHeaders, Wire
from hornbeamline.gateway.const import (
    REASON_TARGET_LOST,
    REASON_TARGETS_LIMITED,
    REASON_TARGETS_REFUSED,
)
from hornbeamline.gateway.errors import (
    AnswerBrokenError,
    InputsGoneError,
    MayHaveRunError,
    NotRunError,
    OriginNotRecordedError,
    RefusedError,
    TargetGoneError,
)
from hornbeamline.helpers.budget import RetryBudget
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.delayed import DelayedCall
from hornbeamline.limits import Permit
from hornbeamline.quarantine import EngineCrash

# Time after which the inputs of a sent request count as fetched: an engine
# with a free slot fetches them as soon as it has received the request.
INPUT_FETCH_S: Final = 0.1
# Attempts that did not run at a target, after which the request is refused.
MAX_REFUSED_ATTEMPTS: Final = 3
# Permit requests that may be denied before the request waits for a permit or
# is refused; each permit request takes some milliseconds.
MAX_DENIED_PERMITS: Final = 3
# Share of the remaining time that a request waits for a permit while all
# targets are rate limited: a refused caller would wait as long until it
# retries.
PERMIT_WAIT_SHARE: Final = 0.25
# Remaining time below which no target can answer.
_MIN_ATTEMPT_S: Final = 0.02
_RETRY_AFTER_S: Final = 0.5

_HTTP_OK: Final = 200
_HTTP_BAD_REQUEST: Final = 400
_HTTP_BAD_GATEWAY: Final = 502
_HTTP_UNAVAILABLE: Final = 503


class Forwarder:
    """Forward requests to targets within the retry rules of their routes."""

    def __init__(
        self,
        http: TargetHttp,
        wire: Wire,
        picker: TargetPicker,
        targets: TargetDirectory,
        gate: TargetGate,
        budget: RetryBudget,
        clock: Clock,
    ) -> None:
        """Create a forwarder; `budget` limits the retries of all requests."""
        self._http = http
        self._wire = wire
        self._picker = picker
        self._targets = targets
        self._gate = gate
        self._budget = budget
        self._clock = clock

    async def forward(self, job: Job, reply: Reply) -> None:
        """Forward a request and send the response to the caller.

        Raises `RefusedError` if the gateway itself has to answer,
        `InputsGoneError` if no attempt ran and the stages must be repeated,
        and `AnswerBrokenError` if a response that has begun cannot continue.
        """
        attempts = Attempts()
        attempts.last_event_id = job.request.last_event_id
        while True:
            chosen = await self._next_target(job, attempts)
            if chosen is None:
                break
            await self._try_target(job, chosen, attempts, reply)
            if reply.is_complete:
                return
        await self._send_failure(job, attempts, reply)

    async def _try_target(
        self,
        job: Job,
        chosen: PermittedTarget,
        attempts: Attempts,
        reply: Reply,
    ) -> None:
        """Make one attempt and record whether it may have run."""
        target = chosen.target
        try:
            await self._attempt(job, chosen, attempts, reply)
        except NotRunError as error:
            attempts.not_run_count += 1
            attempts.reason = str(error)
            job.guard.may_have_run = bool(attempts.may_have_run_count)
            self._log_attempt(job, target, attempts, OUTCOME_NOT_RUN, error)
            if isinstance(error, InputsGoneError):
                if not attempts.may_have_run_count:
                    raise
                attempts.inputs_lost = True
            if isinstance(error, TargetGoneError):
                self._picker.eject(target)
            self._gate.note_failed_call(target, error)
        except MayHaveRunError as error:
            attempts.may_have_run_count += 1
            attempts.reason = str(error)
            self._log_attempt(job, target, attempts, OUTCOME_LOST, error)
            await self._check_target(job, target, attempts, error)
        except asyncio.CancelledError:
            # The caller has disconnected or the deadline has passed.
            self._log_attempt(job, target, attempts, OUTCOME_CANCELLED, None)
            raise
        else:
            attempts.may_have_run_count += 1

    async def _check_target(
        self,
        job: Job,
        target: Target,
        attempts: Attempts,
        error: MayHaveRunError,
    ) -> None:
        """Record a lost answer, and evidence if its target ended early."""
        if isinstance(error, OriginNotRecordedError):
            return
        self._picker.record_failure(target)
        phase = attempts.phase_at(self._clock.monotonic())
        if phase is None or not job.guard.keys:
            return
        if await self._http.is_listening(target.address):
            return
        self._picker.eject(target)
        self._gate.note_ended(target)
        received_s = self._clock.monotonic() - job.request.received_at
        waited_s = received_s - (attempts.sent_s or 0)
        crash = EngineCrash(target.id, target.service, phase, waited_s)
        job.guard.engine_ended(crash)

    async def _next_target(
        self,
        job: Job,
        attempts: Attempts,
    ) -> PermittedTarget | None:
        """Return a target with a permit for the next attempt, or None."""
        if not self._may_attempt(job, attempts):
            return None
        denied: list[str] = []
        while len(denied) < MAX_DENIED_PERMITS:
            excluded = [*attempts.tried, *denied]
            target = pick_target(job, self._targets, self._picker, excluded)
            if target is None:
                break
            if not self._may_retry(job, attempts):
                return None
            permit = await self._gate.admit(target, job.request.id)
            if permit is not None:
                return self._start_attempt(target, permit, attempts)
            denied.append(target.id)
        return await self._wait_for_permit(job, attempts)

    async def _wait_for_permit(
        self,
        job: Job,
        attempts: Attempts,
    ) -> PermittedTarget | None:
        """Wait for the target that allows a request first, or return None."""
        limited = permit_candidates(
            job, self._targets, self._picker, attempts.tried
        )
        if not limited:
            return None
        attempts.was_permit_denied = True
        attempts.reason = f'{job.service}: all targets are rate limited'
        limits = self._targets.limits
        first = min(
            limited, key=lambda target: limits.permit_pause_s(target.id)
        )
        max_wait_s = self._remaining_s(job) * PERMIT_WAIT_SHARE
        if limits.permit_pause_s(first.id) > max_wait_s:
            return None
        if not self._may_retry(job, attempts):
            return None
        permit = await self._gate.admit(first, job.request.id, max_wait_s)
        if permit is None:
            return None
        return self._start_attempt(first, permit, attempts)

    def _may_retry(self, job: Job, attempts: Attempts) -> bool:
        """Charge a retry to the retry budget; return whether it allows it."""
        if not attempts.tried or attempts.is_budgeted:
            return True
        attempts.is_budgeted = self._budget.take(job.service)
        if not attempts.is_budgeted:
            attempts.reason = f'{attempts.reason}; retry budget exhausted'
        return attempts.is_budgeted

    def _start_attempt(
        self,
        target: Target,
        permit: Permit,
        attempts: Attempts,
    ) -> PermittedTarget:
        attempts.start(target)
        return PermittedTarget(target, permit)

    def _may_attempt(self, job: Job, attempts: Attempts) -> bool:
        if attempts.inputs_lost or self._remaining_s(job) < _MIN_ATTEMPT_S:
            return False
        job.guard.check()
        if attempts.may_have_run_count and not job.route.may_repeat:
            return False
        if attempts.may_have_run_count and job.guard.is_suspect:
            attempts.reason = f'{attempts.reason}; prompt may crash targets'
            return False
        if attempts.may_have_run_count >= job.route.max_attempts:
            return False
        return attempts.not_run_count < MAX_REFUSED_ATTEMPTS

    def _remaining_s(self, job: Job) -> float:
        return job.deadline_at - self._clock.monotonic()

    async def _attempt(
        self,
        job: Job,
        chosen: PermittedTarget,
        attempts: Attempts,
        reply: Reply,
    ) -> None:
        target = chosen.target
        headers = self._wire.target_headers(
            job.request,
            TargetHeaders(
                target,
                job.account,
                self._remaining_s(job),
                job.inputs,
                job.rank,
                attempts.last_event_id,
            ),
        )
        await job.binding.attempt_started(target)
        work = self._picker.attempt_started(target, PickCriteria.of_job(job))
        attempts.work = work
        if work is not None:
            work.is_whole = attempts.last_event_id is None
        fetch_timer = DelayedCall(INPUT_FETCH_S, job.on_inputs_fetched)
        started_at = self._clock.monotonic()

        def before_send() -> None:
            job.guard.check()
            self._gate.check_before_send(target, chosen.permit)
            job.guard.may_have_run = True
            attempts.sent_s = self._clock.monotonic() - job.request.received_at
            fetch_timer.schedule()

        try:
            async with self._http.send(
                target.address,
                job.request.method,
                job.request.raw_target,
                headers,
                job.body or None,
                before_send,
            ) as response:
                attempts.head_s = self._clock.monotonic() - started_at
                await self._handle_answer(
                    job, chosen, attempts, reply, response
                )
        finally:
            fetch_timer.cancel()
            self._picker.attempt_ended(target, work)

    async def _handle_answer(
        self,
        job: Job,
        chosen: PermittedTarget,
        attempts: Attempts,
        reply: Reply,
        response: TargetResponse,
    ) -> None:
        target = chosen.target
        head = self._wire.read_answer(response.status, response.headers)
        attempts.status = head.status
        check_form(target, head)
        if head.request_id == job.request.id:
            self._gate.process_response_signals(target, head, chosen.permit)
        if head.load is not None:
            self._picker.record_load(target, head.load)
        check_not_run(job, target, head)
        check_head(job, target, head)
        is_stream = job.route.kind is RouteKind.STREAM
        if is_stream and head.status == _HTTP_OK:
            attempt = RelayedAttempt(job, target, attempts, reply)
            relay = StreamRelay(attempt, self._picker, self._clock)
            await relay.run(response, head)
            self._log_attempt(job, target, attempts, OUTCOME_ANSWERED, None)
            return
        answer = BufferedAnswer(head, await response.body())
        if not is_failure(head):
            job.guard.answer_begun()
            job.guard.answer_completed()
            is_served = head.status < _HTTP_BAD_REQUEST
            self._picker.record_success(
                target, attempts.work if is_served else None
            )
            await self._deliver(job, target, attempts, answer, reply)
            return
        if not is_unproven_refusal(head):
            attempts.answer = answer
        attempts.reason = f'{target.id}: failed with status {head.status}'
        self._picker.record_failure(target)
        self._log_attempt(job, target, attempts, OUTCOME_FAILED, None)

    async def _deliver(
        self,
        job: Job,
        target: Target,
        attempts: Attempts,
        answer: BufferedAnswer,
        reply: Reply,
    ) -> None:
        if reply.has_begun:
            # The status of a stream cannot change when it is resumed.
            raise AnswerBrokenError(
                f'{target.id}: answered the resumption without a stream'
            )
        length = ('Content-Length', str(len(answer.body)))
        await reply.begin(answer.head.status, [*answer.head.headers, length])
        await reply.end(answer.body)
        self._log_attempt(job, target, attempts, OUTCOME_ANSWERED, None)

    async def _send_failure(
        self,
        job: Job,
        attempts: Attempts,
        reply: Reply,
    ) -> None:
        if reply.has_begun:
            raise AnswerBrokenError(attempts.reason)
        if attempts.answer is not None:
            answer = attempts.answer
            length = ('Content-Length', str(len(answer.body)))
            await reply.begin(
                answer.head.status,
                [*answer.head.headers, length],
            )
            await reply.end(answer.body)
            return
        if attempts.may_have_run_count:
            # The request may have run, so a status that says that it did not
            # run would be wrong.
            raise RefusedError(
                Refusal(_HTTP_BAD_GATEWAY, REASON_TARGET_LOST, attempts.reason),
            )
        raise RefusedError(
            Refusal(
                _HTTP_UNAVAILABLE,
                REASON_TARGETS_LIMITED
                if attempts.was_permit_denied
                else REASON_TARGETS_REFUSED,
                attempts.reason,
                self._retry_delay_s(job.service),
            ),
        )

    def _retry_delay_s(self, service: str) -> float:
        """Return the delay until a target of the service accepts requests."""
        pause_s = self._targets.pause_left_s(service)
        return pause_s or self._targets.next_permit_s(service) or _RETRY_AFTER_S

    def _log_attempt(
        self,
        job: Job,
        target: Target,
        attempts: Attempts,
        outcome: str,
        error: Exception | None,
    ) -> None:
        log_attempt(
            job,
            target,
            attempts,
            outcome,
            error,
            now=self._clock.monotonic(),
            list_age_s=self._targets.age_s,
        )
