"""What all kinds of servers share: identity, executions, faults."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

import msgspec
from aiohttp import web

from tests.common import free_address
from tests.relay import Relay
from tests.soak.platform.world import Sent, World, body_of


class ServerFaults(msgspec.Struct):
    """Shares of the requests that a fault affects."""

    # Runs, then resets the connection.
    lose: float = 0
    # Refuses with the promise that it did not run.
    refuse: float = 0
    # Runs, then answers with status 500.
    error: float = 0
    # Runs, then breaks off inside the body.
    garble: float = 0
    # Sends the answer of another request after the own one.
    extra: float = 0
    slowness: float = 1


class StandinServer:
    """One start of a server, behind a relay that can break connections."""

    def __init__(self, world: World, service: str, rng: random.Random) -> None:
        self.world = world
        self.service = service
        self.rng = rng
        self.id = f'i-{rng.getrandbits(40):010x}'
        self.faults = ServerFaults()
        self.is_draining = False
        # It leaves by its own word; no list says so.
        self.says_leaving = False
        # It turns requests away and asks for a pause, in seconds.
        self.rest_s = 0.0
        # Requests a second that it takes from all hosts together.
        self.limit_per_s: float | None = None
        # Times of the requests that reached it.
        self.arrivals: list[float] = []
        self.relay = Relay(free_address(), free_address())
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen behind the relay."""
        app = web.Application()
        app.on_response_prepare.append(self._speak)
        app.router.add_route('*', '/{path:.*}', self._serve)
        # Work goes on when its connection closes.
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self.relay.target.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()
        await self.relay.__aenter__()

    async def crash(self) -> None:
        """Reset all connections and stop listening."""
        await self.relay.__aexit__()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def entry(self) -> dict[str, Any]:
        """Return the entry in the platform's list."""
        return {
            'id': self.id,
            'service': self.service,
            'address': self.relay.address,
            'zone': 'z1',
            'slots': 8,
            'state': 'draining' if self.is_draining else 'ready',
            'warmup-left-ms': 0,
        }

    def happens(self, share: float) -> bool:
        """Return whether a fault affects this request."""
        return self.rng.random() < share

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        expected = request.headers.get('X-Expect-Instance')
        if expected is not None and expected != self.id:
            return self.not_run(request, 421)
        self.arrivals.append(time.monotonic())
        if self.rest_s or self.happens(self.faults.refuse):
            answer: web.StreamResponse = self.not_run(request, 503)
        else:
            answer = await self.work(request)
        return answer

    async def _speak(
        self,
        _request: web.Request,
        answer: web.StreamResponse,
    ) -> None:
        """Add to any answer what the server says of itself."""
        if self.says_leaving:
            answer.headers['Server-Leaving'] = '1'
        if self.limit_per_s is not None:
            answer.headers['Server-Limit'] = f'{self.limit_per_s}'
        if self.rest_s and answer.status == 503:
            answer.headers['Retry-After'] = f'{self.rest_s}'

    async def work(self, request: web.Request) -> web.StreamResponse:
        """Run a request that is neither refused nor misdirected."""
        raise NotImplementedError

    def begin(self, request: web.Request, body: bytes) -> Sent | None:
        """Note the run of a request and check that it is the client's."""
        request_id = request.headers.get('X-Request-Id', '')
        self.world.note_run(request_id)
        sent = self.world.sent_by_id.get(request_id)
        if sent is None:
            head = (request.method, request.raw_path, dict(request.headers))
            self.world.violate(f'UNASKED {request_id}: {head}')
            return None
        got = (request.method, request.raw_path, body)
        if got != (sent.method, sent.path, sent.body):
            self.world.violate(f'UNASKED {request_id}: {got}')
        tenant = request.headers.get('X-Tenant')
        if tenant != sent.tenant or 'X-Api-Key' in request.headers:
            self.world.violate(f'UNASKED {request_id}: account {tenant}')
        return sent

    def head(self, request: web.Request, status: int) -> dict[str, str]:
        """Return the headers of an answer and note its status."""
        request_id = request.headers.get('X-Request-Id', '')
        self.world.statuses_by_id[request_id].add(status)
        return {
            'X-Request-Id': request_id,
            'X-Server-Stamp': f'{self.id}.{request_id}',
        }

    def not_run(self, request: web.Request, status: int) -> web.Response:
        """Refuse a request that has not run and never will."""
        headers = {**self.head(request, status), 'X-Not-Executed': '1'}
        return web.Response(status=status, headers=headers)

    async def pause(self, seconds: float) -> None:
        """Work for some time."""
        await asyncio.sleep(seconds * self.faults.slowness)

    async def answer(
        self,
        request: web.Request,
        sent: Sent,
    ) -> web.StreamResponse:
        """Answer a plain request, or fail as the faults say."""
        request_id = request.headers['X-Request-Id']
        body = body_of(request_id, sent)
        transport = request.transport
        if self.happens(self.faults.lose) and transport is not None:
            transport.abort()
            return web.Response()
        if self.happens(self.faults.error):
            return web.Response(status=500, headers=self.head(request, 500))
        if self.happens(self.faults.garble):
            headers = {**self.head(request, 200), 'Content-Length': '9999'}
            broken = web.StreamResponse(headers=headers)
            await broken.prepare(request)
            await broken.write(body)
            if transport is not None:
                transport.abort()
            return broken
        if self.happens(self.faults.extra) and transport is not None:
            other = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother'
            asyncio.get_running_loop().call_later(0.01, transport.write, other)
        return web.Response(body=body, headers=self.head(request, 200))
