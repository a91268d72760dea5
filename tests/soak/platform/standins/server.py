"""Base of all stand-in servers: identity, executions and faults."""

from __future__ import annotations

import asyncio
import bisect
import itertools
import math
import random
import time
from typing import Any, Final

import msgspec
from aiohttp import web

from tests.common import free_address
from tests.relay import Relay
from tests.soak.platform.world import SentRequest, World, expected_body

# How long servers of the services that warm up are cold, and the requests per
# second that they take meanwhile; a second may have 1.5 times as many plus 5.
WARMUP_S: Final = 3.0
WARMUP_PER_S: Final = 3.0
WARMING_SERVICES: Final = ('desk',)
MAX_COLD_ARRIVALS: Final = WARMUP_PER_S * 1.5 + 5


# Statuses of failures, by turns. Without a header that proves it, none of them
# shows that a request did not run.
ERROR_STATUSES: Final = (500, 503, 429, 408)


class ServerFaults(msgspec.Struct):
    """Share of the requests that each fault affects."""

    # Executes the request, then resets the connection.
    lose: float = 0
    # Refuses the request and reports that it was not executed.
    refuse: float = 0
    # Executes the request, then answers with one of `ERROR_STATUSES`.
    error: float = 0
    # Executes the request, then truncates the body of the answer; a stream
    # goes on with empty lines without end.
    garble: float = 0
    # Sends an unrelated answer after the right one.
    extra: float = 0
    # Factor on the processing time.
    slowness: float = 1


