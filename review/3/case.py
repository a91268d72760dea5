"""A valid configuration makes machines deaf to all later ones."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    CONFIG_APPLY_S,
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

SERVERS = 2
EVENTS = 3
PIECES = 3
USUAL_MS = 2.0
DEADLINE_MS = 8000
# Requests to the new route of each machine, and the pause between them.
PROBES = 5
PROBE_PAUSE_S = 0.5


class StageServer(Server):
    """Server of a stage; its calls take less than a millisecond."""

    async def handle(self, request: Message, connection: Connection) -> None:
        """Compute all pieces of a call, or free results."""
        answer: dict[str, Any] = {}
        if request.words[1] == '/stage-run':
            items = json.loads(request.body)['items']
            self.record.add(f'pieces at {self.id}: {json.dumps(items)}')
            answer['items'] = [
                {'handle': f'{self.address}/{new_id()}'} for _ in items
            ]
        headers = {
            'Content-Type': 'application/json',
            'X-Server-Load': '0,0,1',
        }
        await connection.answer(200, headers, json.dumps(answer).encode())


class Engine(Server):
    """Model server with short streams."""

    async def run(self, request: Message, connection: Connection) -> None:
        """Stream all events."""
        headers = self.stamped(request)
        headers['Content-Type'] = 'text/event-stream'
        headers['Transfer-Encoding'] = 'chunked'
        await connection.head(200, headers)
        for number in range(1, EVENTS + 1):
            await connection.chunk(b'id: %d\ndata: x\n\n' % number)
        await connection.chunk(b'')


def configuration(
    version: int, stage_ms: float, *, has_new_route: bool = False
) -> dict[str, Any]:
    """Return a configuration whose stage takes `stage_ms` a call and piece."""
    plan = plain_route(
        'plan',
        'lector',
        'streaming',
        **{
            'timeout-ms': 20000,
            'target-latency-ms': 2700,
            'stages': [{'service': 'ledger', 'after': [], 'bytes': 8000}],
            'session-affinity': True,
            'stream-resume': False,
            'gap-aim-ms': 500,
        },
    )
    routes = [plain_route('read', 'board', 'idempotent'), plan]
    if has_new_route:
        routes.append(plain_route('new', 'board', 'idempotent'))
    content = document(version, routes)
    content['services'].append(
        {
            'name': 'ledger',
            'health-path': '/health',
            'max-connections': 390,
            'protocol': 'h1',
            'tls': False,
            'pieces': {
                'slots': 1,
                'queue': 2,
                'batch': 4,
                'call-ms': stage_ms,
                'item-ms': stage_ms,
                'headroom-mb': 4.8,
                'handle-s': 4.0,
                'link-mbps': 10000,
            },
        }
    )
    return content


async def send_plans(fleet: Fleet, record: Record) -> None:
    """Send a request with a stage by way of each machine."""
    for ip in fleet.ips:
        request_id = new_id()
        headers = client_headers(request_id, DEADLINE_MS)
        headers['X-Model'] = 'm'
        headers['X-Token-Count'] = '828,60'
        headers['X-Prompt-Prefix'] = f'5c1e07a2:198,{request_id}:630'
        headers['X-Pieces'] = str(PIECES)
        headers['X-Piece-Key'] = '7c1e07a291bd'
        record.add(f'send {request_id} plan by way of {ip}')
        answer = await call(
            fleet.front(ip),
            'POST',
            '/plan/1',
            headers,
            b'{}',
            timeout_s=DEADLINE_MS / 1000,
        )
        status = 0 if answer is None else answer.status
        record.add(f'answer {request_id} {status or "none"}')


async def probe(fleet: Fleet, record: Record, ip: str) -> int:
    """Return the status of a request on the new route."""
    request_id = new_id()
    headers = client_headers(request_id, DEADLINE_MS)
    record.add(f'send {request_id} new by way of {ip}')
    answer = await call(fleet.front(ip), 'GET', '/new/1', headers)
    status = 0 if answer is None else answer.status
    record.add(f'answer {request_id} {status or "none"}')
    return status


async def case(fleet: Fleet, record: Record, is_troubled: bool) -> list[str]:
    """Return the requests that are handled as older versions demand."""
    ip = fleet.server_ip()
    servers: list[Server] = []
    for number in range(SERVERS):
        servers.append(Server(ip, 'board', number, record))
        servers.append(StageServer(ip, 'ledger', number, record))
        servers.append(Engine(ip, 'lector', number, record))
    listing = ServerList(ip, servers)
    for listener in (*servers, listing):
        await listener.start()
    fleet.list_address = listing.address
    fleet.start_all(is_first=True)
    await fleet.put(configuration(7, USUAL_MS))
    await fleet.wait_ready()
    await send_plans(fleet, record)
    await fleet.put(configuration(8, 0.0 if is_troubled else USUAL_MS / 2))
    await asyncio.sleep(CONFIG_APPLY_S)
    await send_plans(fleet, record)
    await fleet.put(configuration(9, USUAL_MS, has_new_route=True))
    acknowledged_at = record.now()
    await asyncio.sleep(CONFIG_APPLY_S + STABLE_WINDOW_S)
    violations = []
    for _ in range(PROBES):
        for machine in fleet.ips:
            sent_s = record.now() - acknowledged_at
            status = await probe(fleet, record, machine)
            if status == 404:
                violations.append(
                    f'CONFIG {machine} answers 404 on a route of version 9, '
                    f'{sent_s:.1f} s after its acknowledgement'
                )
        await asyncio.sleep(PROBE_PAUSE_S)
    return violations


if __name__ == '__main__':
    run_case(__file__, case)
