"""Listeners of a process, which share one budget for their clients."""

from __future__ import annotations

from typing import Any, Final

from hornbeamline.clients import ClientBudget, HeadChecks, ProcessLimits
from hornbeamline.core import Kernel
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.http_server import HttpServer

__all__ = ('Listeners', 'ProcessLimits')

_STOP_TIMEOUT_S: Final = 5.0


class Listeners:
    """Registers HTTP servers within the limits of the process."""

    def __init__(
        self, kernel: Kernel, limits: ProcessLimits, clock: Clock
    ) -> None:
        """Initialize without listeners."""
        self.budget = ClientBudget(limits, clock)
        self._kernel = kernel

    def add(
        self,
        name: str,
        app: Any,
        address: str,
        stop_timeout_s: float = _STOP_TIMEOUT_S,
        checks: HeadChecks | None = None,
    ) -> None:
        """Register a listener for an ASGI application."""
        server = HttpServer(
            app,
            address,
            stop_timeout_s=stop_timeout_s,
            budget=self.budget,
            checks=checks,
        )
        self._kernel.register(name, server)
