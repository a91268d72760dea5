"""uvicorn as a service inside a process that owns its signals."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any, Final

import uvicorn

from hornbeamline.helpers.listeners import BACKLOG, take_listener

# A caller that has connected sends its request within a round trip; links
# that lose a packet take longer.
LINGER_S: Final = 0.3
_LINGER_POLL_S: Final = 0.01


class _QuietServer(uvicorn.Server):
    """uvicorn server that leaves signals to the kernel.

    It waits for its stop, where uvicorn looks ten times a second whether
    it is to stop; that would be a third of what an idle host spends. At the
    stop it answers the requests of all connections that were accepted, where
    uvicorn closes those without a request and resets those in the queue of
    the listener.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        listener: socket.socket,
        linger_s: float,
    ) -> None:
        """Take the configuration and the socket that it listens on."""
        super().__init__(config)
        self._listener = listener
        self._linger_s = linger_s
        self._stopping = asyncio.Event()

    def request_stop(self) -> None:
        """Let the server close its listener and connections."""
        self.should_exit = True
        self._stopping.set()

    async def main_loop(self) -> None:
        """Wait until the server is to stop."""
        await self.on_tick(0)
        await self._stopping.wait()
        if self._linger_s:
            await self._stop_accepting()
            await self._linger()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers: the kernel owns the signals."""
        yield

    async def _stop_accepting(self) -> None:
        """Close the listener once its queue is empty."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener.fileno())
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
        """Answer what callers send, and close with each answer."""
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
    ) -> None:
        """Take the application, `ip:port` and the bound of a stop."""
        self._app = app
        self._address = address
        self._stop_timeout_s = stop_timeout_s
        self._server: _QuietServer | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Bind and serve; raises `AddressInUseError`."""
        listener = take_listener(self._address)
        config = uvicorn.Config(
            self._app,
            access_log=False,
            log_level='critical',
            lifespan='off',
            backlog=BACKLOG,
            timeout_keep_alive=30,
            timeout_graceful_shutdown=int(self._stop_timeout_s),
            server_header=False,
            # A target's answer carries its own date.
            date_header=False,
            proxy_headers=False,
            ws='none',
        )
        linger_s = LINGER_S if self._stop_timeout_s else 0
        self._server = _QuietServer(config, listener, linger_s)
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
