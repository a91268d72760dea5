"""Bounds around the ASGI application that falcon does not have."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

from hornbeamline.caller_api._problems import error_body
from hornbeamline.caller_api.const import (
    ATTR_OUTCOME,
    MAX_HEADER_BYTES,
    MEDIA_PROBLEM,
)
from hornbeamline.helpers.codec import encode_json
from hornbeamline.telemetry import log_event

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

SCOPE_RECEIVE: Final = 'hornbeamline.receive'
_HEADERS_TOO_LARGE: Final = 431


class BoundedApp:
    """Bounds headers and write time, and shows the disconnect to handlers."""

    def __init__(self, app: Any, write_timeout_s: float) -> None:
        """Take the falcon application and the bound of one write."""
        self.app = app
        self._write_timeout_s = write_timeout_s

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one connection event."""
        if scope['type'] != 'http':
            await self.app(scope, receive, send)
            return
        size = sum(len(name) + len(text) for name, text in scope['headers'])
        if size > MAX_HEADER_BYTES:
            await _refuse_headers(send)
            return
        scope[SCOPE_RECEIVE] = receive

        async def bounded_send(event: dict[str, Any]) -> None:
            async with asyncio.timeout(self._write_timeout_s):
                await send(event)

        try:
            await self.app(scope, receive, bounded_send)
        except TimeoutError:
            log_event('caller_api.write_timeout', path=scope['path'])
            raise


def bound(app: Any, write_timeout_s: float) -> BoundedApp:
    """Return the application with its bounds."""
    return BoundedApp(app, write_timeout_s)


async def wait_disconnect(scope: Any) -> None:
    """Return when the caller is gone; the body must have been read."""
    receive: Receive = scope[SCOPE_RECEIVE]
    event = await receive()
    while event['type'] != 'http.disconnect':
        event = await receive()


async def _refuse_headers(send: Send) -> None:
    problem = error_body(_HEADERS_TOO_LARGE, 'headers_too_large')
    # The headers were not read, so a request key may be among them.
    problem.pop(ATTR_OUTCOME)
    body = encode_json(problem)
    await send(
        {
            'type': 'http.response.start',
            'status': _HEADERS_TOO_LARGE,
            'headers': [
                (b'content-type', MEDIA_PROBLEM.encode()),
                (b'content-length', str(len(body)).encode()),
                (b'connection', b'close'),
            ],
        },
    )
    await send({'type': 'http.response.body', 'body': body})
