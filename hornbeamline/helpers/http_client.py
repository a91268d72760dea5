"""Parts of HTTP clients that do not trust what servers send."""

from __future__ import annotations

import asyncio
import functools
from typing import Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from hornbeamline.telemetry import log_event

# Bytes of a response that are no body: heads of interim responses, chunk
# sizes, extensions and trailers. As many more are allowed as the body has.
MAX_OVERHEAD_BYTES: Final = 65_536
# Bytes that are parsed in one turn of the event loop. The smallest pieces, as
# chunks of one byte, take microseconds each.
READ_BYTES: Final = 16_384


class ConnectionEndedError(aiohttp.ClientConnectionError):
    """The connection of a request ended before the head of its response."""


async def forbid_resend(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Send a request once.

    aiohttp sends GET, HEAD, OPTIONS, TRACE, PUT and DELETE requests again,
    also over a new connection, after the errors that mean a lost connection.
    Raises `ConnectionEndedError` instead, which ends the request.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # The connection was never established, and aiohttp does not repeat it.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionEndedError(repr(error)) from error


class BoundedHandler(ResponseHandler):
    """Protocol that records connection errors and bounds the overhead.

    aiohttp takes a reset for the end of a response without a length. It reads
    on for as long as interim responses, chunk extensions or tiny chunks
    arrive, and those cost much more time than a body.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a protocol without a connection."""
        super().__init__(loop)
        self.lost_error: BaseException | None = None
        self._received = 0

    def connection_made(self, transport: Any) -> None:
        """Bound the bytes of one read."""
        super().connection_made(transport)
        transport.max_size = READ_BYTES

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the response to a new request."""
        self._received = 0
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Process bytes; abort the connection if too many are no body."""
        self._received += len(data)
        super().data_received(data)
        body_bytes = getattr(self._payload, 'total_bytes', 0)
        overhead = self._received - body_bytes
        if overhead <= MAX_OVERHEAD_BYTES + body_bytes:
            return
        if self.transport is not None and not self.transport.is_closing():
            log_event(
                'http_client.overhead',
                peer=self.transport.get_extra_info('peername'),
                received=self._received,
                body=body_bytes,
            )
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record the error that ended the connection, if any."""
        self.lost_error = exc
        super().connection_lost(exc)


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections bound the overhead of responses."""

    def __init__(self, **options: Any) -> None:
        """Create a connector with the options of aiohttp."""
        super().__init__(**options)
        handler: Any = functools.partial(BoundedHandler, loop=self._loop)
        self._factory = handler
