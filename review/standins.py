"""Stand-ins of clients, servers, the platform and the operator.

Uses the standard library only, since the scripts run after the build of the
deploy file, without the project's virtual environment. They follow the pages
of the platform; the project's programs are started as separate processes with
the commands of `deploy/system.toml`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

HOST_NAME = 'pule25.example'
API_KEY = '9dnn2ctnfzs989anu6ws'
TENANT = 'bozi300'
GRACE_S = 8
CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
DRAIN_S = 3.0
RECOVERY_S = 12.0
START_TIMEOUT_S = 40.0
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

_FRONT_PORT = 8625
_READY_PORT = 8621
_CONTROL_PORT = 8628
_PEER_PORTS = (7740, 7755)
_METRICS_PORTS = (9464, 9465)
_CALL_TIMEOUT_S = 2.0
_NOTE_STATES_S = 0.02
_LINGER_RESET = struct.pack('ii', 1, 0)


class SetupError(Exception):
    """The case could not be set up, so that it says nothing."""


class Message(NamedTuple):
    """Head and body of a request or a response."""

    first: str
    headers: dict[str, str]
    body: bytes
    # False if the connection ended before the end of the body.
    is_complete: bool = True

    @property
    def words(self) -> list[str]:
        """Return the words of the first line."""
        return self.first.split(' ', 2)

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.words[1])


class Record:
    """Log of what was sent, answered and run, in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        """Start a new record in the folder of the case."""
        self._file = (folder / 'record.txt').open('w')
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length, with chunks or up to the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    body = bytearray()
    is_complete = True
    try:
        if 'chunked' in headers.get('transfer-encoding', ''):
            await _read_chunks(reader, body)
        else:
            size = int(headers.get('content-length', '0'))
            body += await reader.readexactly(size)
    except asyncio.IncompleteReadError as error:
        body += error.partial
        is_complete = False
    except OSError:
        is_complete = False
    return Message(first, headers, bytes(body), is_complete)


async def _read_chunks(
    reader: asyncio.StreamReader,
    body: bytearray,
) -> None:
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return


class Connection:
    """Connection of a stand-in server."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wrap the streams of an accepted connection."""
        self.reader = reader
        self.writer = writer

    async def answer(
        self,
        status: int,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> None:
        """Send a complete response with a length."""
        await self.head(status, {**headers, 'Content-Length': str(len(body))})
        await self.send(body)

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of a response."""
        lines = [f'HTTP/1.1 {status} X']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        await self.send('\r\n'.join([*lines, '', '']).encode('latin-1'))

    async def chunk(self, content: bytes) -> None:
        """Send a chunk; an empty one ends the body."""
        await self.send(b'%x\r\n%b\r\n' % (len(content), content))

    async def send(self, content: bytes) -> None:
        """Send bytes."""
        self.writer.write(content)
        await self.writer.drain()

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.writer.transport.abort()

    def close(self) -> None:
        """Send what is buffered and close the connection."""
        self.writer.close()


class Listener:
    """HTTP server of a stand-in; one request at a time on a connection."""

    def __init__(self, ip: str, port: int = 0) -> None:
        """Take a free port of the address, unless one is given."""
        self.ip = ip
        self.port = port
        self._server: asyncio.Server | None = None
        self._open: set[Connection] = set()

    @property
    def address(self) -> str:
        """Return address and port."""
        return f'{self.ip}:{self.port}'

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._on_connection, self.ip, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in tuple(self._open):
            connection.reset()

    async def handle(self, request: Message, connection: Connection) -> None:
        """Answer a request."""
        raise NotImplementedError

    async def _on_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = Connection(reader, writer)
        self._open.add(connection)
        try:
            while not writer.is_closing():
                request = await read_message(reader)
                if request is None or not request.is_complete:
                    break
                await self.handle(request, connection)
        except OSError:
            pass
        finally:
            self._open.discard(connection)
            writer.close()


class Server(Listener):
    """One server of a service: identity, state and refusals."""

    def __init__(
        self,
        ip: str,
        service: str,
        number: int,
        record: Record,
    ) -> None:
        """Create a server that is not listening yet."""
        super().__init__(ip)
        self.service = service
        self.number = number
        self.id = f'i-{service}-{number}'
        self.record = record
        self.born_ms = int(time.time() * 1000)
        self.state = 'ready'
        # Ids of the requests that it began to run, in order.
        self.runs: list[str] = []

    def entry(self) -> dict[str, Any]:
        """Return the entry in the platform's list."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'delta-a',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'warmup-left-ms': 0,
            'id': self.id,
            'born': self.born_ms,
        }

    def headers(self, request: Message) -> dict[str, str]:
        """Return the headers of all answers."""
        headers = {'X-Request-Id': request.headers.get('x-request-id', '')}
        if self.state == 'draining':
            # A server that leaves says so in all its answers.
            headers['Server-Leaving'] = '1'
        return headers

    def stamped(self, request: Message) -> dict[str, str]:
        """Return the headers of answers to requests that ran."""
        request_id = request.headers.get('x-request-id', '')
        stamp = {'X-Server-Stamp': f'{self.id}.{request_id}'}
        return {**self.headers(request), **stamp}

    async def handle(self, request: Message, connection: Connection) -> None:
        """Turn away what is not meant for this server; run the rest."""
        expected = request.headers.get('x-expect-instance', self.id)
        request_id = request.headers.get('x-request-id', '')
        if expected != self.id or not request_id:
            status = 421 if request_id else 400
            refusal = {**self.headers(request), 'X-Not-Executed': '1'}
            await connection.answer(status, refusal)
            return
        method = request.words[0]
        self.runs.append(request_id)
        self.record.add(f'run {request_id} {method} at {self.id}')
        await self.run(request, connection)

    async def run(self, request: Message, connection: Connection) -> None:
        """Run a request and answer it."""
        body = b'done ' + request.headers['x-request-id'].encode()
        await connection.answer(200, self.stamped(request), body)


