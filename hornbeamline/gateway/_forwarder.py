"""Sends a request to targets until there is an answer."""

from __future__ import annotations

import asyncio
from typing import Final, NamedTuple

from hornbeamline.gateway._events import EventSplitter, StreamEvent
from hornbeamline.gateway._gate import TargetGate
from hornbeamline.gateway._http import TargetHttp, TargetResponse
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._metrics import ATTEMPTS
from hornbeamline.gateway._picker import TargetPicker, Wish, remote_bytes
from hornbeamline.gateway._reply import Reply
from hornbeamline.gateway._targets import TargetDirectory
from hornbeamline.gateway._types import (
    AnswerHead,
    Refusal,
    RouteKind,
    Target,
)
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
    RefusedError,
    TargetGoneError,
)
from hornbeamline.helpers.budget import RepeatBudget
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.delayed import DelayedCall
from hornbeamline.limits import Permit
from hornbeamline.telemetry import log_event

# An engine that has a free slot fetches the inputs of a request as soon as
# it has the request.
FETCH_S: Final = 0.1
# Attempts that targets refuse before the request is refused.
MAX_REFUSED_ATTEMPTS: Final = 3
# Limited targets that are asked for a permit before the request waits for
# one or is refused; each question takes some milliseconds.
MAX_DENIED_PERMITS: Final = 3
# Share of the caller's time that a request waits for a permit when all
# targets are limited: the caller would wait as long before it comes back.
PERMIT_WAIT_SHARE: Final = 0.25
# Less time than this lets no target answer.
_MIN_LEFT_S: Final = 0.02
_RETRY_AFTER_S: Final = 0.5

_HTTP_OK: Final = 200
_HTTP_ERROR: Final = 500
_HTTP_CONFLICT: Final = 409
_HTTP_BAD_GATEWAY: Final = 502
_HTTP_UNAVAILABLE: Final = 503


class _WholeAnswer(NamedTuple):
    head: AnswerHead
    body: bytes


class _Chosen(NamedTuple):
    """Target of the next attempt, which may be sent."""

    target: Target
    permit: Permit


class _Attempts:
    """What happened to a request so far."""

    def __init__(self) -> None:
        self.tried: list[str] = []
        # The repeat budget has paid for the next attempt.
        self.is_paid = False
        # A target gave no permit.
        self.was_denied = False
        # Attempts that may have run, and that provably did not.
        self.sent = 0
        self.refused = 0
        # The best complete answer, when none was good.
        self.answer: _WholeAnswer | None = None
        # Streams: id of the last event that the caller got.
        self.last_event_id: int | None = None
        # No target can run the request any more.
        self.has_no_inputs = False
        # Seconds from receiving the request to sending the last attempt.
        self.sent_s: float | None = None
        # Seconds from the start of the last attempt to the head of its
        # answer and to its first event.
        self.head_s: float = 0
        self.first_event_s: float = 0
        self.reason = 'no target'


