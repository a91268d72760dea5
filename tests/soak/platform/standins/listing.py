"""Stand-in for the platform's server list."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from tests.common import free_address
from tests.soak.platform.standins.server import StandinServer

_PAGE_ENTRIES = 4
_MALFORMED_ENTRY = {'id': 7, 'state': 'melting'}


class StandinServerList:
    """Serve the list in pages, with one malformed entry."""

    def __init__(self, servers: Callable[[], list[StandinServer]]) -> None:
        self.address = free_address()
        self.is_down = False
        self._servers = servers
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen."""
        app = web.Application()
        app.router.add_get('/instances', self._serve)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self.address.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.Response:
        if self.is_down:
            return web.Response(status=429)
        start = int(request.query.get('page-token', '0'))
        entries = [
            _MALFORMED_ENTRY,
            *(each.entry() for each in self._servers()),
        ]
        end = start + _PAGE_ENTRIES
        following = str(end) if end < len(entries) else None
        return web.json_response(
            {'instances': entries[start:end], 'next': following},
        )
