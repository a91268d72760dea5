"""Broken answers of targets, as a caller receives them over a connection."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import pytest

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
from hornbeamline.helpers.http_server import HttpServer
from hornbeamline.platform._wire import PlatformWire
from hornbeamline.quarantine import PartQuarantine, PartQuarantinedError
from tests.common import free_address
from tests.gateway.builders import (
    KnownOrigins,
    make_gate,
    make_route,
    make_table,
    make_target,
)

TARGETS = 3
DEADLINE_S = 5.0
ERROR_TEXT = b'engine error: out of memory'
SIGNED = b'X-Request-Id: r1\r\nX-Server-Stamp: s\r\n'
EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'


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


STREAM_HEAD = head(200, EVENT_STREAM, CHUNKED)
BROKEN_STREAM = STREAM_HEAD + chunk(event(1)) + chunk(event(2)) + b'12\r\nid: 3'
REST_OF_STREAM = STREAM_HEAD + chunk(event(3)) + chunk(b'')


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

    async def call(self, *script: bytes, **route: Any) -> Received:
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
            b'Connection: close\r\nContent-Length: 2\r\n\r\n{}',
        )
        async with asyncio.timeout(DEADLINE_S):
            raw = await reader.read()
        writer.close()
        return parse(raw)


@pytest.fixture
async def gateway() -> AsyncIterator[Gateway]:
    made = Gateway()
    await made.http.start()
    listed = []
    servers = []
    for number in range(TARGETS):
        server = await asyncio.start_server(made.serve_target, '127.0.0.1', 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        listed.append(make_target(f't{number}', address=f'{host}:{port}'))
    made.targets.replace_list(listed)
    listener = HttpServer(made.app, made.address, stop_timeout_s=1)
    await listener.start()
    yield made
    await listener.stop()
    for server in servers:
        server.close()
    await made.http.stop()


RESUMABLE = {'kind': RouteKind.STREAM, 'can_resume': True}
STREAM = {'kind': RouteKind.STREAM}
SAFE = {'kind': RouteKind.IDEMPOTENT}
ROUTES = {'unsafe': {}, 'safe': SAFE, 'stream': STREAM, 'resumable': RESUMABLE}
EVENT_LIKE = ERROR_TEXT + b'\n\n'
CONTINUATIONS = {
    'error': whole(500, ERROR_TEXT),
    'error-chunks': head(502, CHUNKED) + chunk(ERROR_TEXT) + chunk(b''),
    'error-unframed': head(500) + ERROR_TEXT,
    'error-head-cut': head(500)[:-6],
    'refusal': whole(503, ERROR_TEXT, b'X-Not-Executed: 1\r\n'),
    'conflict': whole(409, ERROR_TEXT, b'X-Not-Executed: 1\r\n'),
    'wrong-target': whole(421, ERROR_TEXT),
    'not-found': whole(404, ERROR_TEXT),
    'redirect': whole(302, b'', b'Location: /elsewhere\r\n'),
    'no-content': head(204),
    'partial-content': whole(206, event(3), EVENT_STREAM),
    'text': whole(200, ERROR_TEXT, EVENT_STREAM),
    'text-unframed': head(200, EVENT_STREAM) + ERROR_TEXT,
    'text-like-an-event': whole(
        200, EVENT_LIKE, b'Content-Type: text/plain\r\n'
    ),
    'text-without-type': whole(200, EVENT_LIKE),
    'event-without-id': whole(200, EVENT_LIKE, EVENT_STREAM),
    'data-without-id': whole(200, b'data: error\n\n', EVENT_STREAM),
    'json': whole(200, b'{}\n\n', b'Content-Type: application/json\r\n'),
    'two-heads': STREAM_HEAD + head(500) + ERROR_TEXT,
    'garbage': ERROR_TEXT + b'\r\n\r\n',
    'nothing': b'',
}


# Reported by operators: callers found the text or the head of the next target's
# error in the middle of their stream, or the stream ended as complete.
@pytest.mark.parametrize('name', CONTINUATIONS)
async def test_stream_is_not_continued_by_an_error(gateway, name) -> None:
    """Fault: a stream breaks off, and the next targets answer with errors."""
    answer = CONTINUATIONS[name]
    received = await gateway.call(BROKEN_STREAM, answer, answer, **RESUMABLE)
    assert received == Received(200, event(1) + event(2), is_complete=False)


@pytest.mark.parametrize('name', CONTINUATIONS)
async def test_stream_is_resumed_after_an_error(gateway, name) -> None:
    """Guards against streams that end though a third target could go on."""
    answer = CONTINUATIONS[name]
    received = await gateway.call(
        BROKEN_STREAM, answer, REST_OF_STREAM, **RESUMABLE
    )
    expected = event(1) + event(2)
    if received.is_complete:
        expected += event(3)
    assert received == (200, expected, received.is_complete)


# Failure: a resumed stream whose answer, without a length or chunks, ended
# before its first event was ended as complete (ORDER, review/5).
@pytest.mark.parametrize(
    'rest', [b'', b': comment\n\n', b'id: 3\ndata'], ids=str
)
async def test_stream_does_not_end_with_an_empty_continuation(
    gateway, rest
) -> None:
    """Fault: targets break off after the head, or before the first event."""
    answer = head(200, EVENT_STREAM) + rest
    received = await gateway.call(BROKEN_STREAM, answer, answer, **RESUMABLE)
    assert received.status == 200
    assert received.body.startswith(event(1) + event(2))
    assert event(3) not in received.body
    assert not received.is_complete


async def test_stream_may_end_with_a_framed_empty_continuation(gateway) -> None:
    """A stream that broke off after its last event has no rest."""
    answer = STREAM_HEAD + chunk(b'')
    received = await gateway.call(BROKEN_STREAM, answer, **RESUMABLE)
    assert received == Received(200, event(1) + event(2), is_complete=True)


async def test_quarantine_does_not_end_a_stream_with_a_refusal(
    gateway, monkeypatch
) -> None:
    """Fault: a stream breaks off when its prompt is in quarantine."""
    real = gateway.quarantine.check
    checks = []

    def check(parts) -> None:
        checks.append(parts)
        # Before the request, before the attempt and before its send.
        if len(checks) > 3:
            raise PartQuarantinedError('shared', 60.0)
        real(parts)

    monkeypatch.setattr(gateway.quarantine, 'check', check)
    received = await gateway.call(BROKEN_STREAM, REST_OF_STREAM, **RESUMABLE)
    assert len(checks) > 3
    assert received == Received(200, event(1) + event(2), is_complete=False)


# Statuses by which callers are told that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
UNPROVEN_STATUSES = (408, 429, 503)


# Failure: a 503, 429 or 408 of a target that may have run the request was
# passed on, so that callers sent a filing again (REFUSED, review/10).
@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize('status', UNPROVEN_STATUSES)
async def test_unproven_refusal_is_not_passed_on(
    gateway, route, status
) -> None:
    """Fault: targets refuse without the header that proves it."""
    answer = whole(status, ERROR_TEXT, b'Retry-After: 1\r\n')
    received = await gateway.call(answer, answer, answer, **ROUTES[route])
    assert received.status == 502
    assert ERROR_TEXT not in received.body
    assert received.is_complete
    if route in {'unsafe', 'stream'}:
        assert gateway.received == 1


@pytest.mark.parametrize('status', UNPROVEN_STATUSES)
async def test_safe_request_is_repeated_after_an_unproven_refusal(
    gateway, status
) -> None:
    """Another target can still run a request that may be repeated."""
    received = await gateway.call(
        whole(status, ERROR_TEXT), whole(200, b'body'), **SAFE
    )
    assert received == Received(200, b'body', is_complete=True)
    assert gateway.received == 2


@pytest.mark.parametrize('status', UNPROVEN_STATUSES)
async def test_refusal_after_an_unproven_one_promises_nothing(
    gateway, status
) -> None:
    """Fault: a target that may have run a request, then ones that refuse."""
    refusal = whole(503, ERROR_TEXT, b'X-Not-Executed: 1\r\n')
    received = await gateway.call(
        whole(status, ERROR_TEXT), refusal, refusal, **SAFE
    )
    assert received.status == 502


@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize('status', NOT_RUN_STATUSES)
async def test_proven_refusals_are_answered_as_not_run(
    gateway, route, status
) -> None:
    """Guards against hiding that a caller may send its request again."""
    refusal = whole(status, ERROR_TEXT, b'X-Not-Executed: 1\r\n')
    received = await gateway.call(refusal, refusal, refusal, **ROUTES[route])
    assert received.status == 503
    assert gateway.received == 3


ANSWERS = {
    'length': whole(200, b'0123456789'),
    'chunks': head(200, CHUNKED) + chunk(b'0123456789') + chunk(b''),
    'unframed': head(200) + b'0123456789',
    'interim': b'HTTP/1.1 100 Continue\r\n\r\n' + whole(200, b'0123456789'),
    'bare-line-feeds': head(200).replace(b'\r\n', b'\n') + b'0123456789',
    'no-body': head(204),
    'stream': STREAM_HEAD + chunk(event(1)) + chunk(b''),
    'stream-unframed': head(200, EVENT_STREAM) + event(1),
}


# Reported by operators: a target stopped in the middle of the head of its
# answer and closed; callers got a 200 with an empty or short body, framed as
# whole.
@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize('name', ANSWERS)
async def test_cut_head_is_not_passed_on_as_an_answer(
    gateway, name, route
) -> None:
    """Fault: a target closes at any byte of the head of its answer."""
    answer = ANSWERS[name]
    final = answer.rfind(b'HTTP/1.1')
    ends = (answer.find(end, final) for end in (b'\r\n\r\n', b'\n\n'))
    # All but the last byte of the empty line after the head.
    head_end = min(end for end in ends if end >= 0)
    longest = (
        head_end + 3
        if answer[head_end : head_end + 1] == b'\r'
        else head_end + 1
    )
    for size in range(longest + 1):
        cut = answer[:size]
        received = await gateway.call(cut, cut, cut, **ROUTES[route])
        assert received.status == 502, (size, cut, received)
        assert received.is_complete
        if route in {'unsafe', 'stream'}:
            assert gateway.received == 1


@pytest.mark.parametrize('name', ['length', 'chunks', 'interim', 'stream'])
async def test_cut_body_is_not_passed_on_as_whole(gateway, name) -> None:
    """Fault: a target closes at any byte of a framed body."""
    answer = ANSWERS[name]
    body_at = answer.rfind(b'\r\n\r\n', 0, answer.rfind(b'HTTP/1.1') + 200) + 4
    if name in {'chunks', 'stream'}:
        body_at = answer.find(b'\r\n\r\n') + 4
    route = STREAM if name == 'stream' else {}
    for size in range(body_at, len(answer)):
        received = await gateway.call(answer[:size], **route)
        is_whole = received.status == 200 and received.is_complete
        assert not is_whole, (size, received)
