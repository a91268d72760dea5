"""Builds and runs the daemon of a role."""

from __future__ import annotations

import asyncio
import importlib
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, TypeAlias

from hornbeamline.platform._settings import settings_path
from hornbeamline.telemetry import NonBlockingSink, configure_logs, log_crashes


class _Daemon(Protocol):
    @property
    def host(self) -> str:
        """Return the name of the host."""

    async def run(self) -> int:
        """Serve until a stop signal; return the exit code."""


_DaemonFactory: TypeAlias = Callable[[Path], _Daemon]


def _daemon_factory(role: str) -> _DaemonFactory:
    """Return the function that builds the daemon of a role.

    Imports only the modules of that role, since each import delays the
    start on a host with half a core.
    """
    module = importlib.import_module(f'hornbeamline.platform._{role}')
    factory: _DaemonFactory = getattr(module, f'{role}_daemon')
    return factory


async def serve(role: str) -> int:
    """Run the daemon of a role until it stops; return its exit code.

    Raises `HornbeamlineError` when the daemon cannot start.
    """
    log_crashes()
    daemon = _daemon_factory(role)(settings_path())
    sink = NonBlockingSink(sys.stdout.fileno())
    configure_logs(sink, host=daemon.host, role=role)
    return await daemon.run()


def run(role: str) -> int:
    """Run the daemon of a role in a new event loop; return its exit code."""
    return asyncio.run(serve(role))