class Forwarder:
    """Attempts at targets, within the rules of the route."""

    def __init__(
        self,
        http: TargetHttp,
        wire: Wire,
        picker: TargetPicker,
        targets: TargetDirectory,
        gate: TargetGate,
        budget: RepeatBudget,
        clock: Clock,
    ) -> None:
        """Take the client, the translation and the decisions."""
        self._http = http
        self._wire = wire
        self._picker = picker
        self._targets = targets
        self._gate = gate
        self._budget = budget
        self._clock = clock

    async def forward(self, job: Job, reply: Reply) -> None:
        """Answer a request.

        Raises `RefusedError` for an answer of the gateway's own,
        `InputsGoneError` when nothing ran and the stages have to run
        again, and `AnswerBrokenError` when an answer that has begun cannot
        go on.
        """
        attempts = _Attempts()
        attempts.last_event_id = job.request.last_event_id
        while True:
            chosen = await self._next_target(job, attempts)
            if chosen is None:
                break
            await self._try_target(job, chosen, attempts, reply)
            if reply.is_complete:
                return
        await self._give_up(job, attempts, reply)

    async def _try_target(
        self,
        job: Job,
        chosen: _Chosen,
        attempts: _Attempts,
        reply: Reply,
    ) -> None:
        """Make an attempt and note what it proves."""
        target = chosen.target
        try:
            await self._attempt(job, chosen, attempts, reply)
        except NotRunError as error:
            attempts.refused += 1
            attempts.reason = str(error)
            self._log_attempt(job, target, attempts, 'not_run', error)
            if isinstance(error, InputsGoneError):
                if not attempts.sent:
                    raise
                attempts.has_no_inputs = True
            if isinstance(error, TargetGoneError):
                self._picker.avoid(target)
        except MayHaveRunError as error:
            attempts.sent += 1
            attempts.reason = str(error)
            self._picker.failed(target)
            self._log_attempt(job, target, attempts, 'lost', error)
        except asyncio.CancelledError:
            # The caller has left, or its time is over.
            self._log_attempt(job, target, attempts, 'cancelled', None)
            raise
        else:
            attempts.sent += 1

    async def _next_target(
        self,
        job: Job,
        attempts: _Attempts,
    ) -> _Chosen | None:
        """Return a target that may be sent the request now."""
        if not self._may_go_on(job, attempts):
            return None
        denied: list[str] = []
        while len(denied) < MAX_DENIED_PERMITS:
            target = self._pick(job, [*attempts.tried, *denied])
            if target is None:
                break
            if not self._may_repeat(job, attempts):
                return None
            permit = await self._gate.admit(target, job.request.id)
            if permit is not None:
                return self._begin(target, permit, attempts)
            denied.append(target.id)
        return await self._wait_for_permit(job, attempts)

    async def _wait_for_permit(
        self,
        job: Job,
        attempts: _Attempts,
    ) -> _Chosen | None:
        """Return the limited target that takes a request first, in time."""
        closed = [
            target
            for target in self._targets.accepting(job.service)
            if target.id not in attempts.tried
        ]
        if not closed:
            return None
        attempts.was_denied = True
        attempts.reason = f'{job.service}: all targets are limited'
        limits = self._targets.limits
        first = min(closed, key=lambda target: limits.closed_s(target.id))
        max_wait_s = self._left_s(job) * PERMIT_WAIT_SHARE
        if limits.closed_s(first.id) > max_wait_s:
            return None
        if not self._may_repeat(job, attempts):
            return None
        permit = await self._gate.admit(first, job.request.id, max_wait_s)
        if permit is None:
            return None
        return self._begin(first, permit, attempts)

    def _pick(self, job: Job, excluded: list[str]) -> Target | None:
        wish = Wish(job.request, job.input_bytes_by_data_centre, excluded)
        targets = self._targets.of_service(job.service)
        if job.route.kind is RouteKind.STREAM:
            return self._picker.pick_engine(targets, wish)
        return self._picker.pick(targets, wish)

    def _may_repeat(self, job: Job, attempts: _Attempts) -> bool:
        """Return whether the repeat budget pays for the next attempt."""
        if not attempts.tried or attempts.is_paid:
            return True
        attempts.is_paid = self._budget.take(job.service)
        if not attempts.is_paid:
            attempts.reason = f'{attempts.reason}; repeat budget spent'
        return attempts.is_paid

    def _begin(
        self,
        target: Target,
        permit: Permit,
        attempts: _Attempts,
    ) -> _Chosen:
        attempts.tried.append(target.id)
        attempts.is_paid = False
        return _Chosen(target, permit)

    def _may_go_on(self, job: Job, attempts: _Attempts) -> bool:
        if attempts.has_no_inputs or self._left_s(job) < _MIN_LEFT_S:
            return False
        if attempts.sent and not job.route.may_repeat:
            return False
        if attempts.sent >= job.route.max_attempts:
            return False
        return attempts.refused < MAX_REFUSED_ATTEMPTS

    def _left_s(self, job: Job) -> float:
        return job.deadline_at - self._clock.monotonic()

    async def _attempt(
        self,
        job: Job,
        chosen: _Chosen,
        attempts: _Attempts,
        reply: Reply,
    ) -> None:
        target = chosen.target
        headers = self._wire.target_headers(
            job.request,
            TargetHeaders(
                target,
                job.account,
                self._left_s(job),
                job.inputs,
                job.rank,
                attempts.last_event_id,
            ),
        )
        self._picker.began(target)
        fetched = DelayedCall(FETCH_S, job.on_inputs_fetched)
        began = self._clock.monotonic()
        attempts.sent_s = None

        def before_send() -> None:
            self._gate.check_before_send(target, chosen.permit)
            attempts.sent_s = self._clock.monotonic() - job.request.received_at
            fetched.schedule()

        try:
            async with self._http.send(
                target.address,
                job.request.method,
                job.request.raw_target,
                headers,
                job.body or None,
                before_send,
            ) as response:
                attempts.head_s = self._clock.monotonic() - began
                await self._take_answer(job, chosen, attempts, reply, response)
        finally:
            fetched.cancel()
            self._picker.ended(target)

    async def _take_answer(
        self,
        job: Job,
        chosen: _Chosen,
        attempts: _Attempts,
        reply: Reply,
        response: TargetResponse,
    ) -> None:
        target = chosen.target
        head = self._wire.read_answer(response.status, response.headers)
        if head.request_id == job.request.id:
            self._gate.note_answer(target, head, chosen.permit)
        if head.load is not None:
            self._picker.reported(target, head.load)
        if head.not_run or head.wrong_target:
            if head.status == _HTTP_CONFLICT:
                raise InputsGoneError(f'{target.id}: inputs are gone')
            if head.wrong_target:
                raise TargetGoneError(f'{target.id}: another target answers')
            raise NotRunError(f'{target.id}: status {head.status}')
        _check_head(job, target, head)
        is_stream = job.route.kind is RouteKind.STREAM
        if is_stream and head.status == _HTTP_OK:
            await self._relay(job, target, attempts, reply, response, head)
            return
        answer = _WholeAnswer(head, await response.body())
        if head.status < _HTTP_ERROR:
            self._picker.succeeded(target)
            await self._deliver(job, target, attempts, answer, reply)
            return
        attempts.answer = answer
        attempts.reason = f'{target.id}: status {head.status}'
        self._picker.failed(target)
        self._log_attempt(job, target, attempts, 'failed', None)

    async def _deliver(
        self,
        job: Job,
        target: Target,
        attempts: _Attempts,
        answer: _WholeAnswer,
        reply: Reply,
    ) -> None:
        if reply.has_begun:
            # A stream that is resumed cannot change its status.
            raise AnswerBrokenError(f'{target.id}: status on resumption')
        length = ('Content-Length', str(len(answer.body)))
        await reply.begin(answer.head.status, [*answer.head.headers, length])
        await reply.end(answer.body)
        self._log_attempt(job, target, attempts, 'answered', None)

    async def _relay(
        self,
        job: Job,
        target: Target,
        attempts: _Attempts,
        reply: Reply,
        response: TargetResponse,
        head: AnswerHead,
    ) -> None:
        splitter = EventSplitter()
        is_noted = False
        began = self._clock.monotonic() - attempts.head_s
        async for chunk in response.chunks():
            for event in splitter.feed(chunk):
                if not reply.has_begun:
                    await reply.begin(head.status, head.headers)
                if not is_noted:
                    is_noted = True
                    attempts.first_event_s = self._clock.monotonic() - began
                    job.on_inputs_fetched()
                    self._picker.note_prompt(target, job.request)
                await self._pass_on(attempts, reply, event)
        if splitter.has_partial:
            raise MayHaveRunError(f'{target.id}: stream ended inside an event')
        if not reply.has_begun:
            await reply.begin(head.status, head.headers)
        self._picker.succeeded(target)
        await reply.end()
        self._log_attempt(job, target, attempts, 'answered', None)

    async def _pass_on(
        self,
        attempts: _Attempts,
        reply: Reply,
        event: StreamEvent,
    ) -> None:
        last = attempts.last_event_id
        if event.id is not None and last is not None:
            if event.id <= last:
                return
            if event.id != last + 1:
                raise MayHaveRunError(f'event {event.id} follows {last}')
        if event.id is not None:
            attempts.last_event_id = event.id
        await reply.add(event.raw)

    async def _give_up(
        self,
        job: Job,
        attempts: _Attempts,
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
        if attempts.sent:
            # It may have run, so no status that denies it is true.
            raise RefusedError(
                Refusal(_HTTP_BAD_GATEWAY, REASON_TARGET_LOST, attempts.reason),
            )
        raise RefusedError(
            Refusal(
                _HTTP_UNAVAILABLE,
                REASON_TARGETS_LIMITED
                if attempts.was_denied
                else REASON_TARGETS_REFUSED,
                attempts.reason,
                self._retry_after_s(job.service),
            ),
        )

    def _retry_after_s(self, service: str) -> float:
        """Return when a target of the service takes requests again."""
        rest_s = self._targets.rest_left_s(service)
        return rest_s or self._targets.next_permit_s(service) or _RETRY_AFTER_S

    def _log_attempt(
        self,
        job: Job,
        target: Target,
        attempts: _Attempts,
        outcome: str,
        error: Exception | None,
    ) -> None:
        ATTEMPTS.labels(outcome).inc()
        log_event(
            'request.attempt',
            request=job.request.id,
            target=target.id,
            data_centre=target.data_centre,
            remote_bytes=remote_bytes(
                job.input_bytes_by_data_centre,
                target.data_centre,
            ),
            outcome=outcome,
            attempt=len(attempts.tried),
            since_received_s=self._clock.monotonic() - job.request.received_at,
            sent_s=attempts.sent_s,
            head_s=attempts.head_s,
            first_event_s=attempts.first_event_s,
            left_s=self._left_s(job),
            list_age_s=self._targets.age_s,
            error='' if error is None else str(error),
        )


def _check_head(job: Job, target: Target, head: AnswerHead) -> None:
    if head.request_id != job.request.id:
        raise MayHaveRunError(f'{target.id}: answer of another request')
    if not head.is_signed or head.is_encoded:
        raise MayHaveRunError(f'{target.id}: not an answer of the target')
