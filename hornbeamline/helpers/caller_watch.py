"""Tells handlers of an ASGI application whether their caller waits."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any, Final

_RECEIVE_KEY: Final = 'hornbeamline.receive'

Receive = Callable[[], Awaitable[Mapping[str, Any]]]


class CallerWatchApp:
    """Wraps an application whose handlers use `watch_caller`.

    falcon does not pass the `receive` of a request on to its handlers.
    """

    def __init__(self, app: Any) -> None:
        """Initialize with the wrapped application."""
        self._app = app

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Any
    ) -> None:
        """Serve a connection."""
        await self._app({**scope, _RECEIVE_KEY: receive}, receive, send)


@contextlib.asynccontextmanager
async def watch_caller(
    scope: Mapping[str, Any],
) -> AsyncIterator[Callable[[], bool]]:
    """Yield a function that tells whether the caller is still connected.

    Discards what is left of the request's body.
    """
    watching = asyncio.ensure_future(_wait_for_end(scope[_RECEIVE_KEY]))
    try:
        yield lambda: not watching.done()
    finally:
        watching.cancel()


async def _wait_for_end(receive: Receive) -> None:
    while (await receive())['type'] != 'http.disconnect':
        """Discard a part of the body."""
