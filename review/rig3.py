"""Small deployment on loopback addresses for the scripts of `review/`.

It starts the project's programs with the commands of the deploy file and plays
the platform, the servers and the clients after the users' pages. Only the
standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
FRONT_PORT = 8625
READY_PORT = 8621
CONTROL_PORT = 8628
LIST_PORT = 8624
SERVER_PORT = 8080
HOST_NAME = 'rig.example'
API_KEY = 'rig-key-of-the-first-tenant'
TENANT = 'rig-tenant'
MEMORY_MB = 300
START_S = 30.0
# Deadline of the clients and time limit of the routes, as for filings.
DEADLINE_MS = 1500
ROUTE_TIMEOUT_MS = 800

HELD = 0
BROKEN = 1
UNUSABLE = 2


class Unusable(Exception):
    """The case could not run."""


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began = time.monotonic()

    def line(self, *words: object) -> None:
        """Write a line with the seconds since the start."""
        now = time.monotonic() - self._began
        text = ' '.join(str(word) for word in words)
        self._file.write(f'{now:8.3f} {text}\n')
        self._file.flush()

    def say(self, *words: object) -> None:
        """Write a line to the record and to standard output."""
        self.line(*words)
        print(*words, flush=True)


class Message:
    """Head and body of an HTTP message."""

    def __init__(self, start: str, headers: dict[str, str]) -> None:
        self.start = start
        self.headers = headers
        self.body = b''

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(' ')[1])

    @property
    def target(self) -> str:
        """Return path and query of a request."""
        return self.start.split(' ')[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head; raises `IncompleteReadError` at the end of the stream."""
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers.setdefault(name.strip().lower(), text.strip())
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message by length or chunks."""
    if 'chunked' in message.headers.get('transfer-encoding', ''):
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            if not size:
                await reader.readuntil(b'\r\n')
                break
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        message.body = b''.join(parts)
        return
    length = int(message.headers.get('content-length', '0'))
    message.body = await reader.readexactly(length)


def head_bytes(start: str, headers: dict[str, str]) -> bytes:
    """Return an encoded head."""
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def answer(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return an encoded response with a length."""
    return (
        head_bytes(
            f'HTTP/1.1 {status} X',
            {**headers, 'Content-Length': str(len(body))},
        )
        + body
    )


Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Server:
    """Server of a service; `serve` handles one connection."""

    def __init__(self, rig: Rig, service: str, number: int, zone: str) -> None:
        self.rig = rig
        self.service = service
        self.id = f'i-{rig.rng.getrandbits(32):08x}'
        self.zone = zone
        self.state = 'ready'
        self.address = f'{rig.net}.{100 + number}:{SERVER_PORT}'
        self._listener: asyncio.Server | None = None

    def entry(self) -> dict[str, Any]:
        """Return the entry in the platform's list."""
        return {
            'id': self.id,
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': self.state,
            'warmup-left-ms': 0,
        }

    async def start(self, limit: int = 2**16) -> None:
        """Listen; `limit` bounds what is read ahead of the handler."""
        host, _, port = self.address.partition(':')
        self._listener = await asyncio.start_server(
            self._connected, host, int(port), limit=limit
        )

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The loop is closing; the streams of asyncio log it otherwise.
            return
        finally:
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of a connection."""
        raise NotImplementedError

    def stamp(self, request: Message) -> dict[str, str]:
        """Return the headers that the server adds to each answer."""
        request_id = request.headers.get('x-request-id', '')
        return {
            'X-Request-Id': request_id,
            'X-Server-Stamp': f'{self.id}.{request_id}',
        }


class PlainServer(Server):
    """Sound server of the plain service; a request takes 60 ms."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read each request whole, run it and answer."""
        while True:
            request = await read_head(reader)
            await read_body(reader, request)
            await self.run(request, writer)

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request that has been read, and answer."""
        request_id = request.headers.get('x-request-id', '')
        self.rig.record.line('run', self.id, request_id)
        await asyncio.sleep(0.06)
        writer.write(answer(200, self.stamp(request), b'done' * 200))
        await writer.drain()


class Rig:
    """Processes of the project, the platform and the servers."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.rng = random.Random()
        self.net = self._free_net()
        self.servers: list[Server] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        # Hosts with a disk; their loss is counted.
        self.disk_hosts = (1, 2, 3, 4)
        self._list: asyncio.Server | None = None
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._commands = {
            role: table['run'].split()
            for role, table in deploy['roles'].items()
        }

    def _free_net(self) -> str:
        for _ in range(50):
            net = f'127.{self.rng.randint(20, 250)}.{self.rng.randint(1, 250)}'
            with socket.socket() as probe:
                try:
                    probe.bind((f'{net}.1', FRONT_PORT))
                except OSError:
                    continue
            return net
        raise Unusable('no free loopback addresses')

    def ip(self, host: int) -> str:
        """Return the address of a host."""
        return f'{self.net}.{host}'

    async def start_list(self) -> None:
        """Serve the platform's list of servers."""
        self._list = await asyncio.start_server(
            self._serve_list, self.ip(250), LIST_PORT
        )

    async def _serve_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            await read_head(reader)
            body = json.dumps(
                {
                    'instances': [
                        each.entry()
                        for each in self.servers
                        if each.state != 'gone'
                    ],
                    'next': None,
                }
            ).encode()
            headers = {'Content-Type': 'application/json'}
            writer.write(answer(200, {**headers, 'Connection': 'close'}, body))
            await writer.drain()
        writer.close()

    def disk(self, role: str, host: int) -> Path:
        """Return the disk folder of a process."""
        return self.folder / f'disk-{host}-{role}'

    def settings(
        self, role: str, host: int, seeds: list[int], *, first: bool
    ) -> dict[str, Any]:
        """Return the settings of a process, as the deployment's sheet."""
        ip = self.ip(host)
        has_disk = role == 'control' and host in self.disk_hosts
        if has_disk:
            self.disk(role, host).mkdir(exist_ok=True)
        return {
            'node': f'edge-{host}',
            'role': role,
            'machine-class': 'edge',
            'serves': ['edge'] if role == 'entry' else ['control'],
            'ip': ip,
            'zone': f'z{host}',
            'region': 'altiplano',
            'internal-ports': [7740, 7755],
            'seeds': [f'{self.ip(each)}:{CONTROL_PORT}' for each in seeds],
            'bootstrap': first,
            'in-tolerance': host in self.disk_hosts,
            'data-dir': str(self.disk(role, host)) if has_disk else '',
            'discovery': 'cloud_api',
            'entry': 'vip',
            'heartbeat-ms': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry'],
            'config-mode': 'highest',
            'zones': {f'z{each}': 'altiplano' for each in range(1, 9)},
            'listen': {
                'front': f'{ip}:{FRONT_PORT}',
                'readiness-addr': f'{ip}:{READY_PORT}',
                'control': f'{ip}:{CONTROL_PORT}',
            },
            'limits': {
                'cpu-share': 0.968,
                'cores': 2,
                'memory-mb': MEMORY_MB,
                'max-fds': 4100,
                'link-mbps': 1000.0,
                'disk-mb': 64,
            },
            'fault-tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': {
                'seed-lag-s': 3,
                'addr-reuse-s': 2,
                'stable-window-ms': 3000,
                'ack-ms': 4000,
                'catch-up-s': 4,
                'drain-ms': 3000,
                'grace-s': 8,
                'loss-slack-ms': 200,
                'config-apply-ms': 2000,
                'downgrade-ms': 250,
                'max-skew-ms': 5000,
                'retry-ratio': 0.2,
                'retry-window-s': 10,
                'retry-slack': 64,
                'recovery-s': 12,
            },
            'cloud-api': {
                'address': f'{self.ip(250)}:{LIST_PORT}',
                'rate-per-s': 47.0,
                'max-lag-ms': 800,
            },
        }

    def start(
        self, role: str, host: int, seeds: list[int], *, first: bool = True
    ) -> str:
        """Start a process with the command of the deploy file."""
        name = f'{role}-{host}'
        path = self.folder / f'{name}.toml'
        settings = self.settings(role, host, seeds, first=first)
        path.write_text(to_toml(settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['HORNBEAMLINE_SETTINGS'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                self._commands[role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        return name

    def pid(self, name: str) -> int:
        """Return the process id."""
        return self.processes[name].pid

    def memory_mb(self, name: str) -> float:
        """Return the anonymous memory of a process; 0 if it has ended.

        Pages of files, such as those of libraries, are left out.
        """
        try:
            status = Path(f'/proc/{self.pid(name)}/status').read_text()
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith('RssAnon:'):
                return int(line.split()[1]) / 1024
        return 0

    async def until_ready(self, hosts: list[int]) -> None:
        """Wait until the readiness checks of entry processes succeed."""
        deadline = time.monotonic() + START_S
        for host in hosts:
            while await self._ready(host) != 200:
                if time.monotonic() > deadline:
                    raise Unusable(f'host {host} does not become ready')
                await asyncio.sleep(0.1)

    async def _ready(self, host: int) -> int:
        request = head_bytes('GET /ready HTTP/1.1', {'Host': 'x'})
        return await exchange(self.ip(host), READY_PORT, request, 1.0)

    async def put(
        self,
        document: dict[str, Any],
        hosts: list[int],
        within_s: float = START_S,
    ) -> None:
        """Send a configuration until it is acknowledged.

        Raises `Unusable` if that takes too long.
        """
        body = json.dumps(document).encode()
        request = (
            head_bytes(
                'POST /config/put HTTP/1.1',
                {
                    'Host': 'x',
                    'Content-Type': 'application/json',
                    'Content-Length': str(len(body)),
                },
            )
            + body
        )
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            for host in hosts:
                ip = self.ip(host)
                if await exchange(ip, CONTROL_PORT, request, 1.0) == 200:
                    return
            await asyncio.sleep(0.2)
        raise Unusable('the configuration is not acknowledged')

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()


async def exchange(ip: str, port: int, request: bytes, timeout_s: float) -> int:
    """Send a request on a new connection; return the status or 0."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(request)
            await writer.drain()
            head = await read_head(reader)
            await read_body(reader, head)
            return head.status
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            writer.close()


def to_toml(table: dict[str, Any]) -> str:
    """Return a TOML text of values and of tables of values."""
    plain = {
        name: value
        for name, value in table.items()
        if not isinstance(value, dict)
    }
    lines = [f'{name} = {json.dumps(value)}' for name, value in plain.items()]
    for name, value in table.items():
        if isinstance(value, dict):
            lines.append(f'[{name}]')
            lines.extend(
                f'{key} = {json.dumps(item)}' for key, item in value.items()
            )
    return '\n'.join(lines) + '\n'


def document() -> dict[str, Any]:
    """Return a configuration with one plain service and two routes."""
    common = {
        'host': HOST_NAME,
        'service': 'desk',
        'target-latency-ms': 400,
        'timeout-ms': ROUTE_TIMEOUT_MS,
        'max-attempts': 1,
        'allow-anonymous': False,
    }
    return {
        'version': 7,
        'routes': [
            {
                'name': 'read',
                'path-prefix': '/read/',
                'route-type': 'idempotent',
                **common,
            },
            {
                'name': 'act',
                'path-prefix': '/act/',
                'route-type': 'non_idempotent',
                **common,
            },
        ],
        'services': [
            {
                'name': 'desk',
                'health-path': '/health',
                'max-connections': 290,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api-keys': [API_KEY]}],
    }


class Sent(NamedTuple):
    """A request of a client: the status, 0 without an answer, and when."""

    status: int
    sent_at: float
    took_s: float


async def ask(
    rig: Rig,
    host: int,
    path: str,
    size: int,
    *,
    deadline_ms: int = DEADLINE_MS,
) -> Sent:
    """Send a request on a new connection; leave at the deadline."""
    request_id = f'{rig.rng.getrandbits(64):016x}'
    head = head_bytes(
        f'POST {path} HTTP/1.1',
        {
            'Host': HOST_NAME,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(deadline_ms),
            'X-Api-Key': API_KEY,
            'Content-Length': str(size),
        },
    )
    sent_at = time.monotonic()
    status = await exchange(
        rig.ip(host), FRONT_PORT, head + b'b' * size, deadline_ms / 1000
    )
    took_s = time.monotonic() - sent_at
    shown = status or 'no answer'
    rig.record.line(
        f'sent {request_id} to host {host}: {path}, {size} bytes;',
        f'{shown} after {took_s:.3f} s',
    )
    return Sent(status, sent_at, took_s)


@contextlib.asynccontextmanager
async def rig(record: Record) -> AsyncIterator[Rig]:
    """Yield a rig in a temporary folder and end all that it started."""
    if not (ROOT / 'target' / 'deps').is_dir():
        raise Unusable('target/deps is missing: run the build')
    folder = Path(tempfile.mkdtemp(prefix='review-'))
    built = Rig(folder, record)
    try:
        yield built
    finally:
        built.stop()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)


def _end(number: int, frame: object) -> None:
    # Unwinds the loop, so that all processes are ended.
    raise SystemExit(UNUSABLE)


def run(case: Callable[[], Awaitable[int]]) -> None:
    """Run a case and exit with its code; SIGTERM ends it early."""
    signal.signal(signal.SIGTERM, _end)
    try:
        code = asyncio.run(case())
    except (Unusable, OSError) as error:
        print(f'could not run: {error!r}')
        code = UNUSABLE
    sys.exit(code)
