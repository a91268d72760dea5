"""TCP relay that can cut, silence and delay connections."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

CHUNK_BYTES = 65536


class Relay:
    """Forward the connections of one listening port to an address.

    It is an asynchronous context manager; `address` is known before it
    listens.
    """

    def __init__(self, address: str, target: str) -> None:
        """Initialize with the addresses to listen on and to forward to."""
        self.address = address
        self.target = target
        self.delay_s = 0.0
        self.accepted = 0
        self._refusing = False
        self._server: asyncio.Server | None = None
        self._silent: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def __aenter__(self) -> Relay:
        """Start to listen."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept,
            host,
            int(port),
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop listening and close all connections."""
        self.cut()
        assert self._server is not None
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Close all connections and refuse new ones until `heal`."""
        self._refusing = True
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Close all connections and stop listening."""
        self.cut()
        if self._server is not None:
            self._server.close()

    def heal(self) -> None:
        """Accept new connections again."""
        self._refusing = False

    def silence(self) -> None:
        """Stop forwarding on open connections; new ones work."""
        self._silent |= self._writers

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = self.target.rpartition(':')
        if self._refusing:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.accepted += 1
        self._writers |= {writer, upstream[1]}
        for source, sink in ((reader, upstream[1]), (upstream[0], writer)):
            task = asyncio.create_task(self._pump(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while chunk := await source.read(CHUNK_BYTES):
                if sink in self._silent:
                    await asyncio.Event().wait()
                if self.delay_s:
                    loop.call_later(self.delay_s, sink.write, chunk)
                    continue
                sink.write(chunk)
                await sink.drain()
        sink.close()
        self._writers.discard(sink)
