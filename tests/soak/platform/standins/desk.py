"""Server that answers plain requests."""

from __future__ import annotations

from aiohttp import web

from tests.soak.platform.standins.server import StandinServer

_WORK_S = 0.01


class DeskServer(StandinServer):
    """Runs each request once for a short time."""

    async def work(self, request: web.Request) -> web.StreamResponse:
        """Run a request."""
        sent = self.begin(request, await request.read())
        if sent is None:
            return web.Response(status=500)
        await self.pause(_WORK_S)
        return await self.answer(request, sent)
