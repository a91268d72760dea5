"""A server runs a request that may run once, then answers 503, 429 or 408.

The answers do not carry `X-Not-Executed`. Judged is what the client is told.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import lab  # noqa: E402

FILINGS = 240
# The doses of `srv_grey`: one server of seven, and the share of its requests.
SERVERS = 7
FAILED_SHARE = 0.4
AT_ONCE = 4
PROMISES = (408, 421, 429, 503)
# What the server in trouble answers, by turns.
FAILURES = (503, 429, 408, 500)


class Case:
    """The servers, and which of them is in trouble."""

    def __init__(self) -> None:
        """Start with sound servers."""
        self.bad: lab.Server | None = None
        self.failures = 0
        self.runs_of_bad = 0
        # The filings that servers have carried out, by body.
        self.filed: list[bytes] = []

    async def work(
        self,
        server: lab.Server,
        request: lab.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        """File what a request holds, and answer it."""
        request_id = request.headers['x-request-id']
        server.ran.append(request_id)
        self.filed.append(request.body)
        await asyncio.sleep(0.02)
        status = 200
        body = f'body of {request_id}'.encode()
        if server is self.bad and self._fails():
            status = FAILURES[self.failures % len(FAILURES)]
            self.failures += 1
            body = b'failed'
        writer.write(lab.answer(request, server, status, body))

    def _fails(self) -> bool:
        """Return whether the next run of the server in trouble fails."""
        self.runs_of_bad += 1
        return self.failures < FAILED_SHARE * self.runs_of_bad


async def file_once(
    deployment: lab.Lab, case: Case, number: int
) -> tuple[bool, bool]:
    """File like a client; return whether a promise was false, and doubled."""
    body = f'filing {number}'.encode()
    is_false = False
    for attempt in range(2):
        headers = lab.client_headers(1500)
        request_id = headers['X-Request-Id']
        got = await lab.call(
            deployment.front('entry-1'),
            'POST',
            '/act/file',
            headers,
            body,
            timeout_s=1.5,
        )
        ran_at = [
            server.id
            for server in deployment.servers
            for ran in server.ran
            if ran == request_id
        ]
        deployment.note(
            f'{body.decode()} attempt {attempt + 1} {request_id}: status '
            f'{got.status}, ran at {",".join(ran_at) or "no server"}'
        )
        if got.status not in PROMISES:
            break
        is_false = is_false or bool(ran_at)
        # The answer promises that the request has not run.
        await asyncio.sleep(0.1)
    return is_false, case.filed.count(body) > 1


async def run() -> int:
    """Play the case; return the exit code."""
    deployment = lab.Lab(__file__)
    case = Case()
    try:
        for _ in range(SERVERS):
            await deployment.add_server('desk', case.work)
        await deployment.start(entries=1, controls=1)
        await deployment.configure(lab.configuration())
        if deployment.has_trouble:
            case.bad = deployment.servers[0]
        results: list[tuple[bool, bool]] = []
        numbers = iter(range(FILINGS))

        async def client() -> None:
            for number in numbers:
                results.append(await file_once(deployment, case, number))

        await asyncio.gather(*(client() for _ in range(AT_ONCE)))
        false = sum(is_false for is_false, _ in results)
        doubled = sum(is_doubled for _, is_doubled in results)
        summary = (
            f'{FILINGS} filings, {false} told "not run" after they had run, '
            f'{doubled} filed twice'
        )
        deployment.note(summary)
        print(summary)
        return lab.BROKEN if false else lab.HELD
    finally:
        await deployment.stop()


lab.main(run)
