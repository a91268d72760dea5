"""Relays the stream of one attempt to the caller."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterator
from typing import Final, NamedTuple

from hornbeamline.gateway._answer_checks import (
    check_continuation,
    check_event,
    check_framing,
    media_type_of,
)
from hornbeamline.gateway._attempts import Attempts
from hornbeamline.gateway._events import EventSplitter, StreamEvent
from hornbeamline.gateway._http import TargetResponse
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._picker import TargetPicker
from hornbeamline.gateway._reply import Reply
from hornbeamline.gateway._types import AnswerHead, Target
from hornbeamline.gateway.errors import MayHaveRunError
from hornbeamline.helpers.clock import Clock

# Bytes of comments, empty lines and repeated events between two events that
# are new. Heartbeats of a minute take less than a hundredth of this.
MAX_IDLE_BYTES: Final = 65_536
# Events of an answer beyond one for each output token that the caller allows.
SPARE_EVENTS: Final = 1000
# Work on a stream after which other tasks of the event loop run: a target that
# sends without a pause would keep them waiting otherwise.
TURN_BYTES: Final = 16_384
TURN_EVENTS: Final = 32


class RelayedAttempt(NamedTuple):
    """An attempt whose answer is a stream, and the reply that it goes to."""

    job: Job
    target: Target
    attempts: Attempts
    reply: Reply


class StreamRelay:
    """Relay a stream event by event, within bounds for its target."""

    def __init__(
        self, attempt: RelayedAttempt, picker: TargetPicker, clock: Clock
    ) -> None:
        """Prepare the relay of an attempt whose head has been received."""
        self._job = attempt.job
        self._target = attempt.target
        self._attempts = attempt.attempts
        self._reply = attempt.reply
        self._picker = picker
        self._clock = clock
        self._splitter = EventSplitter()
        self._started_at = clock.monotonic() - (self._attempts.head_s or 0)
        self._idle_bytes = 0
        self._events = 0
        allowed = self._job.request.max_output_tokens
        self._max_events = allowed + SPARE_EVENTS if allowed > 0 else math.inf

    async def run(self, response: TargetResponse, head: AnswerHead) -> None:
        """Relay the whole stream.

        Raises `MayHaveRunError` if it breaks off or is not a stream of events.
        """
        attempts = self._attempts
        reply = self._reply
        attempts.is_unproven_continuation = reply.has_begun
        if reply.has_begun:
            check_continuation(self._target, head, attempts.media_type)
        else:
            attempts.media_type = media_type_of(head)
        async for chunk in response.chunks():
            for part in _parts_of(chunk):
                await self._relay_part(part, head)
        if self._splitter.has_partial:
            raise MayHaveRunError(
                f'{self._target.id}: stream ended within an event'
            )
        if attempts.first_event_s is None:
            check_framing(self._target, response)
        if not reply.has_begun:
            await reply.begin(head.status, head.headers)
        self._picker.record_success(self._target, attempts.work)
        self._job.guard.answer_completed()
        await reply.end()

    async def _relay_part(self, part: bytes, head: AnswerHead) -> None:
        """Relay the events that a part completes; let other tasks run."""
        for number, event in enumerate(self._splitter.feed(part), start=1):
            await self._relay_event(event, head)
            if number % TURN_EVENTS == 0:
                await asyncio.sleep(0)
        if len(part) == TURN_BYTES:
            await asyncio.sleep(0)

    async def _relay_event(self, event: StreamEvent, head: AnswerHead) -> None:
        attempts = self._attempts
        check_event(event, is_unproven=attempts.is_unproven_continuation)
        is_repeated = _is_repeated(event, attempts.last_event_id)
        self._check_bounds(event, is_idle=event.is_comment or is_repeated)
        if not self._reply.has_begun:
            await self._job.binding.bind(self._target)
            await self._reply.begin(head.status, head.headers)
        if not event.is_comment:
            self._record_event()
        if is_repeated:
            return
        if event.id is not None:
            attempts.last_event_id = event.id
        await self._reply.add(event.raw)

    def _check_bounds(self, event: StreamEvent, *, is_idle: bool) -> None:
        """Raise `MayHaveRunError` if no sound target sends so much."""
        if is_idle:
            self._idle_bytes += len(event.raw)
        else:
            self._idle_bytes = 0
            self._events += 1
        if self._idle_bytes > MAX_IDLE_BYTES:
            raise MayHaveRunError(
                f'{self._target.id}: {self._idle_bytes} bytes without an event'
            )
        if self._events > self._max_events:
            raise MayHaveRunError(
                f'{self._target.id}: more than {self._max_events} events'
            )

    def _record_event(self) -> None:
        """Record that an answer has begun; later ones show its progress."""
        attempts = self._attempts
        attempts.is_unproven_continuation = False
        if attempts.work is not None:
            self._picker.beliefs.progressed(attempts.work)
        if attempts.first_event_s is not None:
            return
        attempts.begun_at = self._clock.monotonic()
        attempts.first_event_s = attempts.begun_at - self._started_at
        self._job.guard.answer_begun(attempts.timing_at(self._target.service))
        self._job.on_inputs_fetched()
        self._picker.record_prompt(self._target, self._job.request)


def _parts_of(chunk: bytes) -> Iterator[bytes]:
    for start in range(0, len(chunk), TURN_BYTES):
        yield chunk[start : start + TURN_BYTES]


def _is_repeated(event: StreamEvent, last: int | None) -> bool:
    """Return whether the caller has an event already.

    Raises `MayHaveRunError` if events before it are missing.
    """
    if event.id is None or last is None:
        return False
    if event.id > last + 1:
        raise MayHaveRunError(
            f'gap in the stream: event {event.id} follows {last}'
        )
    return event.id <= last
