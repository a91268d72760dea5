"""Answers to callers for outcomes and errors."""

from __future__ import annotations

import math
from types import MappingProxyType
from typing import Any, Final

import falcon
from falcon.asgi import Request, Response

from hornbeamline.caller_api.const import (
    ATTR_OUTCOME,
    ATTR_REASON,
    ATTR_REQUEST_ID,
    HEADER_REQUEST_KEY,
    MEDIA_PROBLEM,
)
from hornbeamline.helpers.codec import encode_json
from hornbeamline.pipeline import Outcome, OutcomeKind
from hornbeamline.telemetry import log_event

_STATUS_BY_KIND: Final = MappingProxyType(
    {
        OutcomeKind.answered: falcon.HTTP_200,
        OutcomeKind.not_run: falcon.HTTP_503,
        OutcomeKind.unknown: falcon.HTTP_504,
    }
)
_STATUS_BY_REASON: Final = MappingProxyType(
    {
        'key_reused': falcon.HTTP_409,
        'key_expired': falcon.HTTP_409,
        'rate_limited': falcon.HTTP_429,
    }
)
_FIRST_SERVER_ERROR: Final = 500
_RETRY_STATUSES: Final = frozenset((falcon.HTTP_429, falcon.HTTP_503))


class ProblemError(falcon.HTTPError):
    """A request was refused before it reached the pipeline."""

    def __init__(
        self,
        status: str,
        reason: str,
        detail: str = '',
        *,
        closes: bool = False,
    ) -> None:
        """Create the error.

        `closes` makes the answer close the connection, for requests whose
        body was not read to its end.
        """
        headers = {'Connection': 'close'} if closes else {}
        if status == falcon.HTTP_503:
            headers['Retry-After'] = '1'
        super().__init__(
            status,
            title=reason,
            description=detail,
            headers=headers,
        )


def answer_body(request_id: str, outcome: Outcome) -> dict[str, Any]:
    """Return the JSON body for an answered request."""
    body = {
        ATTR_OUTCOME: outcome.kind.value,
        ATTR_REQUEST_ID: request_id,
        'output': outcome.output,
        'costs': [cost._asdict() for cost in outcome.costs],
    }
    if outcome.output is None:
        body['output_sha256'] = outcome.output_digest
    return body


def problem_body(request_id: str, outcome: Outcome) -> dict[str, Any]:
    """Return the problem body for a request without an answer."""
    body = {
        'type': f'urn:hornbeamline:{outcome.kind.value}',
        'title': outcome.reason,
        'status': int(status_of(outcome)[:3]),
        ATTR_OUTCOME: outcome.kind.value,
        ATTR_REASON: outcome.reason,
        ATTR_REQUEST_ID: request_id,
        'costs': [cost._asdict() for cost in outcome.costs],
    }
    if outcome.retry_after_s or outcome.kind is OutcomeKind.not_run:
        body['retry_after_s'] = outcome.retry_after_s
    if outcome.output is not None:
        body['output'] = outcome.output
    return body


def status_of(outcome: Outcome) -> str:
    """Return the status line of an outcome."""
    if outcome.kind is OutcomeKind.answered:
        return falcon.HTTP_200
    by_kind = _STATUS_BY_KIND[outcome.kind]
    return _STATUS_BY_REASON.get(outcome.reason, by_kind)


def write_outcome(resp: Response, request_id: str, outcome: Outcome) -> None:
    """Answer with the outcome of a request."""
    resp.status = status_of(outcome)
    if outcome.kind is OutcomeKind.answered:
        resp.content_type = falcon.MEDIA_JSON
        resp.data = encode_json(answer_body(request_id, outcome))
        return
    if resp.status in _RETRY_STATUSES or outcome.retry_after_s:
        wait_s = max(1, math.ceil(outcome.retry_after_s))
        resp.set_header('Retry-After', str(wait_s))
    resp.content_type = MEDIA_PROBLEM
    resp.data = encode_json(problem_body(request_id, outcome))


def serialize_error(
    req: Request,
    resp: Response,
    error: falcon.HTTPError,
) -> None:
    """Answer with a problem body for an HTTP error."""
    reason = error.title or ''
    if not isinstance(error, ProblemError):
        reason = reason.split(' ', 1)[-1].lower().replace(' ', '_')
    resp.content_type = MEDIA_PROBLEM
    body = error_body(error.status_code, reason, error)
    if req.method != 'POST' or req.get_header(HEADER_REQUEST_KEY):
        # A look-up has no outcome of its own, and an earlier request with
        # the same key may have run.
        body.pop(ATTR_OUTCOME)
        if req.method == 'POST' and error.status_code >= _FIRST_SERVER_ERROR:
            body[ATTR_OUTCOME] = OutcomeKind.unknown.value
    resp.data = encode_json(body)


def error_body(
    status: int,
    reason: str,
    error: falcon.HTTPError | None = None,
) -> dict[str, Any]:
    """Return the problem body for a request that was not started.

    The outcome is `not_run`; a caller of this function that cannot prove
    it removes the outcome.
    """
    detail = None if error is None else error.description
    return {
        'type': 'urn:hornbeamline:refused',
        'title': reason,
        'status': status,
        'detail': detail or '',
        ATTR_OUTCOME: OutcomeKind.not_run.value,
        ATTR_REASON: reason,
    }


async def handle_unexpected_error(
    req: Request,
    resp: Response,
    error: Exception,
    _params: Any,
) -> None:
    """Answer 500 after an unexpected error; the request may have run."""
    log_event('caller_api.failed', path=req.path, error=repr(error))
    resp.status = falcon.HTTP_500
    resp.content_type = MEDIA_PROBLEM
    failure = Outcome(OutcomeKind.unknown, None, 'internal_error')
    resp.data = encode_json({**problem_body('', failure), 'status': 500})
