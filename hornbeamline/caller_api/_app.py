"""Application of the caller interface and its drain."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Final

from falcon.asgi import App, Request, Response

from hornbeamline.caller_api._accounts import Accounts
from hornbeamline.caller_api._asgi import bound
from hornbeamline.caller_api._problems import handle_fault, serialize_error
from hornbeamline.caller_api._resources import (
    Health,
    Lookup,
    Metrics,
    Readiness,
    Requests,
)
from hornbeamline.caller_api.const import (
    REASON_STOPPING,
    REASON_TOO_MANY_REQUESTS,
    WRITE_TIMEOUT_S,
)
from hornbeamline.decisions import Refusal
from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import Account, CallerSettings, Fleet
from hornbeamline.pipeline import PipelineExecutor

_RETRY_AFTER_S: Final = 1.0


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
        self.clock = clock
        self.in_progress = 0
        # True from the beginning of a stop: answers close connections.
        self.is_draining = False
        self._is_ready = is_ready
        self._takes_work = True
        self._idle = asyncio.Event()
        self._accounts = Accounts()

    def build(self) -> Any:
        """Return the ASGI application."""
        app: App[Request, Response] = App()
        app.set_error_serializer(serialize_error)
        app.add_error_handler(Exception, handle_fault)
        app.add_route('/healthz', Health())
        app.add_route('/readyz', Readiness(self))
        app.add_route('/metrics', Metrics())
        app.add_route('/v1/pipelines/{pipeline}/requests', Requests(self))
        app.add_route('/v1/requests/{key}', Lookup(self))
        return bound(app, WRITE_TIMEOUT_S)

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send work."""
        return self._is_ready() and not self.is_draining

    def begin_drain(self, *, takes_work: bool = False) -> None:
        """Fail readiness and refuse new work as `stopping`.

        With `takes_work`, work is still taken: the load balancer sends it
        until it has seen that readiness fails.
        """
        self.is_draining = True
        self._takes_work = takes_work

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; return whether none is."""
        until = self.clock.monotonic() + timeout_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.in_progress:
                    self._idle.clear()
                    await self._idle.wait()
        left_s = max(0, until - self.clock.monotonic())
        return await self.executor.wait_idle(left_s) and not self.in_progress

    def refusal(self) -> Refusal | None:
        """Return why no new work is taken, or None."""
        if not self._takes_work:
            return Refusal(REASON_STOPPING, _RETRY_AFTER_S)
        if self.in_progress >= self.settings.max_requests_in_progress:
            return Refusal(REASON_TOO_MANY_REQUESTS, _RETRY_AFTER_S)
        return None

    def enter(self) -> Callable[[], None]:
        """Count a request; the returned call ends it and may be repeated."""
        self.in_progress += 1
        left: list[bool] = []

        def leave() -> None:
            if not left:
                left.append(True)
                self.in_progress -= 1
                self._idle.set()

        return leave

    def authenticate(self, req: Request) -> tuple[str, Account]:
        """Return the client account of a bearer credential."""
        return self._accounts.authenticate(
            self.fleet_of(),
            req.get_header('Authorization'),
        )
