"""Checks of the answer to an attempt, before it is relayed."""

from __future__ import annotations

from typing import Final

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
_HTTP_CONFLICT: Final = 409


def check_framing(target: Target, response: TargetResponse) -> None:
    """Raise `MayHaveRunError` if only the connection shows the end."""
    names = {name.lower() for name, _ in response.headers}
    if not names & _FRAMING_HEADERS:
        raise MayHaveRunError(f'{target.id}: connection ended without an event')


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