class ServerList(Listener):
    """The platform's list of servers, which may lag."""

    def __init__(
        self, ip: str, servers: list[Server], lag_s: float = 0
    ) -> None:
        """List `servers` as they were `lag_s` seconds ago."""
        super().__init__(ip)
        self._servers = servers
        self._lag_s = lag_s
        # Entries and the times from which on they were true.
        self._history: list[tuple[float, list[str]]] = []
        self._noting: asyncio.Task[None] | None = None
        # Entries of another writer, as they stand in the list.
        self.other_entries: list[str] = []
        self.calls = 0

    async def start(self) -> None:
        """Listen, and begin to note the states of the servers."""
        await super().start()
        self._noting = asyncio.create_task(self._note_states())

    async def handle(self, request: Message, connection: Connection) -> None:
        """Answer with one page."""
        self.calls += 1
        shown_at = time.monotonic() - self._lag_s
        entries = self._history[0][1]
        for since, noted in self._history:
            if since <= shown_at:
                entries = noted
        page = ','.join([*entries, *self.other_entries])
        body = '{"instances":[' + page + '],"next":null}'
        json_type = {'Content-Type': 'application/json'}
        await connection.answer(200, json_type, body.encode())

    async def _note_states(self) -> None:
        while True:
            entries = [
                json.dumps(server.entry())
                for server in self._servers
                if server.state != 'gone'
            ]
            if not self._history or self._history[-1][1] != entries:
                self._history.append((time.monotonic(), entries))
            await asyncio.sleep(_NOTE_STATES_S)


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = _CALL_TIMEOUT_S,
) -> Message | None:
    """Send a request on a connection of its own; None without an answer."""
    try:
        async with asyncio.timeout(timeout_s):
            client = await Client.connect(address)
            try:
                return await client.call(method, path, headers, body)
            finally:
                client.close()
    except (OSError, TimeoutError):
        return None


class Client:
    """A client's connection, which it keeps between requests."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wrap an open connection."""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address: str) -> Client:
        """Open a connection; raises `OSError`."""
        ip, _, port = address.rpartition(':')
        return cls(*await asyncio.open_connection(ip, int(port)))

    @property
    def is_closed(self) -> bool:
        """Return whether the peer has closed the connection."""
        return self._reader.at_eof() or self._writer.is_closing()

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> Message | None:
        """Send a request and read its response; None without one."""
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        if body or method in {'POST', 'PUT'}:
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        try:
            self._writer.write(head + body)
            await self._writer.drain()
        except OSError:
            return None
        return await read_message(self._reader)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def client_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        'Host': HOST_NAME,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(deadline_ms),
        'X-Api-Key': API_KEY,
    }


