"""Runs uvicorn as a service of a process that handles the signals."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from collections.abc import Iterator
from typing import Any, Final

import uvicorn

from hornbeamline.clients import (
    ClientBudget,
    ClientProtocol,
    HeadChecks,
    ListenerTerms,
    NoChecks,
    ProcessLimits,
)
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.helpers.listeners import BACKLOG, take_listener

# Longest time for which connections without a request stay open after a stop
# request. A caller sends its request within a round trip of connecting, or
# later if a packet is lost.
LINGER_S: Final = 0.3
_LINGER_POLL_S: Final = 0.01
# Connections that the loop accepts in one turn. They join the budget of the
# process in the next one; until then they use descriptors that it has not
# counted.
_ACCEPTS_PER_TURN: Final = 64


class _DrainingServer(uvicorn.Server):
    """uvicorn server that leaves signals to the kernel and drains at a stop.

    It waits for an event, whereas uvicorn polls ten times a second for a
    stop, which would be a third of the CPU time of an idle host. At a stop
    it answers the requests of all accepted connections, whereas uvicorn
    closes connections without a request and resets those in the accept
    queue of the listener.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        listener: socket.socket,
        linger_s: float,
    ) -> None:
        """Initialize with the configuration and the listening socket."""
        super().__init__(config)
        self._listener = listener
        self._linger_s = linger_s
        self._stopping = asyncio.Event()

    def request_stop(self) -> None:
        """Make the server close its listener and connections."""
        self.should_exit = True
        self._stopping.set()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Accept connections; those that wait do so in the full backlog."""
        await super().startup(sockets)
        self._listener.listen(BACKLOG)

    async def main_loop(self) -> None:
        """Wait for a stop request, then drain the connections."""
        await self.on_tick(0)
        await self._stopping.wait()
        if self._linger_s:
            await self._stop_accepting()
            await self._linger()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers: the kernel handles the signals."""
        yield

    async def _stop_accepting(self) -> None:
        """Accept all queued connections, then close the listener."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener.fileno())
        # Connections that the loop has accepted in this turn belong to the
        # servers from the next one on; a closed server would drop them.
        await asyncio.sleep(0)
        waiting: list[socket.socket] = []
        with contextlib.suppress(BlockingIOError):
            for _ in range(BACKLOG):
                connection, _ = self._listener.accept()
                waiting.append(connection)
        for server in self.servers:
            server.close()
        for accepted in waiting:
            accepted.setblocking(False)
            await loop.connect_accepted_socket(self._create_protocol, accepted)

    async def _linger(self) -> None:
        """Answer late requests and close each connection afterwards."""
        loop = asyncio.get_running_loop()
        until = loop.time() + self._linger_s
        while self.server_state.connections and loop.time() < until:
            for connection in tuple(self.server_state.connections):
                cycle = getattr(connection, 'cycle', None)
                if cycle is not None and not cycle.response_complete:
                    connection.shutdown()
            await asyncio.sleep(_LINGER_POLL_S)

    def _create_protocol(self) -> asyncio.Protocol:
        protocol: Any = self.config.http_protocol_class
        created: asyncio.Protocol = protocol(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        return created


class HttpServer:
    """Serves one ASGI application on one address."""

    def __init__(
        self,
        app: Any,
        address: str,
        *,
        stop_timeout_s: float = 5,
        budget: ClientBudget | None = None,
        checks: HeadChecks | None = None,
    ) -> None:
        """Initialize with the application and the address as `ip:port`.

        `stop_timeout_s` bounds the wait for open responses at a stop; with
        0, connections without a request are closed at once. `budget` is that
        of the process; without one, the listener has its own, and the
        application itself limits the size and the time of bodies. `checks`
        decide about requests with large bodies before these are read.
        """
        self._app = app
        self._address = address
        self._stop_timeout_s = stop_timeout_s
        self._terms = ListenerTerms(
            budget or ClientBudget(ProcessLimits(), SystemClock()),
            checks or NoChecks(),
            reads_whole=budget is not None,
        )
        self._server: _DrainingServer | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Bind and serve; raises `AddressInUseError`."""
        listener = take_listener(self._address)
        protocol: Any = functools.partial(ClientProtocol, self._terms)
        config = uvicorn.Config(
            self._app,
            http=protocol,
            access_log=False,
            log_level='critical',
            lifespan='off',
            backlog=_ACCEPTS_PER_TURN,
            timeout_graceful_shutdown=int(self._stop_timeout_s),
            server_header=False,
            # Answers that are passed on from targets have their own date.
            date_header=False,
            proxy_headers=False,
            ws='none',
        )
        linger_s = LINGER_S if self._stop_timeout_s else 0
        self._server = _DrainingServer(config, listener, linger_s)
        self._task = asyncio.create_task(
            self._server.serve(sockets=[listener]),
            name=f'http {self._address}',
        )

    async def stop(self) -> None:
        """Stop accepting and wait for open responses."""
        if self._server is None or self._task is None:
            return
        self._server.request_stop()
        await asyncio.wait(
            {self._task},
            timeout=self._stop_timeout_s + LINGER_S + 1,
        )
        if not self._task.done():
            self._task.cancel()
