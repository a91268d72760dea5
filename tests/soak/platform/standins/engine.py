"""Server that answers with a stream of events."""

from __future__ import annotations

from aiohttp import web

from tests.soak.platform.standins.server import StandinServer
from tests.soak.platform.world import events_of

_EVENT_S = 0.01


class EngineServer(StandinServer):
    """Streams numbered events; goes on after the last one a caller has."""

    async def work(self, request: web.Request) -> web.StreamResponse:
        """Run a request once its inputs are complete."""
        body = await request.read()
        request_id = request.headers.get('X-Request-Id', '')
        sent = self.world.sent_by_id.get(request_id)
        if sent is not None and any(sent.pieces):
            handles = request.headers.get('X-Inputs', '').split(',')
            last = (len(sent.pieces) - 1,)
            if not self.world.check_inputs(request_id, handles, last):
                return self.not_run(request, 409)
        if self.begin(request, body) is None:
            return web.Response(status=500)
        response = web.StreamResponse(
            headers={
                **self.head(request, 200),
                'Content-Type': 'text/event-stream',
            },
        )
        await response.prepare(request)
        first = int(request.headers.get('Last-Event-Id', '0')) + 1
        breaks = self.happens(self.faults.lose)
        for number in range(first, events_of(request_id) + 1):
            await self.pause(_EVENT_S)
            event = f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
            if breaks and request.transport is not None and number > 2:
                # Stops in the middle of an event.
                await response.write(event[:6])
                request.transport.abort()
                break
            await response.write(event)
        return response
