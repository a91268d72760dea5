"""Checks of the answer to an attempt, before it is relayed."""

from __future__ import annotations

import re
from typing import Final

from hornbeamline.gateway._events import StreamEvent
from hornbeamline.gateway._http import TargetResponse
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._types import AnswerHead, Target
from hornbeamline.gateway.errors import (
    InputsGoneError,
    MayHaveRunError,
    NotRunError,
    TargetGoneError,
)

_FRAMING_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))
_FINAL_STATUSES: Final = range(200, 600)
# Characters that no field may hold; they would end the caller's connection.
_CONTROL_CHARACTER: Final = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')
_HTTP_CONFLICT: Final = 409
_HTTP_ERROR: Final = 500
# By these statuses callers learn that a request has not run and will not.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


def check_framing(target: Target, response: TargetResponse) -> None:
    """Raise `MayHaveRunError` if only the connection shows the end.

    An answer without an event ends so if its target ended after the head.
    """
    names = {name.lower() for name, _ in response.headers}
    if not names & _FRAMING_HEADERS:
        raise MayHaveRunError(f'{target.id}: connection ended without an event')


def check_form(target: Target, head: AnswerHead) -> None:
    """Raise `MayHaveRunError` if a head is no head of a final response."""
    if head.status not in _FINAL_STATUSES:
        raise MayHaveRunError(f'{target.id}: status {head.status} is not final')
    for name, text in head.headers:
        if _CONTROL_CHARACTER.search(text):
            raise MayHaveRunError(
                f'{target.id}: control character in the field {name!r}'
            )


def check_not_run(job: Job, target: Target, head: AnswerHead) -> None:
    """Raise `NotRunError` if the target proves that it did not run a request.

    A refusal with the id of another request proves nothing: a faulty target
    may repeat an earlier one. Without an id it belongs to this request, the
    only one on its connection.
    """
    is_refusal = head.not_run or head.wrong_target
    if not is_refusal or head.request_id not in {'', job.request.id}:
        return
    if head.status == _HTTP_CONFLICT:
        raise InputsGoneError(f'{target.id}: inputs of the request are gone')
    if head.wrong_target:
        raise TargetGoneError(f'{target.id}: address belongs to another target')
    raise NotRunError(
        f'{target.id}: did not run the request, status {head.status}'
    )


def check_head(job: Job, target: Target, head: AnswerHead) -> None:
    """Raise `MayHaveRunError` unless the answer is the target's own."""
    if head.request_id != job.request.id:
        raise MayHaveRunError(
            f'{target.id}: response belongs to another request'
        )
    if not head.is_signed or head.is_encoded:
        raise MayHaveRunError(
            f'{target.id}: response was not produced by the target'
        )


def is_unproven_refusal(head: AnswerHead) -> bool:
    """Return whether a status says that a request did not run, without proof.

    Assumes that `check_not_run` has passed. The target may have run the
    request before it failed, so callers must not get this status.
    """
    return head.status in _NOT_RUN_STATUSES


def is_failure(head: AnswerHead) -> bool:
    """Return whether an answer is a failure of the target."""
    return head.status >= _HTTP_ERROR or is_unproven_refusal(head)


def media_type_of(head: AnswerHead) -> str:
    """Return the media type of an answer in lower case, '' without one."""
    for name, text in head.headers:
        if name.lower() == 'content-type':
            return text.partition(';')[0].strip().lower()
    return ''


def check_continuation(
    target: Target, head: AnswerHead, media_type: str
) -> None:
    """Raise `MayHaveRunError` unless an answer can go on with a stream.

    `media_type` is that of the answer with which the stream began. A target
    may describe an error in an answer with status 200.
    """
    found = media_type_of(head)
    if found != media_type:
        raise MayHaveRunError(
            f'{target.id}: continued a stream of type {media_type!r} '
            f'with an answer of type {found!r}'
        )


def check_event(event: StreamEvent, *, is_unproven: bool) -> None:
    """Raise `MayHaveRunError` if an event does not belong to a continuation.

    `is_unproven` says that no event with an id has come in the answer that
    goes on with a stream. Comments have no ids.
    """
    if is_unproven and event.id is None and not event.is_comment:
        raise MayHaveRunError('event without an id in a continued stream')
