"""Filings run twice when the answer of their server is lost."""

from __future__ import annotations

import asyncio
import collections
import random
import sys
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    Client,
    Connection,
    Fleet,
    Message,
    Record,
    Server,
    ServerList,
    client_headers,
    document,
    new_id,
    plain_route,
    run_case,
)

SERVERS = 5
# The largest dose of `answer_lost` at the site: 0.6 of the servers lose 0.4 of
# the answers to requests that they ran, for 4 s.
LOSING_SERVERS = 3
LOST_SHARE = 0.4
LOSING_S = 4.0
REQUESTS = 120
# The pages name no method for a kind of request.
METHODS = ('PUT', 'DELETE', 'GET')
WORK_S = 0.045
DEADLINE_MS = 1500


class Desk(Server):
    """Server that runs each request, and loses some of the answers."""

    losses_left = 0
    is_troubled = False

    async def run(self, request: Message, connection: Connection) -> None:
        """Work, then answer or reset the connection."""
        await asyncio.sleep(WORK_S)
        if self.is_troubled and random.random() < LOST_SHARE:
            self.record.add(
                f'answer lost {request.headers["x-request-id"]} by {self.id}'
            )
            connection.reset()
            return
        await super().run(request, connection)


class Sent(NamedTuple):
    """Method and status of a request, 0 without an answer."""

    method: str
    status: int


async def case(fleet: Fleet, record: Record, is_troubled: bool) -> list[str]:
    """Return the requests that ran more than once."""
    servers: list[Server] = [
        Desk(fleet.server_ip(), 'bobo', number, record)
        for number in range(SERVERS)
    ]
    listing = ServerList(fleet.server_ip(), servers)
    for listener in (*servers, listing):
        await listener.start()
    fleet.list_address = listing.address
    fleet.start_all(is_first=True)
    await fleet.put(
        document(7, [plain_route('filing', 'bobo', 'non_idempotent')])
    )
    await fleet.wait_ready()
    for desk in servers[:LOSING_SERVERS]:
        assert isinstance(desk, Desk)
        desk.is_troubled = is_troubled
    losing_until = record.now() + LOSING_S
    sent: dict[str, Sent] = {}
    for number in range(REQUESTS):
        if record.now() > losing_until:
            for desk in servers:
                assert isinstance(desk, Desk)
                desk.is_troubled = False
        request_id = new_id()
        front = fleet.front(fleet.ips[number % len(fleet.ips)])
        client = await Client.connect(front)
        method = METHODS[number % len(METHODS)]
        record.add(f'send {request_id} {method} by way of {front}')
        answer = await client.call(
            method,
            f'/filing/{number}',
            client_headers(request_id, DEADLINE_MS),
            b'{"filing":%d}' % number if method == 'PUT' else b'',
        )
        client.close()
        sent[request_id] = Sent(method, 0 if answer is None else answer.status)
        record.add(f'answer {request_id} {sent[request_id].status}')
    runs = collections.Counter(
        request_id for desk in servers for request_id in desk.runs
    )
    statuses = collections.Counter(request.status for request in sent.values())
    record.add(f'statuses {dict(statuses)}')
    return [
        f'TWICE {request_id} {request.method} ran {runs[request_id]} times, '
        f'answered {request.status}'
        for request_id, request in sent.items()
        if runs[request_id] > 1
    ]


if __name__ == '__main__':
    run_case(__file__, case)
