"""Limits around the ASGI application that falcon does not provide."""

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


class LimitedApp:
    """ASGI wrapper that limits the size of headers and the time of writes.

    It also lets handlers wait for the caller's disconnect.
    """

    def __init__(self, app: Any, write_timeout_s: float) -> None:
        """Wrap the falcon application; the time-out applies to each write."""
        self.app = app
        self._write_timeout_s = write_timeout_s

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one ASGI scope."""
        if scope['type'] != 'http':
            await self.app(scope, receive, send)
            return
        size = sum(len(name) + len(text) for name, text in scope['headers'])
        if size > MAX_HEADER_BYTES:
            await _refuse_headers(send)
            return
        scope[SCOPE_RECEIVE] = receive

        async def send_with_timeout(event: dict[str, Any]) -> None:
            async with asyncio.timeout(self._write_timeout_s):
                await send(event)

        try:
            await self.app(scope, receive, send_with_timeout)
        except TimeoutError:
            log_event('caller_api.write_timeout', path=scope['path'])
            raise


def apply_limits(app: Any, write_timeout_s: float) -> LimitedApp:
    """Return the application, wrapped with its limits."""
    return LimitedApp(app, write_timeout_s)


async def wait_disconnect(scope: Any) -> None:
    """Wait until the caller disconnects; the body must have been read."""
    receive: Receive = scope[SCOPE_RECEIVE]
    event = await receive()
    while event['type'] != 'http.disconnect':
        event = await receive()


async def _refuse_headers(send: Send) -> None:
    problem = error_body(_HEADERS_TOO_LARGE, 'headers_too_large')
    # The headers were not parsed, so they may hold the key of a request that
    # has run.
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
