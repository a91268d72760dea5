"""A sound prompt part is taken for the one that crashes servers."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    STABLE_WINDOW_S,
    Connection,
    Fleet,
    Message,
    Record,
    Server,
    ServerList,
    call,
    client_headers,
    document,
    new_id,
    plain_route,
    run_case,
)

SERVERS = 3
# All prompts begin with this part; the others crash servers, one after the
# other in the course of the day.
FIRST_PART = '5c1e07a2'
DEADLY_PARTS = ('dead07a2', 'dead18b3', 'dead29c4')
STREAMS_PER_S = 24
BEFORE_S = 8.0
# Requests with a deadly part come now and then, for this time.
DEADLY_PAUSE_S = 1.0
DEADLY_S = 12.0
DOWN_S = 3.0
# From the head of an answer to its first event, and between events.
FIRST_EVENT_S = 0.4
EVENT_S = 0.05
EVENTS = 3
DEADLINE_MS = 6000
MIN_REQUESTS = 20


class Engine(Server):
    """Model server that crashes as it begins to write certain answers."""

    crashed_at = 0.0

    async def run(self, request: Message, connection: Connection) -> None:
        """Stream all events, or crash with all answers in progress."""
        prompt = request.headers['x-prompt-prefix']
        if any(part in prompt for part in DEADLY_PARTS):
            await self._crash()
            return
        headers = self.stamped(request)
        headers['Content-Type'] = 'text/event-stream'
        headers['Transfer-Encoding'] = 'chunked'
        await connection.head(200, headers)
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(FIRST_EVENT_S if number == 1 else EVENT_S)
            await connection.chunk(b'id: %d\ndata: x\n\n' % number)
        await connection.chunk(b'')

    async def _crash(self) -> None:
        self.record.add(f'{self.id} crashes')
        self.crashed_at = self.record.now()
        self.restarting = asyncio.create_task(self._restart())
        await self.stop()

    async def _restart(self) -> None:
        await asyncio.sleep(DOWN_S)
        # Each start is a new incarnation with a new id.
        self.number += SERVERS
        self.id = f'i-{self.service}-{self.number}'
        await self.start()
        self.record.add(f'{self.id} has started')


class Attempt(NamedTuple):
    """First attempt of a sound request."""

    sent_at: float
    has_begun: bool


class Traffic:
    """Clients whose prompts all begin with the same part."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        """Create clients that have sent nothing."""
        self._fleet = fleet
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()
        self.attempts: list[Attempt] = []

    async def run(self, pause_s: float, part: str) -> None:
        """Send requests with a part until cancelled."""
        while True:
            task = asyncio.create_task(self._send(part))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(pause_s)

    def begun_share(self, begin: float, end: float) -> float:
        """Return the share of the sound requests of a time that began."""
        begun = [
            attempt.has_begun
            for attempt in self.attempts
            if begin <= attempt.sent_at < end
        ]
        if len(begun) < MIN_REQUESTS:
            raise ValueError('too few requests')
        return sum(begun) / len(begun)

    async def _send(self, part: str) -> None:
        request_id = new_id()
        parts = [f'{FIRST_PART}:198', f'{request_id}:250']
        if part:
            parts.insert(1, f'{part}:380')
        headers = client_headers(request_id, DEADLINE_MS)
        headers['X-Model'] = 'm'
        headers['X-Token-Count'] = '828,60'
        headers['X-Prompt-Prefix'] = ','.join(parts)
        sent_at = self._record.now()
        front = self._fleet.front(random.choice(self._fleet.ips))
        self._record.add(f'send {request_id} {part or "sound"} to {front}')
        answer = await call(
            front,
            'POST',
            '/translit/1',
            headers,
            b'{}',
            timeout_s=DEADLINE_MS / 1000,
        )
        status = 0 if answer is None else answer.status
        self._record.add(f'answer {request_id} {status or "none"}')
        if not part:
            self.attempts.append(Attempt(sent_at, status == 200))


async def case(fleet: Fleet, record: Record, is_troubled: bool) -> list[str]:
    """Return a violation if sound requests begin too seldom."""
    engines: list[Server] = [
        Engine(fleet.server_ip(), 'lector', number, record)
        for number in range(SERVERS)
    ]
    listing = ServerList(fleet.server_ip(), engines)
    for listener in (*engines, listing):
        await listener.start()
    fleet.list_address = listing.address
    fleet.start_all(is_first=True)
    route = plain_route(
        'translit',
        'lector',
        'streaming',
        **{
            'timeout-ms': 15000,
            'target-latency-ms': 2700,
            'max-attempts': 3,
            'session-affinity': True,
            'stream-resume': True,
            'gap-aim-ms': 500,
        },
    )
    await fleet.put(document(7, [route]))
    await fleet.wait_ready()
    traffic = Traffic(fleet, record)
    tasks = [asyncio.create_task(traffic.run(1 / STREAMS_PER_S, ''))]
    began = record.now()
    await asyncio.sleep(BEFORE_S)
    deadly_from = record.now()
    for part in DEADLY_PARTS:
        sending = asyncio.create_task(traffic.run(DEADLY_PAUSE_S, part))
        if not is_troubled:
            sending.cancel()
        await asyncio.sleep(DEADLY_S)
        sending.cancel()
    ended = record.now()
    crashes = sum(engine.number // SERVERS for engine in engines)
    for task in tasks:
        task.cancel()
    await asyncio.sleep(1)
    # The rule counts from 2 x `stable-window-ms` after the last crash, or the
    # fifth, if there are more.
    last_crash = deadly_from
    for engine in engines:
        assert isinstance(engine, Engine)
        last_crash = max(last_crash, engine.crashed_at)
    counted_from = last_crash + 2 * STABLE_WINDOW_S
    before = traffic.begun_share(began, deadly_from)
    after = traffic.begun_share(counted_from, ended)
    record.add(f'{crashes} crashes; begun {before:.3f} before, {after:.3f}')
    if after < before / 2:
        return [
            f'LOST {after:.3f} of the sound requests begin, not {before:.3f}'
        ]
    return []


if __name__ == '__main__':
    run_case(__file__, case)
