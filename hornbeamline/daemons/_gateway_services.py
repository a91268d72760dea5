"""Stage calls, drain and readiness of a gateway entry process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Final

from hornbeamline.batching import (
    BatchingService,
    BatchTarget,
    CallDeferredError,
    CallLostError,
    CallRefusedError,
    Piece,
    PieceResult,
)
from hornbeamline.clients import ClientBudget
from hornbeamline.directory import DirectoryMember
from hornbeamline.gateway import (
    GatewayApp,
    MayHaveRunError,
    NotRunError,
    Target,
    TargetDirectory,
    TargetGate,
    TargetHttp,
    Wire,
)
from hornbeamline.helpers.clock import Clock
from hornbeamline.origins import StreamOrigins
from hornbeamline.origins.const import MAX_LIST_AGE_S
from hornbeamline.peering import Peering
from hornbeamline.telemetry import log_event

# The load balancer stops sending requests after two failed checks, which
# are one second apart.
BALANCER_WAIT_S: Final = 2.3
_DRAIN_POLL_S: Final = 0.1
# Time for which the listener of the callers waits for open responses once the
# drain has ended.
CALLERS_STOP_TIMEOUT_S: Final = 1.0
# Reserved for closing connections and files after the drain.
_STOP_MARGIN_S: Final = 0.6
_HTTP_OK: Final = 200


def open_origins(
    peering: Peering,
    clock: Clock,
    member: DirectoryMember,
    targets: TargetDirectory,
) -> StreamOrigins:
    """Return the origins of streams, which follow the list of targets."""
    origins = StreamOrigins(peering, clock, member.answering_controls)

    def note_list() -> None:
        if targets.age_s > MAX_LIST_AGE_S:
            # A list that was read long ago shows nothing about the versions.
            return
        origins.note_listed(targets.versions_by_service(), targets.age_s)

    targets.on_list = note_list
    return origins


class StageCaller:
    """Sends pieces of a stage to a target."""

    def __init__(
        self,
        http: TargetHttp,
        wire: Wire,
        gate: TargetGate,
    ) -> None:
        """Initialize with the HTTP client, the wire adapter and the gate."""
        self._http = http
        self._wire = wire
        self._gate = gate

    async def __call__(
        self,
        target: BatchTarget,
        pieces: Sequence[Piece],
        left_s: Sequence[float],
        on_sent: Callable[[], None],
    ) -> list[PieceResult]:
        """Call a target and return one result per piece, in order.

        `left_s` is the time until the deadline of each piece, in seconds.
        `on_sent` is called once the connection is open.

        Raises `CallDeferredError` without a permit for the call,
        `CallRefusedError` if the target ran nothing, and `CallLostError`
        if the pieces may have run.
        """
        assert isinstance(target, Target)
        permit = await self._gate.admit(target)
        if permit is None:
            raise CallDeferredError(f'{target.id}: no permit')
        path, headers, body = self._wire.stage_call(target, pieces, left_s)

        def before_send() -> None:
            self._gate.check_before_send(target, permit)
            on_sent()

        try:
            response, answer_body = await self._http.fetch(
                target.address,
                'POST',
                path,
                headers,
                body,
                before_send,
            )
        except NotRunError as error:
            self._gate.note_failed_call(target, error)
            raise CallRefusedError(
                str(error), exempt_from_budget=True
            ) from error
        except MayHaveRunError as error:
            raise CallLostError(str(error)) from error
        head = self._wire.read_answer(response.status, response.headers)
        self._gate.process_response_signals(target, head, permit)
        if head.not_run or head.wrong_target:
            raise CallRefusedError(
                f'status {head.status}', exempt_from_budget=False
            )
        if head.status != _HTTP_OK:
            raise CallLostError(f'status {head.status}')
        return self._wire.read_stage_results(answer_body, len(pieces))


class GatewayDrain:
    """Drains an entry process so that no request is cut off."""

    def __init__(
        self,
        app: GatewayApp,
        batching: BatchingService,
        stop_timeout_s: float,
        clients: ClientBudget | None = None,
    ) -> None:
        """Initialize with the services to drain.

        `stop_timeout_s` is the time until the process is killed; `clients`
        knows the requests whose bodies are still arriving.
        """
        self._clients = clients
        self._app = app
        self._batching = batching
        self._stop_timeout_s = stop_timeout_s
        self.is_draining = False

    async def start(self) -> None:
        """Do nothing: the service acts at the stop only."""

    async def stop(self) -> None:
        """Fail readiness, wait for the load balancer, finish all requests."""
        self.is_draining = True
        self._app.closes_connections = True
        self._batching.ownership.is_leaving = True
        log_event('entry.draining', in_progress=self._app.in_progress)
        await asyncio.sleep(BALANCER_WAIT_S)
        left_s = self._stop_timeout_s - BALANCER_WAIT_S - _STOP_MARGIN_S
        self._app.refuse_what_outlasts(left_s)
        while left_s > 0 and self._has_work:
            await asyncio.sleep(_DRAIN_POLL_S)
            left_s -= _DRAIN_POLL_S
        # The listener closes now and waits no longer for open responses.
        self._app.refuse_what_outlasts(min(left_s, CALLERS_STOP_TIMEOUT_S))
        log_event('entry.drained', in_progress=self._app.in_progress)

    @property
    def _has_work(self) -> bool:
        return bool(
            self._app.in_progress
            or (self._clients is not None and self._clients.arriving)
            or self._batching.stages_in_progress_for_others,
        )


class ReadinessApp:
    """Answers the readiness checks of the load balancer."""

    def __init__(self, app: GatewayApp, drain: GatewayDrain) -> None:
        """Initialize with the gateway and the drain, which decide readiness."""
        self._app = app
        self._drain = drain
        self._was_ready = False

    async def __call__(
        self,
        scope: Mapping[str, Any],
        _receive: Callable[[], Awaitable[Any]],
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Answer 200 while this host accepts requests, 503 otherwise."""
        if scope['type'] != 'http':
            return
        ready = self._app.is_ready and not self._drain.is_draining
        if ready != self._was_ready:
            self._was_ready = ready
            log_event('entry.readiness', ready=ready)
        await send(
            {
                'type': 'http.response.start',
                'status': _HTTP_OK if ready else 503,
                'headers': [(b'content-length', b'0')],
            },
        )
        await send({'type': 'http.response.body'})
