"""Protocol of uvicorn whose requests start when they have arrived."""

from __future__ import annotations

import asyncio
from typing import Any, Final

import httptools
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hornbeamline.clients.errors import FramingError

# Read at once from a connection; the default of asyncio is 256 KiB.
_READ_BYTES: Final = 65_536
# Unsent bytes of a response above which its source is paused.
_WRITE_BYTES: Final = 16_384
_NO_LENGTH: Final = -1


class _ListenerFlow(FlowControl):
    """Flow control whose reading side belongs to the protocol.

    The request cycle of uvicorn resumes reading whenever the application
    waits for a message, also while pipelined requests are held back.
    """

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""


def _do_nothing() -> None:
    """Ignore the end of a response."""


class BoundedProtocol(HttpToolsProtocol):
    """Parses one request at a time and leaves its start to a subclass."""

    def __init__(self, **arguments: Any) -> None:
        """Create a protocol; uvicorn passes the arguments."""
        super().__init__(**arguments)
        self._is_message_complete = False
        # The application of a request that has not been started.
        self._waiting_app: Any = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Set the sizes of the buffers."""
        super().connection_made(transport)
        self.flow = _ListenerFlow(transport)
        raw: Any = transport
        raw.max_size = _READ_BYTES
        transport.set_write_buffer_limits(high=_WRITE_BYTES)

    def eof_received(self) -> None:
        """Close the connection, as the client has."""

    def on_headers_complete(self) -> None:
        """Create the request; it starts once it may run."""
        super().on_headers_complete()
        # Further fields are trailers, which are not part of the head.
        self.headers = []

    def on_body(self, body: bytes) -> None:
        """Add to the body, which a subclass bounds."""
        if not self.cycle.response_complete:
            self.cycle.body += body
            self.cycle.message_event.set()

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        self._is_message_complete = True
        if not self.cycle.response_complete:
            self.cycle.more_body = False
            self.cycle.message_event.set()

    @property
    def _is_answered(self) -> bool:
        return self.cycle is not None and self.cycle.response_complete

    def _start_asgi_task(self, cycle: Any, app: Any) -> None:
        """Keep the application until the request may run."""
        self._waiting_app = app

    def _run(self) -> None:
        """Start the request unless it has been started."""
        app = self._waiting_app
        self._waiting_app = None
        if app is not None:
            HttpToolsProtocol._start_asgi_task(self, self.cycle, app)

    def _feed(self, data: bytes) -> None:
        """Parse bytes; raises `HttpParserError`."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Requests are served without the upgrade.
            return

    def _field_count(self) -> int:
        fields: Any = self.scope['headers']
        return len(fields)

    def _body_length(self) -> int:
        """Return the length of the body, or a negative one if unknown.

        Raises `FramingError` if the parser takes the body for another
        protocol.
        """
        length = 0
        for name, text in self.scope['headers']:
            if name == b'content-length':
                length = int(text)
            elif name == b'transfer-encoding':
                length = _NO_LENGTH
                break
        if length and self._is_message_complete:
            raise FramingError('upgrade of a request with a body')
        return length

    def _forget_request(self) -> bool:
        """Cancel the request; return whether it has been started."""
        if self.cycle is None or self.cycle.response_complete:
            return False
        has_run = self._waiting_app is None
        self._waiting_app = None
        self.cycle.disconnected = True
        self.cycle.message_event.set()
        if not has_run:
            self.cycle.response_complete = True
            self.cycle.body = bytearray()
            # Without this, the collector would have to free the connection.
            self.cycle.on_response = _do_nothing
        return has_run
