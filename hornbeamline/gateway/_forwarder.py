"""Sends a request to targets until there is an answer."""

from __future__ import annotations

import asyncio
from typing import Final, NamedTuple

from hornbeamline.gateway._events import EventSplitter, StreamEvent
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
from hornbeamline.telemetry import log_event

# An engine that has a free slot fetches the inputs of a request as soon as
# it has the request.
FETCH_S: Final = 0.1
# Attempts that targets refuse before the request is refused.
MAX_REFUSED_ATTEMPTS: Final = 3
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


class _Attempts:
    """What happened to a request so far."""

    def __init__(self) -> None:
        self.tried: list[str] = []
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
        budget: RepeatBudget,
        clock: Clock,
    ) -> None:
        """Take the client, the translation and the decisions."""
        self._http = http
        self._wire = wire
        self._picker = picker
        self._targets = targets
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
            target = self._next_target(job, attempts)
            if target is None:
                break
            await self._try_target(job, target, attempts, reply)
            if reply.is_complete:
                return
        await self._give_up(job, attempts, reply)

    async def _try_target(
        self,
        job: Job,
        target: Target,
        attempts: _Attempts,
        reply: Reply,
    ) -> None:
        """Make an attempt and note what it proves."""
        try:
            await self._attempt(job, target, attempts, reply)
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

    def _next_target(self, job: Job, attempts: _Attempts) -> Target | None:
        if not self._may_go_on(job, attempts):
            return None
        wish = Wish(
            job.request,
            job.input_bytes_by_data_centre,
            attempts.tried,
        )
        targets = self._targets.of_service(job.service)
        if job.route.kind is RouteKind.STREAM:
            target = self._picker.pick_engine(targets, wish)
        else:
            target = self._picker.pick(targets, wish)
        if target is None:
            return None
        is_first = not attempts.tried
        if not is_first and not self._budget.take(job.service):
            attempts.reason = f'{attempts.reason}; repeat budget spent'
            return None
        attempts.tried.append(target.id)
        return target

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
        target: Target,
        attempts: _Attempts,
        reply: Reply,
    ) -> None:
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
            self._targets.check_before_send(target)
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
                await self._take_answer(job, target, attempts, reply, response)
        finally:
            fetched.cancel()
            self._picker.ended(target)

    async def _take_answer(
        self,
        job: Job,
        target: Target,
        attempts: _Attempts,
        reply: Reply,
        response: TargetResponse,
    ) -> None:
        head = self._wire.read_answer(response.status, response.headers)
        self._targets.note_answer(target, head)
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
                REASON_TARGETS_REFUSED,
                attempts.reason,
                self._retry_after_s(job.service),
            ),
        )

    def _retry_after_s(self, service: str) -> float:
        """Return when a target of the service takes requests again."""
        return self._targets.rest_left_s(service) or _RETRY_AFTER_S

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
