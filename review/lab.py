"""Stand-ins and processes that the scripts of cases 6 to 10 share.

Only the standard library: the scripts run where nothing else is installed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
FRONT_PORT = 8625
READY_PORT = 8621
CONTROL_PORT = 8628
PORTS = (FRONT_PORT, READY_PORT, CONTROL_PORT, 7740, 7741, 9464, 9465)
HOST = 'pule25.example'
KEY = '9dnn2ctnfzs989anu6ws'
TENANT = 'bozi300'
START_S = 40.0
GRACE_S = 8
# Interval at which the entries of a lagging list are recorded.
RECORD_S = 0.05

BROKEN = 1
HELD = 0
NOT_RUN = 2


class NotRunError(Exception):
    """The case could not be run."""


class Request(NamedTuple):
    """A request as a server has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, or None."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    first, *lines = raw[:-4].decode('latin-1').split('\r\n')
    headers: dict[str, str] = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers.setdefault(name.strip().lower(), text.strip())
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return the body of a message with a length, in chunks, or without."""
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get('content-length', '0')))


class Server:
    """One server instance; `work` answers what it runs."""

    def __init__(self, ip: str, service: str, work: Work, **entry: Any) -> None:
        """Prepare a server that does not listen yet."""
        self.ip = ip
        self.id = f'i-{secrets.token_hex(4)}'
        self.service = service
        self.work = work
        self.entry: dict[str, Any] = {
            'zone': 'delta-a',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'warmup-left-ms': 0,
            **entry,
        }
        self.address = ''
        # Whether the platform's list shows this server.
        self.is_listed = True
        # Ids of the requests that this server has run.
        self.ran: list[str] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve,
            self.ip,
            # A server that starts again keeps its address.
            int(self.address.rpartition(':')[2] or 0),
            limit=1 << 20,
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self.ip}:{port}'

    def stop(self) -> None:
        """End: stop listening."""
        if self._server is not None:
            self._server.close()

    def listed(self) -> dict[str, Any]:
        """Return the entry of this server in the platform's list."""
        return {
            **self.entry,
            'id': self.id,
            'service': self.service,
            'address': self.address,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while not writer.is_closing():
                request = await self._read(reader)
                if request is None:
                    break
                expected = request.headers.get('x-expect-instance', self.id)
                if expected != self.id:
                    writer.write(answer(request, self, 421, b'', not_run=True))
                else:
                    await self.work(self, request, writer)
                await writer.drain()
                if request.headers.get('connection', '').lower() == 'close':
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has left, or the case ends.
            pass
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> Request | None:
        head = await read_head(reader)
        if head is None:
            return None
        first, headers = head
        method, target, _ = first.split(' ', 2)
        return Request(
            method, target, headers, await read_body(reader, headers)
        )


Work = Callable[[Server, Request, asyncio.StreamWriter], Awaitable[None]]


def answer_head(
    request: Request, server: Server, status: int, *fields: str
) -> bytes:
    """Return the head of a signed answer without its framing."""
    request_id = request.headers.get('x-request-id', '')
    return '\r\n'.join(
        (
            f'HTTP/1.1 {status} Status',
            f'X-Request-Id: {request_id}',
            f'X-Server-Stamp: {server.id}.{request_id}',
            *fields,
            '\r\n',
        )
    ).encode()


def answer(
    request: Request,
    server: Server,
    status: int,
    body: bytes,
    *fields: str,
    not_run: bool = False,
) -> bytes:
    """Return a whole signed answer."""
    marks = ('X-Not-Executed: 1',) if not_run else ()
    return (
        answer_head(
            request,
            server,
            status,
            f'Content-Length: {len(body)}',
            *marks,
            *fields,
        )
        + body
    )


class Answer(NamedTuple):
    """What a client saw; status 0 without a whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    took_s: float


NO_ANSWER = Answer(0, {}, b'', 0)


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection and read its answer."""
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            fields = ''.join(
                f'{name}: {text}\r\n' for name, text in headers.items()
            )
            writer.write(
                (
                    f'{method} {target} HTTP/1.1\r\n{fields}'
                    f'Content-Length: {len(body)}\r\n\r\n'
                ).encode()
                + body
            )
            head = await read_head(reader)
            if head is None:
                return NO_ANSWER._replace(took_s=time.monotonic() - began)
            status = int(head[0].split(' ')[1])
            content = await read_body(reader, head[1])
            took_s = time.monotonic() - began
            return Answer(status, head[1], content, took_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return NO_ANSWER._replace(took_s=time.monotonic() - began)
    finally:
        if writer is not None:
            writer.close()


def free_net() -> str:
    """Return three octets of loopback addresses whose ports are free."""
    for _ in range(100):
        net = f'127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250) + 1}'
        with contextlib.ExitStack() as stack:
            try:
                for port in PORTS:
                    probe = stack.enter_context(socket.socket())
                    probe.bind((f'{net}.1', port))
            except OSError:
                continue
            return net
    raise NotRunError('no free addresses')


class Lab:
    """Processes of the project, the platform's list, and servers."""

    def __init__(self, case: str, *, memory_mb: int = 300) -> None:
        """Prepare a deployment without processes."""
        self.record_path = Path(case).resolve().parent / 'record.txt'
        self.record_path.write_text('')
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.folder = Path(tempfile.mkdtemp(prefix='case-'))
        self.net = free_net()
        self.servers: list[Server] = []
        self.memory_mb = memory_mb
        self.controls: list[str] = []
        self.entries: list[str] = []
        # By how much the list lags, and what it showed before.
        self.list_lag_s = 0.0
        self._history: deque[tuple[float, list[dict[str, Any]]]] = deque()
        self._recording: asyncio.Task[None] | None = None
        self._numbers: dict[str, int] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._list: asyncio.Server | None = None
        self._list_address = ''
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line of the record."""
        line = f'{time.monotonic() - self._began:8.3f} {text}\n'
        with self.record_path.open('a') as record:
            record.write(line)

    def ip(self, name: str) -> str:
        """Return the address of the machine of a process."""
        return f'{self.net}.{self._numbers[name]}'

    def front(self, name: str) -> tuple[str, int]:
        """Return the address of a process for clients."""
        return self.ip(name), FRONT_PORT

    async def add_server(
        self, service: str, work: Work, **entry: Any
    ) -> Server:
        """Start a server that the list shows at once."""
        ip = f'{self.net}.{100 + len(self.servers)}'
        server = Server(ip, service, work, **entry)
        await server.start()
        self.servers.append(server)
        return server

    async def start(self, entries: int, controls: int) -> None:
        """Start the list and all processes for the first time."""
        self._list = await asyncio.start_server(
            self._serve_list, f'{self.net}.99', 0
        )
        self._recording = asyncio.create_task(self._record_entries())
        port = self._list.sockets[0].getsockname()[1]
        self._list_address = f'{self.net}.99:{port}'
        self.controls = [f'control-{n + 1}' for n in range(controls)]
        self.entries = [f'entry-{n + 1}' for n in range(entries)]
        for names in (self.controls, self.entries):
            for number, name in enumerate(names):
                self._numbers[name] = number + 1
        for name in (*self.controls, *self.entries):
            self.start_process(name, is_first=True)

    def start_process(self, name: str, *, is_first: bool = False) -> None:
        """Start a process with the command of the deploy file."""
        role = name.partition('-')[0]
        path = self.folder / f'{name}.toml'
        path.write_text(self._settings(name, is_first=is_first))
        with (self.folder / f'{name}.log').open('ab') as log:
            self._processes[name] = subprocess.Popen(
                ['python3', '-m', 'hornbeamline.platform', role],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'PYTHONPATH': f'{ROOT}/target/deps',
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'HORNBEAMLINE_SETTINGS': str(path),
                },
            )
        self.note(f'started {name}')

    def start_helper(self, name: str, *arguments: str) -> None:
        """Start a stand-in for clients in a process of its own.

        The load of one stand-in then does not delay what another measures.
        """
        self._processes[name] = subprocess.Popen(
            ['python3', *arguments], stdin=subprocess.DEVNULL
        )
        self.note(f'started {name}')

    async def wait_for(self, name: str, timeout_s: float) -> None:
        """Wait until a helper has ended; raises `NotRunError`."""
        deadline = time.monotonic() + timeout_s
        while self._processes[name].poll() is None:
            if time.monotonic() > deadline:
                raise NotRunError(f'{name} has not ended')
            await asyncio.sleep(0.05)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the processes."""
        self._processes[name].send_signal(number)
        self.note(f'{number.name} to {name}')

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def exit_code(self, name: str) -> int | None:
        """Return the exit code of a process that has ended."""
        return self._processes[name].poll()

    def peak_mb(self, name: str) -> float:
        """Return the peak of the resident memory of a process, in MB."""
        try:
            status = Path(f'/proc/{self.pid(name)}/status').read_text()
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) / 1024
        return 0

    async def configure(self, config: dict[str, Any]) -> None:
        """Send a configuration until it is acknowledged and in force."""
        content = json.dumps(config).encode()
        deadline = time.monotonic() + START_S
        status = 0
        while time.monotonic() < deadline and status != 200:
            for control in self.controls:
                status = (await self.put(control, content)).status
                if status == 200:
                    break
            await asyncio.sleep(0.1)
        if status != 200:
            raise NotRunError('the configuration was not acknowledged')
        self.note(f'configuration {config["version"]} acknowledged')
        for entry in self.entries:
            address = (self.ip(entry), READY_PORT)
            while (await call(address, 'GET', '/ready', {})).status != 200:
                if time.monotonic() > deadline:
                    raise NotRunError(f'{entry} is not ready')
                await asyncio.sleep(0.1)

    async def put(self, control: str, content: bytes) -> Answer:
        """Send a configuration to one process."""
        return await call(
            (self.ip(control), CONTROL_PORT),
            'POST',
            '/config/put',
            {'Host': 'h', 'Content-Type': 'application/json'},
            content,
        )

    def log_of(self, name: str) -> str:
        """Return what a process has written."""
        return (self.folder / f'{name}.log').read_text(errors='replace')

    async def stop(self) -> None:
        """End all processes that this case has started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        for server in self.servers:
            server.stop()
        if self._recording is not None:
            self._recording.cancel()
        if self._list is not None:
            self._list.close()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            self.note(f'kept {self.folder.name}')

    async def _serve_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            if await read_head(reader) is not None:
                page = {'instances': self._listed(), 'next': None}
                body = json.dumps(page).encode()
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
                )
                await writer.drain()
            writer.close()

    def _listed(self) -> list[dict[str, Any]]:
        """Return the entries that the list shows now."""
        if not self.list_lag_s:
            return self._entries()
        until = time.monotonic() - self.list_lag_s
        shown: list[dict[str, Any]] = []
        for at, entries in self._history:
            if at > until:
                break
            shown = entries
        return shown

    def _entries(self) -> list[dict[str, Any]]:
        return [server.listed() for server in self.servers if server.is_listed]

    async def _record_entries(self) -> None:
        while True:
            now = time.monotonic()
            self._history.append((now, self._entries()))
            while self._history[0][0] < now - self.list_lag_s - 1:
                self._history.popleft()
            await asyncio.sleep(RECORD_S)

    def _settings(self, name: str, *, is_first: bool) -> str:
        ip = self.ip(name)
        serves = ['edge']
        data = ''
        if name in self.controls:
            serves = ['control']
            disk = self.folder / f'disk-{name}'
            disk.mkdir(exist_ok=True)
            data = str(disk)
        seeds = [
            f'{self.ip(seed)}:{CONTROL_PORT}' for seed in self.controls[:3]
        ]
        tolerated = (len(self.controls) - 1) // 2
        return f"""
node = {json.dumps(name)}
role = {json.dumps(name.partition('-')[0])}
machine-class = "edge"
serves = {json.dumps(serves)}
ip = "{ip}"
zone = "delta-a"
region = "delta-north"
internal-ports = [7740, 7755]
seeds = {json.dumps(seeds)}
bootstrap = {json.dumps(is_first)}
in-tolerance = true
data-dir = {json.dumps(data)}
[zones]
delta-a = "delta-north"
[listen]
front = "{ip}:{FRONT_PORT}"
readiness-addr = "{ip}:{READY_PORT}"
control = "{ip}:{CONTROL_PORT}"
[limits]
cpu-share = 0.97
cores = 2
memory-mb = {self.memory_mb}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 64
[fault-tolerance]
machines = {tolerated}
zones = 0
regions = 0
[bounds]
stable-window-ms = 3000
drain-ms = 3000
grace-s = {GRACE_S}
config-apply-ms = 2000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 64
[cloud-api]
address = "{self._list_address}"
rate-per-s = 47.0
max-lag-ms = 800
"""


def configuration(version: int = 1) -> dict[str, Any]:
    """Return a configuration with a plain route of each kind and a stream."""
    common = {
        'host': HOST,
        'timeout-ms': 6000,
        'target-latency-ms': 1500,
        'priority': 0,
        'max-attempts': 2,
        'allow-anonymous': False,
        'session-affinity': False,
        'stream-resume': False,
        'gap-aim-ms': 500,
        'service': 'desk',
    }
    stream = {
        **common,
        'timeout-ms': 20000,
        'service': 'llm',
        'route-type': 'streaming',
        'session-affinity': True,
    }
    return {
        'version': version,
        'routes': [
            {
                **common,
                'name': 'read',
                'path-prefix': '/read/',
                'route-type': 'idempotent',
            },
            {
                **common,
                'name': 'act',
                'path-prefix': '/act/',
                'route-type': 'non_idempotent',
            },
            {**stream, 'name': 'plan', 'path-prefix': '/plan/'},
            {
                **stream,
                'name': 'ask',
                'path-prefix': '/ask/',
                'stream-resume': True,
            },
        ],
        'services': [
            {
                'name': 'desk',
                'health-path': '/health',
                'max-connections': 130,
                'protocol': 'h1',
                'tls': False,
            },
            {
                'name': 'llm',
                'health-path': '/health',
                'max-connections': 390,
                'protocol': 'h1',
                'tls': False,
                'engine': {'slots': 64, 'kv-capacity': 474256},
            },
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api-keys': [KEY], 'priority': 0}],
    }


def client_headers(deadline_ms: int = 1500, **more: str) -> dict[str, str]:
    """Return the headers of a new client attempt."""
    return {
        'Host': HOST,
        'X-Request-Id': secrets.token_hex(8),
        'X-Deadline-Ms': str(deadline_ms),
        'X-Api-Key': KEY,
        **more,
    }


def main(run: Callable[[], Awaitable[int]]) -> None:
    """Run a case; exit with 0 (held), 1 (broken) or 2 (could not run)."""
    try:
        code = asyncio.run(run())
    except NotRunError as error:
        print(f'could not run: {error}')
        code = NOT_RUN
    except Exception as error:
        print(f'could not run: {error!r}')
        code = NOT_RUN
    sys.exit(code)
