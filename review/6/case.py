"""One server in trouble answers streams with empty lines without end.

Ordinary requests to the sound servers of another service are judged.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import lab  # noqa: E402

CALM_S = 6.0
TROUBLE_S = 16.0
# From the configuration, and the rule's further time.
TIMEOUT_S = 1.5
AFTER_S = 0.5
MIN_LATE = 8
STABLE_S = 3.0
# The sheet has 15.6 streams a second at 12 machines; here are two.
STREAM_GAP_S = 0.385
MODEL_SERVERS = 6
SHARED_PARTS = 7
# Clients leave a stream after four times its aim without an event.
STREAM_PATIENCE_S = 6.0
EMPTY_LINES = b'\n' * 65536


class Case:
    """The servers, and which of them is in trouble."""

    def __init__(self, deployment: lab.Lab) -> None:
        """Start with sound servers."""
        self.lab = deployment
        self.bad: lab.Server | None = None
        self.bad_bytes = 0
        self.streams = 0
        self.whole_streams = 0

    async def work(
        self,
        server: lab.Server,
        request: lab.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a plain request, or write a stream."""
        request_id = request.headers['x-request-id']
        server.ran.append(request_id)
        if server.service == 'desk':
            await asyncio.sleep(0.02)
            body = f'body of {request_id}'.encode()
            writer.write(lab.answer(request, server, 200, body))
            return
        writer.write(
            lab.answer_head(
                request,
                server,
                200,
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            )
        )
        if server is self.bad:
            while True:
                _write_chunk(writer, EMPTY_LINES)
                await writer.drain()
                self.bad_bytes += len(EMPTY_LINES)
        for number in range(1, 11):
            await asyncio.sleep(0.1)
            _write_chunk(writer, f'id: {number}\ndata: x\n\n'.encode())
            await writer.drain()
        _write_chunk(writer, b'')

    async def streams_forever(self) -> None:
        """Begin a stream at each entry process by turns."""
        tasks = set()
        number = 0
        while True:
            entry = self.lab.entries[number % len(self.lab.entries)]
            number += 1
            task = asyncio.create_task(self.stream(entry, number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(STREAM_GAP_S)

    async def stream(self, entry: str, number: int) -> None:
        """Read a stream like a client, which leaves without events."""
        headers = lab.client_headers(
            15000,
            **{
                'X-Model': 'm',
                'X-Token-Count': '1000,50',
                # Requests share the first part; the last one is their own.
                'X-Prompt-Prefix': (
                    f'5c1e{number % SHARED_PARTS:02d}:750,'
                    f'{secrets.token_hex(4)}:250'
                ),
            },
        )
        self.streams += 1
        fields = ''.join(
            f'{name}: {text}\r\n' for name, text in headers.items()
        )
        writer = None
        events = 0
        try:
            async with asyncio.timeout(STREAM_PATIENCE_S) as patience:
                reader, writer = await asyncio.open_connection(
                    *self.lab.front(entry)
                )
                writer.write(
                    f'POST /ask/x HTTP/1.1\r\n{fields}'
                    'Content-Length: 2\r\n\r\n{}'.encode()
                )
                while data := await reader.read(65536):
                    found = data.count(b'id: ')
                    events += found
                    if found:
                        now = asyncio.get_running_loop().time()
                        patience.reschedule(now + STREAM_PATIENCE_S)
                    if data.endswith(b'0\r\n\r\n'):
                        self.whole_streams += 1
                        return
        except (OSError, TimeoutError):
            return
        finally:
            if writer is not None:
                writer.close()


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b'%x\r\n%s\r\n' % (len(data), data))


def judge(deployment: lab.Lab, results: Path, since: float) -> int:
    """Apply the rule to the requests sent from a moment on."""
    sent = 0
    late = 0
    silent = 0
    for line in sorted(results.read_text().splitlines()):
        at, status, took_s, own = line.split()
        deployment.note(
            f'read sent {at} status {status} took {took_s} own {own}'
        )
        if float(at) < since:
            continue
        sent += 1
        is_answered = int(status) > 0
        late += float(took_s) > TIMEOUT_S
        silent += float(took_s) > TIMEOUT_S + AFTER_S or not is_answered
    deployment.note(
        f'sent {sent}, unanswered at the timeout {late}, half a second later '
        f'{silent}'
    )
    print(f'sent {sent}, late {late}, still unanswered {silent}')
    return lab.BROKEN if late >= MIN_LATE and 2 * silent > late else lab.HELD


async def run() -> int:
    """Play the case; return the exit code."""
    deployment = lab.Lab(__file__)
    case = Case(deployment)
    streams = None
    try:
        for _ in range(3):
            await deployment.add_server('desk', case.work)
        for _ in range(MODEL_SERVERS):
            await deployment.add_server('llm', case.work, slots=64)
        await deployment.start(entries=2, controls=3)
        config = lab.configuration()
        config['routes'][0]['timeout-ms'] = int(TIMEOUT_S * 1000)
        await deployment.configure(config)
        streams = asyncio.create_task(case.streams_forever())
        await asyncio.sleep(CALM_S)
        deployment.note(
            f'calm: {case.streams} streams, {case.whole_streams} whole'
        )
        if not case.whole_streams:
            raise lab.NotRunError('no stream was served in calm')
        if deployment.has_trouble:
            # One that has been given streams.
            case.bad = max(
                (each for each in deployment.servers if each.service == 'llm'),
                key=lambda each: len(each.ran),
            )
            deployment.note(f'{case.bad.id} begins to send empty lines')
        results = deployment.folder / 'reads'
        began = time.monotonic()
        deployment.start_helper(
            'callers',
            str(HERE.parent / 'callers.py'),
            str(results),
            str(TROUBLE_S),
            '0.25',
            '5',
            '/read/x',
            *(
                f'{host}:{port}'
                for host, port in map(deployment.front, deployment.entries)
            ),
        )
        await deployment.wait_for('callers', TROUBLE_S + 20)
        deployment.note(
            f'{case.streams} streams, {case.whole_streams} whole, '
            f'{case.bad_bytes} bytes of empty lines taken from the server'
        )
        for name in deployment.entries:
            code = deployment.exit_code(name)
            deployment.note(f'{name}: exit code {code}')
        return judge(deployment, results, began + STABLE_S)
    finally:
        if streams is not None:
            streams.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await streams
        await deployment.stop()


lab.main(run)
