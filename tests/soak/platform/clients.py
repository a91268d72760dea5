"""Clients and an operator that check every answer they receive."""

from __future__ import annotations

import asyncio
import random
import re
import time
from typing import Final

import aiohttp

from tests.soak.platform.fleet import (
    API_KEY,
    FRONT_PORT,
    HOST_NAME,
    TENANT,
    PlatformFleet,
    put_until_acknowledged,
)
from tests.soak.platform.world import (
    NOT_RUN_STATUSES,
    SentRequest,
    event_count,
    event_of,
    expected_body,
)

ROUTES: Final = ('read', 'act', 'plan', 'ask')
CLIENTS: Final = 16
DEADLINE_S: Final = 6.0
ATTEMPTS: Final = 3
# The platform's bound from the acknowledgement of a configuration until it
# is in force.
MAX_APPLY_S: Final = 2.0
ACK_TIMEOUT_S: Final = 30.0
_TIMEOUT: Final = aiohttp.ClientTimeout(total=DEADLINE_S + 2)
_EMPTY_LINES: Final = re.compile(rb'\n{3,}')
_CONNECTION_ERRORS: Final = (aiohttp.ClientError, TimeoutError, OSError)


class Clients:
    """Concurrent clients with keep-alive connections, and one operator."""

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        self._fleet = fleet
        self._seed = seed
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self.version = 1
        # Share of the requests to engines whose prompts have the deadly part.
        self.deadly_share = 0.0

    def start(self) -> None:
        """Start all clients, the operator and the configuration reader."""
        for number in range(CLIENTS):
            rng = random.Random(self._seed * 1000 + number)
            self._tasks.append(asyncio.create_task(self._client(rng)))
        self._tasks.append(asyncio.create_task(self._operator()))
        self._tasks.append(asyncio.create_task(self._reader()))

    async def stop(self) -> None:
        """Stop after the requests in flight have ended."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _client(self, rng: random.Random) -> None:
        async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
            while not self._stopping:
                await self.request(session, rng, rng.choice(ROUTES))
                await asyncio.sleep(rng.uniform(0, 0.2))

    async def request(
        self,
        session: aiohttp.ClientSession,
        rng: random.Random,
        route: str,
        entry: str = '',
    ) -> bool:
        """Send a request, with retries where the route allows them.

        Return whether an attempt succeeded.
        """
        path = f'/{route}/{rng.getrandbits(32):x}?q=%2f'
        for _ in range(ATTEMPTS):
            chosen = entry or rng.choice(self._fleet.entries)
            status = await self._attempt(session, rng, route, path, chosen)
            if status == 200:
                self._fleet.world.served[route] += 1
                return True
            may_repeat = status in NOT_RUN_STATUSES or route in {'read', 'ask'}
            if not may_repeat:
                return False
            await asyncio.sleep(rng.uniform(0.05, 0.3))
        return False

    async def _attempt(
        self,
        session: aiohttp.ClientSession,
        rng: random.Random,
        route: str,
        path: str,
        entry: str,
    ) -> int:
        """Return the status, or 0 without a complete answer."""
        world = self._fleet.world
        request_id = f'{rng.getrandbits(64):016x}'
        method = 'GET' if route == 'read' else 'POST'
        body = b'' if method == 'GET' else rng.randbytes(rng.randrange(1, 3000))
        headers = {
            'Host': HOST_NAME,
            'X-Request-Id': request_id,
            'X-Api-Key': API_KEY,
            'X-Tenant': 'somebody-else',
            'X-Deadline-Ms': str(int(DEADLINE_S * 1000)),
        }
        sent = SentRequest(method, path, body, TENANT, route in {'read', 'ask'})
        if route in {'plan', 'ask'}:
            headers |= {
                'X-Model': 'm',
                'X-Token-Count': '1460,80',
                'X-Prompt-Prefix': self._prompt(request_id, rng),
            }
        if route == 'plan':
            pieces = (rng.randrange(1, 4), rng.randrange(1, 5))
            sent = sent._replace(pieces=pieces, piece_key=f'k-{request_id}')
            headers |= {
                'X-Pieces': ','.join(map(str, pieces)),
                'X-Piece-Key': sent.piece_key,
            }
        world.sent_by_id[request_id] = sent
        url = f'http://{self._fleet.ip(entry)}:{FRONT_PORT}{path}'
        try:
            async with session.request(
                method,
                aiohttp.client.URL(url, encoded=True),
                headers=headers,
                data=body or None,
            ) as reply:
                signed = 'X-Server-Stamp' in reply.headers
                status = reply.status
                world.record_answer(request_id, status, is_signed=signed)
                answer = await reply.read()
        except _CONNECTION_ERRORS:
            return 0
        if status == 200:
            self._check_body(request_id, sent, route, answer)
        return status

    def _prompt(self, request_id: str, rng: random.Random) -> str:
        own = f'{request_id}:250'
        if self.deadly_share and rng.random() < self.deadly_share:
            return f'5c1e:800,{self._fleet.world.deadly_part}:300,{own}'
        return f'5c1e:800,{own}'

    def _check_body(
        self,
        request_id: str,
        sent: SentRequest,
        route: str,
        answer: bytes,
    ) -> None:
        expected = expected_body(request_id, sent)
        if route in {'plan', 'ask'}:
            # Empty lines between events are no content.
            answer = _EMPTY_LINES.sub(b'\n\n', answer)
            version = answer.strip().rpartition(b' ')[2].decode('latin-1')
            expected = b''.join(
                event_of(request_id, number, version)
                for number in range(1, event_count(request_id) + 1)
            )
        if answer != expected:
            self._fleet.world.record_violation(
                f'MIXED {request_id}: {answer[:300]!r}'
            )

    async def _operator(self) -> None:
        """Store new configurations, some of them in quick succession."""
        rng = random.Random(self._seed)
        async with aiohttp.ClientSession() as session:
            while not self._stopping:
                self.version += rng.randrange(1, 4)
                await put_until_acknowledged(
                    self._fleet,
                    session,
                    self.version,
                    ACK_TIMEOUT_S,
                )
                await asyncio.sleep(rng.choice((0.06, 0.06, 1.0)))

    async def _reader(self) -> None:
        """Check that no configuration read is older than the one in force."""
        rng = random.Random(self._seed + 1)
        world = self._fleet.world
        async with aiohttp.ClientSession() as session:
            while not self._stopping:
                began = time.monotonic()
                oldest_allowed = max(
                    (
                        version
                        for at, version in world.acknowledged
                        if at < began - MAX_APPLY_S
                    ),
                    default=0,
                )
                control = rng.choice(self._fleet.controls)
                shown = await self._fleet.get(session, control)
                if shown is not None and shown['version'] < oldest_allowed:
                    world.record_violation(
                        f'CONFIG {control} shows {shown["version"]}, '
                        f'{oldest_allowed} is acknowledged',
                    )
                await asyncio.sleep(rng.uniform(0, 0.3))
