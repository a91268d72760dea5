"""Injection of faults into the requests and connections of a stand-in."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import web

from hornbeamline.standins._settings import Faults

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Requests that execute work. Faults affect only these, except for silenced
# connections, which answer no request at all.
_STREAM_PATH: Final = '/v1/completions'
_EXECUTION_PATHS: Final = frozenset(('/v1/run', _STREAM_PATH))
# Key under which a request carries its faults to the handler.
FAULTS_KEY: Final = web.RequestKey('faults', Faults)


class FaultInjector:
    """Injects the configured faults into requests."""

    def __init__(self, faults: Faults, rng: random.Random) -> None:
        """Initialize with the initial faults and the random source."""
        self.faults = faults
        self._rng = rng
        self._open_transports: set[Any] = set()
        self._silent_transports: set[Any] = set()

    def replace(self, faults: Faults, keep: Any) -> None:
        """Replace the faults.

        `keep` is the connection of the request that sets them; it is not
        silenced.
        """
        self.faults = faults
        if faults.silence_connections:
            self._silent_transports |= self._open_transports - {keep}

    def affects(self) -> bool:
        """Draw whether the faults affect the next request."""
        share = self.faults.share
        return share >= 1 or self._rng.random() < share

    def abort_connections(self) -> None:
        """Reset all open connections."""
        for transport in self._open_transports:
            transport.abort()

    def is_silent(self, request: web.Request) -> bool:
        """Return whether the request's connection has been silenced."""
        return request.transport in self._silent_transports

    @web.middleware
    async def middleware(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Apply the faults before and after the handler."""
        self._track_connection(request.transport)
        if self.is_silent(request):
            await asyncio.Event().wait()
        if request.path not in _EXECUTION_PATHS or not self.affects():
            return await handler(request)
        request[FAULTS_KEY] = self.faults
        if self.faults.refuse or self.faults.leaving or self.faults.rest_s:
            return _refusal(request, self.faults)
        if self.faults.stuck:
            await asyncio.Event().wait()
        if self.faults.error and request.path == _STREAM_PATH:
            # The status must be sent before a stream begins, so the fault
            # can't wait until after the execution.
            return _error()
        response = await handler(request)
        return self._after(request, response)

    def _after(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> web.StreamResponse:
        if self.faults.reset_after_execution:
            abort(request)
        if self.faults.error:
            return _error()
        return response

    def _track_connection(self, transport: Any) -> None:
        closed = {each for each in self._open_transports if each.is_closing()}
        self._open_transports -= closed
        self._silent_transports -= closed
        self._open_transports.add(transport)


def abort(request: web.Request) -> None:
    """Reset the connection of a request."""
    if request.transport is not None:
        request.transport.abort()


def _error() -> web.Response:
    return web.Response(status=500, text='fault: error')


def _refusal(request: web.Request, faults: Faults) -> web.Response:
    headers = {
        'X-Not-Run': 'true',
        'X-Request-Id': request.headers.get('X-Request-Id', ''),
    }
    if faults.leaving:
        headers['X-Leaving'] = 'true'
    if faults.rest_s:
        headers['Retry-After'] = f'{faults.rest_s}'
    return web.Response(status=503, headers=headers)
