"""HTTP resources of the caller interface."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable
from typing import TYPE_CHECKING, Annotated, Any, Final, NamedTuple

import falcon
from falcon.asgi import Request, Response
from msgspec import Meta, Struct

from hornbeamline.caller_api._asgi import wait_disconnect
from hornbeamline.caller_api._problems import ProblemError, write_outcome
from hornbeamline.caller_api._streaming import EventStream
from hornbeamline.caller_api.const import (
    HEADER_REQUEST_KEY,
    MAX_REQUEST_KEY_LENGTH,
    MEDIA_EVENTS,
)
from hornbeamline.decisions import RequestInfo
from hornbeamline.exceptions import LedgerError
from hornbeamline.helpers.clock import MS_PER_S
from hornbeamline.helpers.codec import CodecError, decode_json
from hornbeamline.inventory import Fleet
from hornbeamline.pipeline import (
    Outcome,
    OutcomeKind,
    PipelineRequest,
    TokenEvents,
)
from hornbeamline.telemetry import log_event, metrics_page

if TYPE_CHECKING:
    from hornbeamline.caller_api._app import CallerApi

MAX_PRIORITY: Final = 9


class SubmitBody(Struct, kw_only=True):
    """Body of a request to a pipeline."""

    input: dict[str, Any]
    deadline_ms: Annotated[int, Meta(ge=1)] | None = None
    stream: bool = False
    priority: Annotated[int, Meta(ge=0, le=MAX_PRIORITY)] | None = None


class Submission(NamedTuple):
    """A validated request."""

    request: PipelineRequest
    wants_stream: bool


class Health:
    """Liveness check for the load balancer."""

    async def on_get(self, _req: Any, resp: Response) -> None:
        """Answer that the process is running."""
        resp.text = 'ok\n'


class Readiness:
    """Readiness check for the load balancer."""

    def __init__(self, api: CallerApi) -> None:
        """Store the interface whose readiness is reported."""
        self._api = api

    async def on_get(self, _req: Any, resp: Response) -> None:
        """Answer whether the load balancer should send requests."""
        ready = self._api.is_ready
        resp.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        resp.text = 'ready\n' if ready else 'not ready\n'
        _close_when_draining(self._api, resp)


class Metrics:
    """Metrics in the Prometheus text format."""

    async def on_get(self, _req: Any, resp: Response) -> None:
        """Answer with all metrics."""
        resp.content_type = 'text/plain; version=0.0.4'
        resp.data = metrics_page()


class Lookup:
    """Look-up of the outcomes of earlier requests by key."""

    def __init__(self, api: CallerApi) -> None:
        """Store the interface that the resource belongs to."""
        self._api = api

    async def on_get(self, req: Request, resp: Response, key: str) -> None:
        """Answer with the outcome of an earlier request."""
        account, _ = self._api.authenticate(req)
        try:
            outcome = await self._api.executor.lookup(account, key)
        except LedgerError as error:
            raise ProblemError(
                falcon.HTTP_503,
                'ledger_unavailable',
                'the outcome can not be read at the moment',
            ) from error
        if outcome is None:
            raise ProblemError(falcon.HTTP_404, 'unknown_key')
        write_outcome(resp, '', outcome)
        # The look-up succeeded, whichever outcome it returns.
        resp.status = falcon.HTTP_200
        _close_when_draining(self._api, resp)


class Requests:
    """Requests to pipelines."""

    def __init__(self, api: CallerApi) -> None:
        """Store the interface that the resource belongs to."""
        self._api = api

    async def on_post(
        self,
        req: Request,
        resp: Response,
        pipeline: str,
    ) -> None:
        """Run a request and answer with its outcome."""
        account, _ = self._api.authenticate(req)
        fleet = self._api.current_fleet()
        if fleet is None:
            raise ProblemError(falcon.HTTP_503, 'no_lease')
        if pipeline not in fleet.pipelines_by_name:
            raise ProblemError(falcon.HTTP_404, 'unknown_pipeline')
        _close_when_draining(self._api, resp)
        refusal = self._api.refusal()
        if refusal is not None:
            request = self._build_request(req, fleet, account, pipeline)
            outcome = await self._api.executor.refuse(request, refusal)
            write_outcome(resp, request.info.request_id, outcome)
            return
        end_request = self._api.begin_request()
        try:
            submission = await self._read_submission(
                req, fleet, account, pipeline
            )
            await self._run(req, resp, submission, end_request)
        except BaseException:
            end_request()
            raise

    async def _run(
        self,
        req: Request,
        resp: Response,
        submission: Submission,
        end_request: Callable[[], None],
    ) -> None:
        events = TokenEvents()
        request = submission.request
        running = asyncio.create_task(
            self._api.executor.run(
                request,
                events if submission.wants_stream else None,
            ),
        )
        disconnect = asyncio.create_task(wait_disconnect(req.scope))

        def cancel_on_disconnect(task: asyncio.Task[None]) -> None:
            if not task.cancelled():
                running.cancel()

        def on_finished(task: asyncio.Task[Outcome]) -> None:
            disconnect.cancel()
            _log_end(request, task)

        disconnect.add_done_callback(cancel_on_disconnect)
        running.add_done_callback(on_finished)
        if submission.wants_stream:
            stream = EventStream(request.info.request_id, running, events)
            try:
                await stream.wait_first_event()
            except BaseException:
                stream.close()
                raise
            if not running.done() or _is_answered(running):
                # falcon always closes the generator, which ends the request.
                resp.content_type = MEDIA_EVENTS
                resp.set_header('Cache-Control', 'no-store')
                resp.stream = _stream_parts(stream, end_request)
                return
        try:
            await asyncio.wait((running,))
        finally:
            running.cancel()
            end_request()
        if not running.cancelled():
            write_outcome(resp, request.info.request_id, running.result())

    async def _read_submission(
        self,
        req: Request,
        fleet: Fleet,
        account: str,
        pipeline: str,
    ) -> Submission:
        body = await self._read_body(req)
        request = self._build_request(req, fleet, account, pipeline, body)
        return Submission(request, body.stream)

    def _build_request(
        self,
        req: Request,
        fleet: Fleet,
        account: str,
        pipeline: str,
        body: SubmitBody | None = None,
    ) -> PipelineRequest:
        body = body or SubmitBody(input={})
        limit_ms = fleet.pipelines_by_name[pipeline].deadline_ms
        deadline_ms = min(body.deadline_ms or limit_ms, limit_ms)
        priority = body.priority
        if priority is None:
            priority = fleet.accounts_by_name[account].priority
        info = RequestInfo(
            uuid.uuid4().hex,
            account,
            pipeline,
            self._api.clock.monotonic() + deadline_ms / MS_PER_S,
            priority,
        )
        request_key = _request_key(req, fleet, pipeline)
        return PipelineRequest(
            info,
            request_key,
            body.input,
            fleet.accounts_by_name[account].credential_sha256,
        )

    async def _read_body(self, req: Request) -> SubmitBody:
        settings = self._api.settings
        if (req.content_length or 0) > settings.max_body_bytes:
            raise _too_large()
        try:
            async with asyncio.timeout(settings.body_timeout_s):
                body = await _read_bounded(req, settings.max_body_bytes)
        except TimeoutError as error:
            raise ProblemError(
                falcon.HTTP_408,
                'body_timeout',
                closes=True,
            ) from error
        try:
            return decode_json(body, SubmitBody)
        except CodecError as error:
            raise ProblemError(
                falcon.HTTP_400,
                'invalid_body',
                str(error),
            ) from error


async def _stream_parts(
    stream: EventStream, end_request: Callable[[], None]
) -> Any:
    try:
        async for part in stream.parts():
            yield part
    finally:
        stream.close()
        end_request()


async def _read_bounded(req: Request, limit: int) -> bytes:
    chunks: list[bytes] = []
    size = 0
    async for chunk in req.stream:
        size += len(chunk)
        if size > limit:
            raise _too_large()
        chunks.append(chunk)
    return b''.join(chunks)


def _is_answered(running: asyncio.Task[Outcome]) -> bool:
    if running.cancelled() or running.exception() is not None:
        return False
    return running.result().kind is OutcomeKind.answered


def _too_large() -> ProblemError:
    return ProblemError(falcon.HTTP_413, 'body_too_large', closes=True)


def _close_when_draining(api: CallerApi, resp: Response) -> None:
    # The caller's next request should go to another host.
    if api.is_draining:
        resp.set_header('Connection', 'close')


def _request_key(req: Request, fleet: Fleet, pipeline: str) -> str:
    request_key = req.get_header(HEADER_REQUEST_KEY) or ''
    if len(request_key) > MAX_REQUEST_KEY_LENGTH:
        raise ProblemError(falcon.HTTP_400, 'request_key_too_long')
    if not request_key and not fleet.may_repeat(pipeline):
        raise ProblemError(falcon.HTTP_400, 'request_key_missing')
    return request_key


def _log_end(request: PipelineRequest, task: asyncio.Task[Outcome]) -> None:
    outcome, reason = 'caller_gone', ''
    if not task.cancelled():
        error = task.exception()
        if error is None:
            outcome, reason = task.result().kind.value, task.result().reason
        else:
            outcome, reason = 'failed', repr(error)
    log_event(
        'request.ended',
        request=request.info.request_id,
        account=request.info.account,
        pipeline=request.info.pipeline,
        outcome=outcome,
        reason=reason,
    )
