"""Servers that restart under their ids are never used again."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    DRAIN_S,
    NOT_RUN_STATUSES,
    Fleet,
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

# Two releases, each of half of the servers, one server after the other.
PUSH_SERVERS = 4
READ_SERVERS = 2
PUSHES_PER_S = 15
READS_PER_S = 45
# Within `max-lag-ms` of the site, 800.
LIST_LAG_S = 0.7
BEFORE_S = 1.0
# A server serves for this long after the list shows it as draining.
LEAVING_S = DRAIN_S + 0.2
# It is down for this long; it is missing in the list meanwhile.
DOWN_S = 0.6
DAY_S = 80.0
DEADLINE_MS = 1000
# The largest share of the time left that a client waits before a retry.
MAX_WAIT_S = DEADLINE_MS / 1000 / 3


class Traffic:
    """Clients of both kinds of request, which retry once."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        """Create clients that have sent nothing."""
        self._fleet = fleet
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent: Counter[str] = Counter()
        self.served: Counter[str] = Counter()

    async def run(self, name: str, method: str, per_s: float) -> None:
        """Send requests of a kind until cancelled."""
        while True:
            task = asyncio.create_task(self._request(name, method))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_s)

    async def _request(self, name: str, method: str) -> None:
        self.sent[name] += 1
        for _ in range(2):
            status = await self._attempt(name, method)
            if status == 200:
                self.served[name] += 1
                return
            if status not in NOT_RUN_STATUSES:
                return
            await asyncio.sleep(MAX_WAIT_S)

    async def _attempt(self, name: str, method: str) -> int:
        request_id = new_id()
        front = self._fleet.front(random.choice(self._fleet.ips))
        self._record.add(f'send {request_id} {name} by way of {front}')
        answer = await call(
            front,
            method,
            f'/{name}/1',
            client_headers(request_id, DEADLINE_MS),
            timeout_s=DEADLINE_MS / 1000,
        )
        status = 0 if answer is None else answer.status
        self._record.add(f'answer {request_id} {status or "none"}')
        return status


async def restart(server: Server, record: Record) -> None:
    """Restart a server in its place: it leaves first, then starts again."""
    server.state = 'draining'
    record.add(f'{server.id} is draining')
    await asyncio.sleep(LEAVING_S)
    server.state = 'gone'
    await server.stop()
    record.add(f'{server.id} has ended')
    await asyncio.sleep(DOWN_S)
    server.born_ms = int(time.time() * 1000)
    server.state = 'ready'
    await server.start()
    record.add(f'{server.id} has started again, born {server.born_ms}')


async def case(fleet: Fleet, record: Record, is_troubled: bool) -> list[str]:
    """Return a violation if one kind of request is starved."""
    ip = fleet.server_ip()
    push = [Server(ip, 'board', n, record) for n in range(PUSH_SERVERS)]
    read = [Server(ip, 'hymns', n, record) for n in range(READ_SERVERS)]
    listing = ServerList(ip, [*push, *read], LIST_LAG_S)
    for listener in (*push, *read, listing):
        await listener.start()
    fleet.list_address = listing.address
    fleet.start_all(is_first=True)
    routes = [
        plain_route('push', 'board', 'non_idempotent'),
        plain_route('read', 'hymns', 'idempotent'),
    ]
    await fleet.put(document(7, routes))
    await fleet.wait_ready()
    traffic = Traffic(fleet, record)
    tasks = [
        asyncio.create_task(traffic.run('push', 'POST', PUSHES_PER_S)),
        asyncio.create_task(traffic.run('read', 'GET', READS_PER_S)),
    ]
    ends_at = record.now() + DAY_S
    await asyncio.sleep(BEFORE_S)
    if is_troubled:
        for server in push:
            await restart(server, record)
    restarted_at = record.now()
    runs_before = sum(len(server.runs) for server in push)
    await asyncio.sleep(ends_at - record.now())
    for task in tasks:
        task.cancel()
    runs_since = sum(len(server.runs) for server in push) - runs_before
    pushed = traffic.served['push'] / traffic.sent['push']
    every = traffic.served.total() / traffic.sent.total()
    record.add(
        f'served of push {pushed:.3f}, of all {every:.3f}; requests that '
        f'reached the restarted servers in {ends_at - restarted_at:.0f} s: '
        f'{runs_since}'
    )
    if pushed < every / 4:
        return [f'Starved push served {pushed:.3f}, all {every:.3f}']
    return []


if __name__ == '__main__':
    run_case(__file__, case)
