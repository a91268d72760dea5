"""Application of the caller interface, with draining on stop."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Final

from falcon.asgi import App, Request, Response

from hornbeamline.caller_api._accounts import Accounts
from hornbeamline.caller_api._asgi import apply_limits
from hornbeamline.caller_api._problems import (
    handle_unexpected_error,
    serialize_error,
)
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
        current_fleet: Callable[[], Fleet | None],
        executor: PipelineExecutor,
        is_ready: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Create the interface with no request in progress."""
        self.settings = settings
        self.current_fleet = current_fleet
        self.executor = executor
        self.clock = clock
        self.in_progress = 0
        # Set when a stop begins; from then on, answers close connections.
        self.is_draining = False
        self._is_ready = is_ready
        self._accepts_requests = True
        self._idle = asyncio.Event()
        self._accounts = Accounts()

    def build(self) -> Any:
        """Return the ASGI application."""
        app: App[Request, Response] = App()
        app.set_error_serializer(serialize_error)
        app.add_error_handler(Exception, handle_unexpected_error)
        app.add_route('/healthz', Health())
        app.add_route('/readyz', Readiness(self))
        app.add_route('/metrics', Metrics())
        app.add_route('/v1/pipelines/{pipeline}/requests', Requests(self))
        app.add_route('/v1/requests/{key}', Lookup(self))
        return apply_limits(app, WRITE_TIMEOUT_S)

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests."""
        return self._is_ready() and not self.is_draining

    def begin_drain(self, *, accepts_requests: bool = False) -> None:
        """Fail the readiness check and refuse new requests as `stopping`.

        With `accepts_requests`, new requests are still accepted, because the
        load balancer sends them until it notices the failed check.
        """
        self.is_draining = True
        self._accepts_requests = accepts_requests

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress.

        Return whether that was reached within `timeout_s`.
        """
        deadline = self.clock.monotonic() + timeout_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.in_progress:
                    self._idle.clear()
                    await self._idle.wait()
        remaining_s = max(0, deadline - self.clock.monotonic())
        return (
            await self.executor.wait_idle(remaining_s) and not self.in_progress
        )

    def refusal(self) -> Refusal | None:
        """Return why new requests are refused; None if they are accepted."""
        if not self._accepts_requests:
            return Refusal(REASON_STOPPING, _RETRY_AFTER_S)
        if self.in_progress >= self.settings.max_requests_in_progress:
            return Refusal(REASON_TOO_MANY_REQUESTS, _RETRY_AFTER_S)
        return None

    def begin_request(self) -> Callable[[], None]:
        """Count a request as in progress; return the function that ends it.

        The function is idempotent.
        """
        self.in_progress += 1
        ended: list[bool] = []

        def end_request() -> None:
            if not ended:
                ended.append(True)
                self.in_progress -= 1
                self._idle.set()

        return end_request

    def authenticate(self, req: Request) -> tuple[str, Account]:
        """Return name and client account of the bearer credential.

        Raises `ProblemError`.
        """
        return self._accounts.authenticate(
            self.current_fleet(),
            req.get_header('Authorization'),
        )
