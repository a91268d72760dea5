"""Gateway on a connection, in front of targets that follow a script."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from typing import Any, NamedTuple

from hornbeamline.gateway import (
    BudgetSettings,
    Forwarder,
    GatewayApp,
    GatewayServices,
    Placement,
    RetryBudget,
    RouteKind,
    StageRunner,
    StreamVersions,
    TargetDirectory,
    TargetHttp,
    TargetPicker,
)
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.platform._wire import PlatformWire
from hornbeamline.quarantine import PartQuarantine
from tests.common import free_address
from tests.gateway.builders import (
    KnownOrigins,
    make_gate,
    make_route,
    make_table,
)

TARGETS = 3
DEADLINE_S = 5.0
SIGNED = b'X-Request-Id: r1\r\nX-Server-Stamp: s\r\n'
EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'

RESUMABLE = {'kind': RouteKind.STREAM, 'can_resume': True}
STREAM = {'kind': RouteKind.STREAM}
SAFE = {'kind': RouteKind.IDEMPOTENT}
ROUTES = {'unsafe': {}, 'safe': SAFE, 'stream': STREAM, 'resumable': RESUMABLE}


def head(status: int, *fields: bytes) -> bytes:
    """Return the head of a signed answer."""
    return b'HTTP/1.1 %d X\r\n%s%s\r\n' % (status, SIGNED, b''.join(fields))


def chunk(content: bytes) -> bytes:
    """Return a chunk; the empty one ends a body."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b'id: %d\ndata: x\n\n' % number


def whole(status: int, body: bytes, *fields: bytes) -> bytes:
    """Return a complete answer with a length."""
    length = b'Content-Length: %d\r\n' % len(body)
    return head(status, length, *fields) + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection at once."""
    connection = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Received(NamedTuple):
    """What a caller has received."""

    status: int
    body: bytes
    # The answer has ended as its framing says.
    is_complete: bool


def parse(raw: bytes) -> Received:
    """Parse one answer of the gateway strictly."""
    top, separator, rest = raw.partition(b'\r\n\r\n')
    assert separator, raw
    lines = top.split(b'\r\n')
    status = int(lines[0].split(b' ')[1])
    fields = dict(line.lower().split(b': ', 1) for line in lines[1:])
    if b'content-length' in fields:
        length = int(fields[b'content-length'])
        return Received(status, rest, is_complete=len(rest) == length)
    assert fields[b'transfer-encoding'] == b'chunked'
    body = b''
    while rest:
        size_line, _, rest = rest.partition(b'\r\n')
        size = int(size_line, 16)
        if not size:
            assert rest == b'\r\n'
            return Received(status, body, is_complete=True)
        body += rest[:size]
        assert rest[size : size + 2] == b'\r\n'
        rest = rest[size + 2 :]
    return Received(status, body, is_complete=False)


class Gateway:
    """Gateway on a connection, in front of targets that follow a script."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.targets = TargetDirectory(clock)
        self.http = TargetHttp()
        rng = random.Random(1)
        self._clock = clock
        budget = RetryBudget(BudgetSettings(0.2, 10, 64), clock)
        budget.note_hosts(1)
        wire = PlatformWire()
        picker = TargetPicker('dc-1', clock, rng)
        forwarder = Forwarder(
            self.http,
            wire,
            picker,
            self.targets,
            make_gate(self.targets),
            budget,
            clock,
        )
        # Routes without stages need no owner of a stage service.
        batching: Any = None
        self.quarantine = PartQuarantine('host', clock)
        services = GatewayServices(
            self.targets,
            forwarder,
            StageRunner(
                batching,
                lambda _rank: {},
                Placement(wire, self.targets, picker),
                clock,
            ),
            budget,
            self.quarantine,
            StreamVersions(KnownOrigins(), self.targets),
        )
        self.app = GatewayApp(wire, services, clock, rng)
        self.address = free_address()
        # Answers of the next connections to any target, in order.
        self.script: list[bytes] = []
        self.received = 0

    async def serve_target(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send the next answer of the script and close the connection."""
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            self.received += 1
            writer.write(self.script.pop(0) if self.script else b'')
            await writer.drain()
        writer.close()

    async def call(
        self, *script: bytes, body: bytes = b'{}', **route: Any
    ) -> Received:
        """Send a request; the targets answer by the script."""
        self.script = list(script)
        self.received = 0
        made = make_route(**{'max_attempts': 3, **route})
        self.app.update_table(make_table(made))
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'POST /p/1 HTTP/1.1\r\nHost: host.example\r\n'
            b'X-Request-Id: r1\r\nX-Deadline-Ms: 5000\r\n'
            b'X-Prompt-Prefix: shared:10,own:10\r\n'
            b'Connection: close\r\nContent-Length: %d\r\n\r\n%b'
            % (len(body), body),
        )
        async with asyncio.timeout(DEADLINE_S):
            raw = await reader.read()
        writer.close()
        return parse(raw)