class StandinServer:
    """One server instance behind a relay that can break connections."""

    def __init__(self, world: World, service: str, rng: random.Random) -> None:
        self.world = world
        self.service = service
        self.zone = 'z1'
        self.rng = rng
        self.id = f'i-{rng.getrandbits(40):010x}'
        # Version of the software, as the list tells it.
        self.version = 'v1'
        self.faults = ServerFaults()
        self._error_statuses = itertools.cycle(ERROR_STATUSES)
        self.is_draining = False
        # Announces that it is leaving, which the list does not show.
        self.announces_leaving = False
        # If not 0, refuses requests and asks for a pause of this length.
        self.pause_s = 0.0
        # Announced limit for the requests per second of all hosts together.
        self.limit_per_s: float | None = None
        # Arrival times of the requests.
        self.arrivals: list[float] = []
        # The server is cold until this time.
        self.cold_until = 0.0
        self.relay = Relay(free_address(), free_address())
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen behind the relay."""
        app = web.Application()
        app.on_response_prepare.append(self._add_server_headers)
        app.router.add_route('*', '/{path:.*}', self._serve)
        # Handlers are not cancelled when their connection closes.
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self.relay.target.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()
        await self.relay.__aenter__()

    def become_cold(self) -> None:
        """Become cold, if the service warms up."""
        if self.service in WARMING_SERVICES:
            self.cold_until = time.monotonic() + WARMUP_S

    @property
    def warmup_left_ms(self) -> int:
        """Return how long the server stays cold."""
        left_s = max(self.cold_until - time.monotonic(), 0)
        return math.ceil(left_s * 1000)

    async def crash(self) -> None:
        """Reset all connections and stop listening."""
        await self.relay.__aexit__()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def entry(self) -> dict[str, Any]:
        """Return this server's entry in the platform's list."""
        return {
            'id': self.id,
            'service': self.service,
            'address': self.relay.address,
            'zone': self.zone,
            'version': self.version,
            'slots': 8,
            'state': 'draining' if self.is_draining else 'ready',
            'warmup-left-ms': self.warmup_left_ms,
        }

    def is_affected(self, share: float) -> bool:
        """Return at random whether a fault affects the current request."""
        return self.rng.random() < share

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        expected = request.headers.get('X-Expect-Instance')
        if expected is not None and expected != self.id:
            return self.not_run(request, 421)
        self.arrivals.append(time.monotonic())
        self._check_cold()
        if self.pause_s or self.is_affected(self.faults.refuse):
            answer: web.StreamResponse = self.not_run(request, 503)
        else:
            answer = await self.work(request)
        return answer

    def _check_cold(self) -> None:
        """Check that a cold server gets few requests in any second."""
        now = self.arrivals[-1]
        cold_from = self.cold_until - WARMUP_S
        since = max(cold_from, now - 1)
        count = len(self.arrivals) - bisect.bisect(self.arrivals, since)
        if now < self.cold_until and count > MAX_COLD_ARRIVALS:
            self.world.record_violation(
                f'COLD {self.id}: {count} in a second, '
                f'{now - cold_from:.2f} s after the start'
            )

    async def _add_server_headers(
        self,
        _request: web.Request,
        answer: web.StreamResponse,
    ) -> None:
        """Add the headers in which the server announces its state."""
        if self.announces_leaving:
            answer.headers['Server-Leaving'] = '1'
        if self.limit_per_s is not None:
            answer.headers['Server-Limit'] = f'{self.limit_per_s}'
        if self.pause_s and answer.status == 503:
            answer.headers['Retry-After'] = f'{self.pause_s}'

    async def work(self, request: web.Request) -> web.StreamResponse:
        """Execute a request that is neither refused nor misdirected."""
        raise NotImplementedError

    def record_and_verify(
        self, request: web.Request, body: bytes
    ) -> SentRequest | None:
        """Record an execution and check the request against the one sent.

        Return None if no client sent a request of this id.
        """
        request_id = request.headers.get('X-Request-Id', '')
        self.world.record_execution(request_id)
        sent = self.world.sent_by_id.get(request_id)
        if sent is None:
            head = (request.method, request.raw_path, dict(request.headers))
            self.world.record_violation(f'UNASKED {request_id}: {head}')
            return None
        got = (request.method, request.raw_path, body)
        if got != (sent.method, sent.path, sent.body):
            self.world.record_violation(f'UNASKED {request_id}: {got}')
        tenant = request.headers.get('X-Tenant')
        if tenant != sent.tenant or 'X-Api-Key' in request.headers:
            self.world.record_violation(
                f'UNASKED {request_id}: account {tenant}'
            )
        return sent

    def answer_headers(
        self, request: web.Request, status: int
    ) -> dict[str, str]:
        """Return the headers of an answer and record its status."""
        request_id = request.headers.get('X-Request-Id', '')
        self.world.statuses_by_id[request_id].add(status)
        return {
            'X-Request-Id': request_id,
            'X-Server-Stamp': f'{self.id}.{request_id}',
        }

    def not_run(self, request: web.Request, status: int) -> web.Response:
        """Refuse a request and report that it is not executed."""
        headers = {
            **self.answer_headers(request, status),
            'X-Not-Executed': '1',
        }
        return web.Response(status=status, headers=headers)

    def failure(self, request: web.Request) -> web.Response:
        """Fail a request that has been executed."""
        status = next(self._error_statuses)
        headers = self.answer_headers(request, status)
        return web.Response(status=status, headers=headers)

    async def simulate_work(self, seconds: float) -> None:
        """Sleep for a processing time, longer while the server is slowed."""
        await asyncio.sleep(seconds * self.faults.slowness)

    async def answer(
        self,
        request: web.Request,
        sent: SentRequest,
    ) -> web.StreamResponse:
        """Answer a plain request, or fail as the active faults demand."""
        request_id = request.headers['X-Request-Id']
        body = expected_body(request_id, sent)
        transport = request.transport
        if self.is_affected(self.faults.lose) and transport is not None:
            transport.abort()
            return web.Response()
        if self.is_affected(self.faults.error):
            return self.failure(request)
        if self.is_affected(self.faults.garble):
            headers = {
                **self.answer_headers(request, 200),
                'Content-Length': '9999',
            }
            broken = web.StreamResponse(headers=headers)
            await broken.prepare(request)
            await broken.write(body)
            if transport is not None:
                transport.abort()
            return broken
        if self.is_affected(self.faults.extra) and transport is not None:
            other = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother'
            asyncio.get_running_loop().call_later(0.01, transport.write, other)
        return web.Response(
            body=body, headers=self.answer_headers(request, 200)
        )
