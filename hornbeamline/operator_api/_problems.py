"""Problem documents for errors of the operator interface."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

import falcon
from falcon.asgi import App, Request, Response

from hornbeamline.exceptions import ReplicatedLogError
from hornbeamline.helpers.codec import encode_json
from hornbeamline.operator_api.const import (
    MEDIA_PROBLEM,
    REASON_NOT_LEADER,
    REASON_REFUSED,
    REASON_UNAVAILABLE,
    REASON_UNKNOWN,
)
from hornbeamline.replog import (
    NotLeaderError,
    ProposalUnknownError,
    VoterChangeRefusedError,
)

_RETRY_AFTER_S: Final = '1'


def write_problem(
    resp: Response,
    status: str,
    reason: str,
    detail: str = '',
    **fields: Any,
) -> None:
    """Answer with a problem document, extended by `fields`."""
    resp.status = status
    resp.content_type = MEDIA_PROBLEM
    resp.data = encode_json(
        {
            'type': f'urn:hornbeamline:{reason}',
            'title': reason,
            'status': int(status.split(' ', 1)[0]),
            'reason': reason,
            'detail': detail,
            **fields,
        },
    )


def add_error_handlers(
    app: App[Request, Response],
    addresses_by_name: Mapping[str, str],
) -> None:
    """Register handlers that turn errors into problem documents.

    `addresses_by_name` supplies the leader's address for status 421.
    """

    async def on_not_leader(
        _req: Request,
        resp: Response,
        error: NotLeaderError,
        _params: dict[str, Any],
    ) -> None:
        leader = error.leader or ''
        write_problem(
            resp,
            falcon.HTTP_421,
            REASON_NOT_LEADER,
            str(error),
            leader=leader,
            leader_address=addresses_by_name.get(leader, ''),
        )

    app.add_error_handler(ReplicatedLogError, _on_unavailable)
    app.add_error_handler(ProposalUnknownError, _on_unknown)
    app.add_error_handler(VoterChangeRefusedError, _on_refused)
    app.add_error_handler(NotLeaderError, on_not_leader)
    app.set_error_serializer(_serialize)


def _serialize(_req: Request, resp: Response, error: falcon.HTTPError) -> None:
    title = error.title or str(error.status)
    reason = title.lower().replace(' ', '_')
    status = falcon.code_to_http_status(error.status)
    write_problem(resp, status, reason, error.description or '')


async def _on_unavailable(
    _req: Request,
    resp: Response,
    error: ReplicatedLogError,
    _params: dict[str, Any],
) -> None:
    resp.set_header('Retry-After', _RETRY_AFTER_S)
    write_problem(resp, falcon.HTTP_503, REASON_UNAVAILABLE, str(error))


async def _on_unknown(
    _req: Request,
    resp: Response,
    error: ProposalUnknownError,
    _params: dict[str, Any],
) -> None:
    resp.set_header('Retry-After', _RETRY_AFTER_S)
    write_problem(resp, falcon.HTTP_503, REASON_UNKNOWN, str(error))


async def _on_refused(
    _req: Request,
    resp: Response,
    error: VoterChangeRefusedError,
    _params: dict[str, Any],
) -> None:
    write_problem(resp, falcon.HTTP_409, REASON_REFUSED, str(error))