def new_id() -> str:
    """Return the id of a client attempt."""
    return f'{random.getrandbits(64):016x}'


def plain_route(
    name: str,
    service: str,
    route_type: str,
    **other: Any,
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'name': f'r-{name}',
        'host': HOST_NAME,
        'path-prefix': f'/{name}/',
        'route-type': route_type,
        'timeout-ms': 6000,
        'target-latency-ms': 400,
        'priority': 0,
        'service': service,
        'max-attempts': 2,
        'stages': [],
        'allow-anonymous': False,
        **other,
    }


def document(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with the services that its routes name."""
    services = sorted({route['service'] for route in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': service,
                'health-path': '/health',
                'max-connections': 130,
                'protocol': 'h1',
                'tls': False,
            }
            for service in services
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api-keys': [API_KEY], 'priority': 1}],
    }


class Fleet:
    """Machines with the project's processes, each on a loopback address."""

    def __init__(self, folder: Path, record: Record, machines: int) -> None:
        """Choose free addresses; nothing is started yet."""
        self.folder = folder
        self.record = record
        self.net = _free_net(machines)
        self.ips = [f'{self.net}.{1 + index}' for index in range(machines)]
        self.list_address = ''
        self._commands = _deployed_commands()
        self._processes: dict[tuple[str, str], subprocess.Popen[bytes]] = {}

    def server_ip(self) -> str:
        """Return the address of the stand-in servers."""
        return f'{self.net}.100'

    def front(self, ip: str) -> str:
        """Return where clients connect to a machine."""
        return f'{ip}:{_FRONT_PORT}'

    def start(self, ip: str, role: str, *, is_first: bool = False) -> None:
        """Start the process of a role on a machine."""
        settings = self.folder / f'{role}-{ip}.toml'
        settings.write_text(self._settings(ip, role, is_first))
        log = self.folder / f'{role}-{ip}.log'
        kept = ('PATH', 'HOME', 'LANG')
        with log.open('ab') as output:
            self._processes[(ip, role)] = subprocess.Popen(
                self._commands[role].split(' '),
                cwd=ROOT,
                stdout=output,
                stderr=output,
                start_new_session=True,
                env={
                    **{k: v for k, v in os.environ.items() if k in kept},
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'HORNBEAMLINE_SETTINGS': str(settings),
                },
            )
        self.record.add(f'start {role} on {ip}')

    def start_all(self, *, is_first: bool) -> None:
        """Start all processes of all machines."""
        for ip in self.ips:
            for role in ('control', 'entry'):
                self.start(ip, role, is_first=is_first)

    def signal(self, ip: str, role: str, number: int) -> None:
        """Send a signal to a process."""
        self._processes[(ip, role)].send_signal(number)
        self.record.add(f'signal {number} to {role} on {ip}')

    def kill_all(self) -> None:
        """Kill all processes and wait for their ends."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self.record.add('all processes are killed')

    def has_ended(self, ip: str, role: str) -> bool:
        """Return whether a process has ended."""
        return self._processes[(ip, role)].poll() is not None

    def end(self) -> None:
        """End all processes that were started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()

    async def put(self, content: dict[str, Any]) -> None:
        """Send a configuration to any machine until it is acknowledged."""
        body = json.dumps(content).encode()
        headers = {'Host': 'control', 'Content-Type': 'application/json'}
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            address = f'{random.choice(self.ips)}:{_CONTROL_PORT}'
            answer = await call(address, 'POST', '/config/put', headers, body)
            if answer is not None and answer.status == 200:
                self.record.add(f'version {content["version"]} acknowledged')
                return
            await asyncio.sleep(0.2)
        raise SetupError('the configuration was not acknowledged')

    async def is_ready(self, ip: str) -> bool:
        """Ask a machine whether it is ready."""
        address = f'{ip}:{_READY_PORT}'
        answer = await call(address, 'GET', '/ready', {'Host': 'ready'})
        return answer is not None and answer.status == 200

    async def wait_ready(self) -> None:
        """Wait until all machines are ready."""
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            ready = [await self.is_ready(ip) for ip in self.ips]
            if all(ready):
                self.record.add('all machines are ready')
                return
            await asyncio.sleep(0.2)
        raise SetupError('the machines did not become ready')

    def _settings(self, ip: str, role: str, is_first: bool) -> str:
        disk = self.folder / f'disk-{role}-{ip}'
        disk.mkdir(exist_ok=True)
        seeds = ', '.join(f'"{seed}:{_CONTROL_PORT}"' for seed in self.ips[:3])
        data_dir = str(disk) if role == 'control' else ''
        serves = 'control' if role == 'control' else 'edge'
        return f"""
node = "edge-delta-a-{ip.rpartition('.')[2]}"
role = "{role}"
machine-class = "edge"
serves = ["{serves}"]
ip = "{ip}"
zone = "delta-a"
region = "delta-north"
internal-ports = [{_PEER_PORTS[0]}, {_PEER_PORTS[1]}]
seeds = [{seeds}]
bootstrap = {str(is_first).lower()}
in-tolerance = true
data-dir = "{data_dir}"
discovery = "cloud_api"
entry = "vip"
contracts = ["base", "drain", "config", "retry", "recover", "stream"]
config-mode = "highest"
[zones]
delta-a = "delta-north"
[listen]
front = "{ip}:{_FRONT_PORT}"
readiness-addr = "{ip}:{_READY_PORT}"
control = "{ip}:{_CONTROL_PORT}"
[limits]
cpu-share = 0.968
cores = 2
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 64
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 3000
grace-s = {GRACE_S}
loss-slack-ms = 200
config-apply-ms = 2000
downgrade-ms = 250
max-skew-ms = 5000
fail-closed = false
revoke-ms = 5000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 64
recovery-s = 12
[cloud-api]
address = "{self.list_address}"
rate-per-s = 47.0
duties = []
max-lag-ms = 800
"""


def _deployed_commands() -> dict[str, str]:
    """Return the command of each role in the deploy file."""
    deployed = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return {name: role['run'] for name, role in deployed['roles'].items()}


def _free_net(machines: int) -> str:
    """Return a part of the loopback network whose ports are free."""
    ports = (_FRONT_PORT, _READY_PORT, _CONTROL_PORT, *_PEER_PORTS)
    for _ in range(50):
        net = f'127.{random.randrange(1, 250)}.{random.randrange(1, 250)}'
        with contextlib.ExitStack() as stack:
            try:
                for index in range(machines):
                    for port in (*ports, *_METRICS_PORTS):
                        probe = stack.enter_context(socket.socket())
                        probe.bind((f'{net}.{1 + index}', port))
            except OSError:
                continue
        return net
    raise SetupError('no free loopback addresses')


@contextlib.contextmanager
def _fleet_in(record: Record, machines: int) -> Iterator[Fleet]:
    folder = Path(tempfile.mkdtemp(prefix='review-'))
    fleet = None
    try:
        fleet = Fleet(folder, record, machines)
        yield fleet
    finally:
        if fleet is not None:
            fleet.end()
        if not os.environ.get('KEEP'):
            shutil.rmtree(folder, ignore_errors=True)
        else:
            sys.stderr.write(f'logs are in {folder}\n')


def run_case(
    case_file: str,
    case: Callable[[Fleet, Record, bool], Awaitable[list[str]]],
    machines: int = 3,
) -> None:
    """Run a case; exit with 1 if it returns violations, with 2 on errors."""
    # Clients that are still waiting at the end of a case are of no interest.
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    record = Record(Path(case_file).resolve().parent)
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    record.add(f'trouble: {is_troubled}')
    # Ends the started processes too when the script is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    try:
        with _fleet_in(record, machines) as fleet:
            violations = asyncio.run(case(fleet, record, is_troubled))
    except Exception as error:
        record.add(f'the case could not run: {error!r}')
        sys.stderr.write(f'could not run: {error!r}\n')
        sys.exit(EXIT_NOT_RUN)
    for violation in violations:
        record.add(f'broken: {violation}')
    verdict = 'broken' if violations else 'held'
    record.add(f'the rule is {verdict}; {len(violations)} violations')
    sys.stdout.write(f'{verdict}: {len(violations)} violations\n')
    sys.exit(EXIT_BROKEN if violations else EXIT_HELD)
