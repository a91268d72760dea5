"""Refuses requests whose prompts are in quarantine."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Final

from hornbeamline.gateway._types import CallerRequest, Refusal
from hornbeamline.gateway.const import REASON_PROMPT_QUARANTINED
from hornbeamline.gateway.errors import RefusedError
from hornbeamline.quarantine import (
    PartQuarantine,
    PartQuarantinedError,
    RequestGuard,
    content_of,
)

_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503


@contextlib.contextmanager
def guarded(
    quarantine: PartQuarantine, request: CallerRequest, body: bytes = b''
) -> Iterator[RequestGuard]:
    """Guard a request until its answer begins.

    Raises `RefusedError` if it is, or meanwhile gets, quarantined.
    """
    guard = quarantine.guard(
        request.id,
        [part.id for part in request.shared_parts],
        content_of(
            (request.credential or '').encode(),
            request.method.encode(),
            request.host.encode(),
            request.raw_target.encode(),
            body,
        ),
    )
    try:
        with guard:
            yield guard
    except PartQuarantinedError as error:
        raise RefusedError(_refusal(guard, error)) from error


def _refusal(guard: RequestGuard, error: PartQuarantinedError) -> Refusal:
    if guard.may_have_run:
        return Refusal(_BAD_GATEWAY, REASON_PROMPT_QUARANTINED, str(error))
    return Refusal(
        _UNAVAILABLE,
        REASON_PROMPT_QUARANTINED,
        str(error),
        error.left_s,
    )
