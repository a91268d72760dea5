"""Routes of the caller interface."""

from __future__ import annotations

import hashlib
import math
import uuid
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final, NotRequired, TypedDict

import falcon
from falcon.asgi import App, Request, Response

from hornbeamline.caller_api.const import (
    HEADER_REQUEST_KEY,
    MAX_REQUEST_KEY_LENGTH,
)
from hornbeamline.decisions import RequestInfo
from hornbeamline.helpers.clock import MS_PER_S, Clock
from hornbeamline.helpers.codec import CodecError, decode_json, encode_json
from hornbeamline.inventory import Account, CallerSettings, Fleet
from hornbeamline.pipeline import (
    Outcome,
    OutcomeKind,
    PipelineExecutor,
    PipelineRequest,
)
from hornbeamline.telemetry import log_event, metrics_page

_STATUS_BY_KIND: Final = MappingProxyType(
    {
        OutcomeKind.answered: falcon.HTTP_200,
        OutcomeKind.not_run: falcon.HTTP_503,
        OutcomeKind.unknown: falcon.HTTP_504,
    }
)


class SubmitBody(TypedDict):
    """Body of a request to a pipeline."""

    input: dict[str, Any]
    deadline_ms: NotRequired[int]
    stream: NotRequired[bool]
    priority: NotRequired[int]


class CallerApi:
    """Builds the ASGI application of the caller interface."""

    def __init__(
        self,
        settings: CallerSettings,
        fleet_of: Callable[[], Fleet | None],
        executor: PipelineExecutor,
        is_ready: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Take settings, configuration, executor, readiness and clock."""
        self.settings = settings
        self.fleet_of = fleet_of
        self.executor = executor
        self.is_ready = is_ready
        self.clock = clock
        self.in_progress = 0

    def build(self) -> App[Request, Response]:
        """Return the ASGI application."""
        app: App[Request, Response] = App()
        app.add_route('/healthz', _Health())
        app.add_route('/readyz', _Readiness(self))
        app.add_route('/metrics', _Metrics())
        app.add_route('/v1/pipelines/{pipeline}/requests', _Requests(self))
        return app

    def authenticate(self, authorization: str | None) -> tuple[str, Account]:
        """Return the client account of a bearer credential."""
        fleet = self.fleet_of()
        scheme, _, credential = (authorization or '').partition(' ')
        if fleet is not None and scheme.lower() == 'bearer':
            digest = hashlib.sha256(credential.encode()).hexdigest()
            for name, account in fleet.accounts_by_name.items():
                if account.credential_sha256 == digest:
                    return name, account
        raise falcon.HTTPUnauthorized(title='unknown credential')


class _Health:
    async def on_get(self, _req: Any, resp: Response) -> None:
        resp.text = 'ok\n'


class _Readiness:
    def __init__(self, api: CallerApi) -> None:
        self._api = api

    async def on_get(self, _req: Any, resp: Response) -> None:
        ready = self._api.is_ready()
        resp.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        resp.text = 'ready\n' if ready else 'not ready\n'


class _Metrics:
    async def on_get(self, _req: Any, resp: Response) -> None:
        resp.content_type = 'text/plain; version=0.0.4'
        resp.data = metrics_page()


class _Requests:
    def __init__(self, api: CallerApi) -> None:
        self._api = api

    async def on_post(
        self,
        req: Request,
        resp: Response,
        pipeline: str,
    ) -> None:
        account, _ = self._api.authenticate(req.get_header('Authorization'))
        fleet = self._api.fleet_of()
        if fleet is None or pipeline not in fleet.pipelines_by_name:
            raise falcon.HTTPNotFound(title='unknown pipeline')
        body = await self._read_body(req)
        request_key = _request_key(req, fleet, pipeline)
        deadline_ms = min(
            body.get(
                'deadline_ms', fleet.pipelines_by_name[pipeline].deadline_ms
            ),
            fleet.pipelines_by_name[pipeline].deadline_ms,
        )
        info = RequestInfo(
            uuid.uuid4().hex,
            account,
            pipeline,
            self._api.clock.monotonic() + deadline_ms / MS_PER_S,
            body.get('priority', 0),
        )
        outcome = await self._api.executor.run(
            PipelineRequest(info, request_key, body['input']),
        )
        log_event(
            'request.ended',
            request=info.request_id,
            account=account,
            pipeline=pipeline,
            outcome=outcome.kind.value,
            reason=outcome.reason,
        )
        _write_outcome(resp, info.request_id, outcome)

    async def _read_body(self, req: Request) -> SubmitBody:
        if (req.content_length or 0) > self._api.settings.max_body_bytes:
            raise falcon.HTTPContentTooLarge(title='body too large')
        content = await req.stream.read()
        try:
            return decode_json(content, SubmitBody)
        except CodecError as error:
            raise falcon.HTTPBadRequest(
                title='invalid body',
                description=str(error),
            ) from error


def _request_key(
    req: Request,
    fleet: Fleet,
    pipeline: str,
) -> str:
    request_key = req.get_header(HEADER_REQUEST_KEY) or ''
    if len(request_key) > MAX_REQUEST_KEY_LENGTH:
        raise falcon.HTTPBadRequest(title='request key too long')
    if not request_key and not fleet.may_repeat(pipeline):
        raise falcon.HTTPBadRequest(title='this pipeline needs a request key')
    return request_key


def _write_outcome(
    resp: Response,
    request_id: str,
    outcome: Outcome,
) -> None:
    resp.status = _STATUS_BY_KIND[outcome.kind]
    if outcome.kind is OutcomeKind.answered:
        resp.content_type = falcon.MEDIA_JSON
        resp.data = encode_json(
            {
                'outcome': outcome.kind.value,
                'request_id': request_id,
                'output': outcome.output,
                'costs': [cost._asdict() for cost in outcome.costs],
            }
        )
        return
    if outcome.kind is OutcomeKind.not_run:
        resp.set_header('Retry-After', str(math.ceil(outcome.retry_after_s)))
    resp.content_type = 'application/problem+json'
    resp.data = encode_json(
        {
            'type': f'urn:hornbeamline:{outcome.kind.value}',
            'title': outcome.reason,
            'outcome': outcome.kind.value,
            'reason': outcome.reason,
            'request_id': request_id,
            'retry_after_s': outcome.retry_after_s,
        }
    )
