"""Stand-in server that answers plain requests."""

from __future__ import annotations

from aiohttp import web

from tests.soak.platform.standins.server import StandinServer

_WORK_S = 0.01


class DeskServer(StandinServer):
    """Execute each request for a short, fixed time."""

    async def work(self, request: web.Request) -> web.StreamResponse:
        """Execute a request and answer it."""
        sent = self.record_and_verify(request, await request.read())
        if sent is None:
            return web.Response(status=500)
        await self.simulate_work(_WORK_S)
        return await self.answer(request, sent)
