"""ASGI application that routes requests by host name and path."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any, Final

from hornbeamline.batching import PiecesFailedError
from hornbeamline.gateway._admission import check_admission, retry_after_s
from hornbeamline.gateway._guarded import guarded
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._metrics import (
    CALLERS_LEFT,
    IN_PROGRESS,
    REFUSALS,
)
from hornbeamline.gateway._reply import Reply
from hornbeamline.gateway._request_body import (
    MAX_BODY_BYTES,
    CallerLeftError,
    Receive,
    read_body,
    wait_for_disconnect,
)
from hornbeamline.gateway._request_end import record_request_end
from hornbeamline.gateway._request_terms import (
    account_of,
    choose_service,
    deadline_of,
    head_received_at,
    rank_of,
)
from hornbeamline.gateway._services import GatewayServices
from hornbeamline.gateway._stages import StageResults
from hornbeamline.gateway._table import RoutingTable
from hornbeamline.gateway._types import (
    Account,
    CallerRequest,
    Refusal,
    Route,
    RouteKind,
)
from hornbeamline.gateway._wire import Wire
from hornbeamline.gateway.const import (
    REASON_HOST_STOPS,
    REASON_NO_CONFIGURATION,
    REASON_NO_ROUTE,
    REASON_NO_TARGET,
    REASON_OUT_OF_TIME,
    REASON_STAGES_BUSY,
    REASON_STAGES_FAILED,
)
from hornbeamline.gateway.errors import (
    AnswerBrokenError,
    InputsGoneError,
    RefusedError,
)
from hornbeamline.helpers.clock import Clock
from hornbeamline.telemetry import log_event

Scope = Mapping[str, Any]
Send = Callable[[Any], Awaitable[None]]

# Maximum number of runs of the stages of a request, which are repeated if their
# results are lost.
_MAX_STAGE_RUNS: Final = 2
_RETRY_AFTER_S: Final = 1.0
# A starting process receives the configuration after a leader election and its
# enrolment. During this window, requests wait for the configuration for at most
# this share of their caller's time; after it, they are refused immediately.
START_WINDOW_S: Final = 2.0
START_WAIT_SHARE: Final = 0.25

_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_TIMED_OUT: Final = 504


class GatewayApp:
    """Serve all requests of callers."""

    def __init__(
        self,
        wire: Wire,
        services: GatewayServices,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create an application that is not ready yet."""
        self._wire = wire
        self._targets = services.targets
        self._forwarder = services.forwarder
        self._stages = services.stages
        self._budget = services.budget
        self._quarantine = services.quarantine
        self._versions = services.versions
        self._clock = clock
        self._rng = rng
        self._table: RoutingTable | None = None
        self._started_at = clock.monotonic()
        self._ready = asyncio.Event()
        self._targets.on_first_list = self._update_readiness
        self.in_progress = 0
        # Connections are closed after their next response.
        self.closes_connections = False
        # New streams are refused, since they would outlast the process.
        self.refuses_streams = False
        # Requests that may take longer than until then are refused, since the
        # end of the process would cut them off.
        self.work_ends_at = math.inf

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one ASGI connection; other types than HTTP are ignored."""
        if scope['type'] != 'http':
            return
        received_at = head_received_at(scope, self._clock)
        reply = Reply(
            send,
            self._clock,
            closes=lambda: self.closes_connections,
        )
        self.in_progress += 1
        IN_PROGRESS.set(self.in_progress)
        try:
            await self._serve(scope, receive, reply, received_at)
        finally:
            self.in_progress -= 1
            IN_PROGRESS.set(self.in_progress)

    def refuse_what_outlasts(self, left_s: float) -> None:
        """Refuse new requests that may take more than `left_s` seconds.

        Streams are refused whatever their deadline.
        """
        self.refuses_streams = True
        self.work_ends_at = self._clock.monotonic() + left_s

    def update_table(self, table: RoutingTable) -> None:
        """Apply a newer configuration to new requests."""
        self._table = table
        self._update_readiness()

    @property
    def table(self) -> RoutingTable | None:
        """Return the configuration in force, if one is known."""
        return self._table

    @property
    def is_ready(self) -> bool:
        """Return whether both configuration and target list are known."""
        return self._table is not None and self._targets.is_known

    @property
    def _max_body_bytes(self) -> int:
        # The listener has enforced a lower limit of the document.
        if self._table is None:
            return MAX_BODY_BYTES
        return max(MAX_BODY_BYTES, self._table.limits.max_body_bytes)

    def _update_readiness(self) -> None:
        if self.is_ready:
            self._ready.set()

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        reply: Reply,
        received_at: float,
    ) -> None:
        request: CallerRequest | None = None
        try:
            request = self._wire.read_request(scope, received_at)
            body = await read_body(receive, self._max_body_bytes)
            await self._answer_until_disconnect(request, body, receive, reply)
        except RefusedError as error:
            await self._refuse(request, error.refusal, reply)
        except CallerLeftError:
            CALLERS_LEFT.inc()
            self._record_end(request, reply, 'caller left')
            return
        except AnswerBrokenError as error:
            self._record_end(request, reply, f'broken: {error}')
            raise
        self._record_end(request, reply, 'ended')

    async def _answer_until_disconnect(
        self,
        request: CallerRequest,
        body: bytes,
        receive: Receive,
        reply: Reply,
    ) -> None:
        """Answer a request; cancel the work if the caller disconnects."""
        answer_task = asyncio.ensure_future(self._answer(request, body, reply))
        disconnect_task = asyncio.ensure_future(wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                {answer_task, disconnect_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not answer_task.done() and not reply.is_complete:
                answer_task.cancel()
                await asyncio.wait({answer_task})
                raise CallerLeftError
            await answer_task
        finally:
            disconnect_task.cancel()
            answer_task.cancel()

    async def _answer(
        self,
        request: CallerRequest,
        body: bytes,
        reply: Reply,
    ) -> None:
        await self._wait_for_start(request)
        table = self._table
        if table is None or not self._targets.is_known:
            raise RefusedError(
                Refusal(
                    _UNAVAILABLE,
                    REASON_NO_CONFIGURATION,
                    retry_after_s=_RETRY_AFTER_S,
                ),
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            raise RefusedError(Refusal(_NOT_FOUND, REASON_NO_ROUTE))
        reply.route_name = route.name
        reply.aim_s = route.aim_s
        if self.refuses_streams and route.kind is RouteKind.STREAM:
            raise RefusedError(
                Refusal(_UNAVAILABLE, REASON_HOST_STOPS, retry_after_s=0),
            )
        account = account_of(table, route, request)
        deadline_at = deadline_of(request, route)
        if deadline_at > self.work_ends_at:
            raise RefusedError(
                Refusal(_UNAVAILABLE, REASON_HOST_STOPS, retry_after_s=0),
            )
        try:
            async with asyncio.timeout(deadline_at - self._clock.monotonic()):
                async with self._open_job(
                    request, body, route, account, deadline_at
                ) as job:
                    await self._run_with_retry(job, table, reply)
        except TimeoutError as error:
            if reply.has_begun:
                raise AnswerBrokenError('request deadline exceeded') from error
            raise RefusedError(
                Refusal(_TIMED_OUT, REASON_OUT_OF_TIME),
            ) from error

    @contextlib.asynccontextmanager
    async def _open_job(
        self,
        request: CallerRequest,
        body: bytes,
        route: Route,
        account: Account | None,
        deadline_at: float,
    ) -> AsyncIterator[Job]:
        """Yield the job of a request; raises `RefusedError`."""
        service = choose_service(route, request, self._rng)
        binding = await self._versions.bind_request(
            request,
            route,
            service,
            account,
            deadline_at - self._clock.monotonic(),
        )
        async with binding:
            with guarded(self._quarantine, request, body) as guard:
                yield Job(
                    request,
                    body,
                    route,
                    service,
                    account,
                    rank_of(route, account),
                    deadline_at,
                    [],
                    {},
                    _do_nothing,
                    guard,
                    binding,
                )

    async def _wait_for_start(self, request: CallerRequest) -> None:
        """Wait for the configuration while the process is starting.

        Covers a restart of all processes: callers reconnect immediately, and
        their only retry would reach another process that is also starting.
        """
        wait_until = self._started_at + START_WINDOW_S
        if request.caller_timeout_s is not None:
            max_wait_s = request.caller_timeout_s * START_WAIT_SHARE
            wait_until = min(wait_until, request.received_at + max_wait_s)
        left_s = wait_until - self._clock.monotonic()
        if self.is_ready or left_s <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_s):
                await self._ready.wait()

    async def _run_with_retry(
        self,
        job: Job,
        table: RoutingTable,
        reply: Reply,
    ) -> None:
        self._budget.record_first_attempts(job.service)
        for stage in job.route.stages:
            self._budget.record_first_attempts(stage.service)
        for run in range(_MAX_STAGE_RUNS):
            is_last = run == _MAX_STAGE_RUNS - 1
            try:
                await self._run_once(job, table, reply)
            except (InputsGoneError, PiecesFailedError) as error:
                # Only `PiecesFailedError` has the attribute `gone`.
                inputs_gone = getattr(error, 'gone', True)
                if is_last or not inputs_gone or reply.has_begun:
                    raise RefusedError(
                        Refusal(
                            _UNAVAILABLE,
                            REASON_STAGES_FAILED,
                            str(error),
                            self._retry_after_s(job),
                        ),
                    ) from error
                log_event(
                    'request.stages_again',
                    request=job.request.id,
                    reason=str(error),
                )
            else:
                return

    async def _run_once(
        self,
        job: Job,
        table: RoutingTable,
        reply: Reply,
    ) -> None:
        results = StageResults()
        try:
            if any(job.request.pieces_by_stage):
                results = await self._run_stages(job, table)
            inputs = results.final_handles(job.route)
            await self._forwarder.forward(
                job._replace(
                    inputs=[
                        handle
                        for handles in inputs.values()
                        for handle in handles
                    ],
                    input_bytes_by_data_centre=(
                        self._stages.placement.bytes_by_data_centre(
                            job.route, inputs
                        )
                    ),
                    on_inputs_fetched=lambda: self._stages.release_all(
                        results,
                        job.route,
                    ),
                ),
                reply,
            )
        finally:
            self._stages.release_all(results, job.route)

    def _check_services(self, job: Job) -> None:
        """Raise `RefusedError` if a required service accepts no work."""
        stages = [
            stage.service
            for stage_index, stage in enumerate(job.route.stages)
            if job.request.pieces_of(stage_index)
        ]
        for service in (*stages, job.service):
            left_s = self._targets.pause_left_s(service)
            if left_s != 0:
                raise RefusedError(
                    Refusal(
                        _UNAVAILABLE,
                        REASON_NO_TARGET,
                        f'{service}: all draining, paused or evacuated',
                        _RETRY_AFTER_S if left_s is None else left_s,
                    ),
                )

    async def _run_stages(self, job: Job, table: RoutingTable) -> StageResults:
        self._check_services(job)
        decision = check_admission(
            job.request,
            job.route,
            table,
            self._stages.wait_s_by_service(job.rank),
            self._clock.monotonic(),
        )
        log_event(
            'request.judged',
            request=job.request.id,
            route=job.route.name,
            rank=job.rank,
            admitted=decision.is_admitted,
            expected_s=decision.expected_s,
            limit_s=decision.limit_s,
            patience_s=job.request.caller_timeout_s,
            timeout_s=job.route.timeout_s,
            document=table.number,
            list_age_s=self._targets.age_s,
        )
        if not decision.is_admitted:
            raise RefusedError(
                Refusal(
                    _UNAVAILABLE,
                    REASON_STAGES_BUSY,
                    f'expected time {decision.expected_s:.2f} s exceeds '
                    f'{decision.limit_s:.2f} s',
                    self._retry_after_s(job, decision.excess_s),
                ),
            )
        return await self._stages.run(job, table)

    def _retry_after_s(self, job: Job, excess_s: float = math.inf) -> float:
        return retry_after_s(
            job.route,
            self._stages.wait_s_by_service(job.rank),
            self._rng,
            excess_s,
        )

    def _record_end(
        self,
        request: CallerRequest | None,
        reply: Reply,
        outcome: str,
    ) -> None:
        document = 0 if self._table is None else self._table.number
        record_request_end(
            request, reply, outcome, self._clock.monotonic(), document
        )

    async def _refuse(
        self,
        request: CallerRequest | None,
        refusal: Refusal,
        reply: Reply,
    ) -> None:
        if reply.has_begun:
            raise AnswerBrokenError(refusal.detail or refusal.reason)
        REFUSALS.labels(str(refusal.status), refusal.reason).inc()
        log_event(
            'request.refused',
            request=_id_of(request),
            route=reply.route_name,
            status=refusal.status,
            reason=refusal.reason,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
            document=0 if self._table is None else self._table.number,
            list_age_s=self._targets.age_s,
        )
        await reply.send(self._wire.refusal_answer(request, refusal))


def _id_of(request: CallerRequest | None) -> str:
    return '' if request is None else request.id


def _do_nothing() -> None:
    """Release nothing: the placeholder for a job without results."""
