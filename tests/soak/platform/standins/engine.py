"""Stand-in server that answers with a stream of events."""

from __future__ import annotations

import contextlib

from aiohttp import web

from tests.soak.platform.standins.server import StandinServer
from tests.soak.platform.world import event_count, event_of

_EVENT_S = 0.01
_EMPTY_LINES = b'\n' * 16_384


class EngineServer(StandinServer):
    """Stream numbered events; resume after the last one of the caller."""

    async def work(self, request: web.Request) -> web.StreamResponse:
        """Stream the events, or refuse when input results are gone."""
        body = await request.read()
        request_id = request.headers.get('X-Request-Id', '')
        sent = self.world.sent_by_id.get(request_id)
        if sent is not None and any(sent.pieces):
            handles = request.headers.get('X-Inputs', '').split(',')
            last = (len(sent.pieces) - 1,)
            if not self.world.check_inputs(request_id, handles, last):
                return self.not_run(request, 409)
        if self.record_and_verify(request, body) is None:
            return web.Response(status=500)
        if self.is_affected(self.faults.error):
            return self.failure(request)
        response = web.StreamResponse(
            headers={
                **self.answer_headers(request, 200),
                'Content-Type': 'text/event-stream',
            },
        )
        await response.prepare(request)
        if self._is_deadly(request):
            return self._end(request, response)
        first = int(request.headers.get('Last-Event-Id', '0')) + 1
        breaks = self.is_affected(self.faults.lose)
        is_endless = self.is_affected(self.faults.garble)
        stream = self.world.stream_of(request_id)
        for number in range(first, event_count(stream) + 1):
            await self.simulate_work(_EVENT_S)
            event = event_of(stream, number, self.version)
            if breaks and request.transport is not None and number > 2:
                # Breaks the connection in the middle of an event.
                await response.write(event[:6])
                request.transport.abort()
                break
            if is_endless and number > 2:
                await _write_empty_lines(response)
                break
            await response.write(event)
        return response

    def _is_deadly(self, request: web.Request) -> bool:
        prompt = request.headers.get('X-Prompt-Prefix', '')
        parts = {entry.partition(':')[0] for entry in prompt.split(',')}
        if self.world.deadly_part not in parts:
            return False
        self.world.deadly_arrivals += 1
        return True

    def _end(
        self, request: web.Request, response: web.StreamResponse
    ) -> web.StreamResponse:
        """End as the answer begins, with all answers in progress."""
        self.world.ended_engines.append(self.id)
        self.relay.close()
        if request.transport is not None:
            request.transport.abort()
        return response


async def _write_empty_lines(response: web.StreamResponse) -> None:
    """Write until the connection is closed."""
    with contextlib.suppress(ConnectionError):
        while True:
            await response.write(_EMPTY_LINES)
