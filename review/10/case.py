"""The servers of a service restart one after the other under their ids.

Judged is which share of the requests is served once all of them are back.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import lab  # noqa: E402

# Time from the entry in the list that shows the server as draining until it
# ends: the bound `drain-ms` and a little longer.
DRAIN_S = 3.5
# The list lags by `max-lag-ms`.
LAG_S = 0.8
# Time for which a server is down.
DOWN_S = 1.5
WAIT_S = 1.0
RESTART_S = DRAIN_S + DOWN_S + WAIT_S + 2 * LAG_S
# From the end of the last restart until the requests count: as long as the
# bound `recovery-s`.
RECOVERY_S = 12.0
JUDGED_S = 12.0
GAP_S = 0.05


class Case:
    """The servers that are leaving."""

    def __init__(self) -> None:
        """Start with servers that stay."""
        self.leaving: set[str] = set()

    async def work(
        self,
        server: lab.Server,
        request: lab.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a plain request; a server that leaves says so."""
        request_id = request.headers['x-request-id']
        server.ran.append(request_id)
        await asyncio.sleep(0.02)
        fields = ('Server-Leaving: 1',) if server.id in self.leaving else ()
        body = f'body of {request_id}'.encode()
        writer.write(lab.answer(request, server, 200, body, *fields))

    async def restart(self, deployment: lab.Lab, server: lab.Server) -> None:
        """Drain a server, end it, and start it again under its id."""
        deployment.note(f'{server.id} leaves')
        self.leaving.add(server.id)
        await asyncio.sleep(LAG_S)
        server.entry['state'] = 'draining'
        await asyncio.sleep(DRAIN_S)
        server.stop()
        deployment.note(f'{server.id} has ended')
        await asyncio.sleep(LAG_S)
        server.is_listed = False
        await asyncio.sleep(DOWN_S - LAG_S)
        server.ran.clear()
        await server.start()
        self.leaving.discard(server.id)
        deployment.note(f'{server.id} has started again')
        await asyncio.sleep(LAG_S)
        server.entry['state'] = 'ready'
        server.is_listed = True
        await asyncio.sleep(WAIT_S)


async def served(
    deployment: lab.Lab, path: str, seconds: float
) -> tuple[int, int]:
    """Send requests at each machine; return how many, and how many served."""
    found: list[int] = []

    async def one(entry: str) -> None:
        headers = lab.client_headers(1500)
        got = await lab.call(
            deployment.front(entry), 'GET', path, headers, timeout_s=1.5
        )
        deployment.note(
            f'{path} at {entry} {headers["X-Request-Id"]}: status '
            f'{got.status} {got.body[:60]!r}'
        )
        found.append(got.status)

    tasks = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        entry = deployment.entries[len(tasks) % len(deployment.entries)]
        tasks.append(asyncio.create_task(one(entry)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)
    return len(found), found.count(200)


async def run() -> int:
    """Play the case; return the exit code."""
    deployment = lab.Lab(__file__)
    case = Case()
    try:
        for service in ('desk', 'registry'):
            for _ in range(3):
                await deployment.add_server(service, case.work)
        await deployment.start(entries=2, controls=3)
        config = lab.configuration()
        other = {
            **config['routes'][0],
            'name': 'other',
            'path-prefix': '/other/',
            'service': 'registry',
        }
        config['routes'].append(other)
        config['services'].append({**config['services'][0], 'name': 'registry'})
        await deployment.configure(config)
        asked, answered = await served(deployment, '/read/x', 3.0)
        if answered < asked:
            raise lab.NotRunError(f'{answered} of {asked} served in calm')
        load = asyncio.create_task(served(deployment, '/read/x', 3 * RESTART_S))
        if deployment.has_trouble:
            for server in deployment.servers[:3]:
                await case.restart(deployment, server)
        await load
        await asyncio.sleep(RECOVERY_S)
        (asked, answered), (others, others_answered) = await asyncio.gather(
            served(deployment, '/read/x', JUDGED_S),
            served(deployment, '/other/x', JUDGED_S),
        )
        share = answered / asked
        overall = (answered + others_answered) / (asked + others)
        summary = (
            f'served after the restarts: {answered} of {asked}, of the other '
            f'kind {others_answered} of {others}'
        )
        deployment.note(summary)
        print(summary)
        return lab.BROKEN if share < overall / 4 else lab.HELD
    finally:
        await deployment.stop()


lab.main(run)
