"""Tests of refusals over a connection, with one listener."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest

from hornbeamline.clients import (
    ClientBudget,
    ClientProtocol,
    HeadRefusal,
    NoChecks,
    ProcessLimits,
)
from hornbeamline.clients._budget import Share
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.helpers.http_server import HttpServer
from hornbeamline.platform._wire import PlatformWire
from tests.common import free_address

LENGTH = 4_194_304
POST = b'POST /x HTTP/1.1\r\nHost: h\r\n'


class Site(NoChecks):
    """Listener whose application records the requests that run."""

    def __init__(self) -> None:
        self.address = free_address()
        self.budget = ClientBudget(ProcessLimits(100), SystemClock())
        self.requests: list[tuple[dict[str, Any], bytes]] = []
        self.refusal_of_head: HeadRefusal | None = None

    def check(self, _scope: Any) -> HeadRefusal | str:
        """Return the refusal that a test has set."""
        return self.refusal_of_head or ''

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Record a request and answer it."""
        message = await receive()
        assert not message['more_body']
        self.requests.append((scope, message['body']))
        headers = [(b'content-length', b'2')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send({'type': 'http.response.body', 'body': b'ok'})

    async def exchange(self, *parts: bytes, until: bytes = b'') -> bytes:
        """Send parts in order; return what the server answers to its end."""
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        answer = b''
        with contextlib.suppress(ConnectionError):
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)
        async with asyncio.timeout(10):
            if until:
                answer = await reader.readuntil(until)
            else:
                answer = await reader.read()
        writer.close()
        return answer


async def until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds, for 5 s at most."""
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError('the condition does not come true')


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    """Yield a site that listens."""
    site = Site()
    server = HttpServer(
        site,
        site.address,
        stop_timeout_s=0,
        budget=site.budget,
        checks=site,
    )
    await server.start()
    await asyncio.sleep(0.05)
    yield site
    await server.stop()


@pytest.mark.parametrize(
    ('parts', 'status'),
    [
        ([b'GET /%s' % (b'x' * 30_000)], b'431'),
        ([b'\r\n' * 15_000], b'431'),
        ([POST + b'Content-Length: 4194305\r\n\r\n'], b'413'),
        (
            [POST + b'Transfer-Encoding: chunked\r\n\r\n400001\r\n'],
            b'413',
        ),
        (
            [
                POST + b'Transfer-Encoding: chunked\r\n\r\n',
                b'1;%s' % (b'x' * 30_000),
            ],
            b'400',
        ),
        ([b'nonsense\r\n\r\n'], b'400'),
    ],
)
async def test_refusal_is_read_and_nothing_runs(site, parts, status) -> None:
    """Failure: a refusal that is lost because unread bytes reset it."""
    more = [b'y' * 65_536] * 8
    answer = await site.exchange(*parts, *more)
    assert answer.startswith(b'HTTP/1.1 %s ' % status)
    assert not site.requests
    assert not site.budget.used


async def test_head_is_refused_without_its_body(site) -> None:
    """Failure: bodies are read for requests that have no route."""
    site.refusal_of_head = HeadRefusal(404, 'no_route', [], b'')
    answer = await site.exchange(POST + b'Content-Length: %d\r\n\r\n' % LENGTH)
    assert answer.startswith(b'HTTP/1.1 404 ')
    assert not site.requests


async def test_crowded_body_is_refused_and_never_runs(site) -> None:
    """Failure: a request that was refused with 503 runs later."""
    site.budget.capacity = LENGTH
    head = POST + b'Content-Length: %d\r\n\r\n' % LENGTH
    answer = await site.exchange(head, b'x' * LENGTH)
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert not site.requests


async def test_late_body_is_answered_408(site, monkeypatch) -> None:
    """Failure: a body that stands still is kept, or dropped silently."""
    monkeypatch.setattr('hornbeamline.clients._budget.BODY_PAUSE_S', 0.2)
    answer = await site.exchange(POST + b'Content-Length: 5\r\n\r\nab')
    assert answer.startswith(b'HTTP/1.1 408 ')
    assert not site.requests


async def test_pipelined_requests_run_in_order(site) -> None:
    """Failure: requests beyond the first are lost, merged or held."""
    chunked = b'Transfer-Encoding: chunked\r\n\r\n'
    body = b'3;a=b\r\nabc\r\n0\r\nX-Api-Key: k\r\n\r\n'
    last = POST + b'Connection: close\r\nContent-Length: 1\r\n\r\nz'
    answer = await site.exchange(
        (POST + chunked + body) * 3 + POST + b'\r\n' + last
    )
    assert answer.count(b'HTTP/1.1 200 ') == 5
    bodies = [content for _, content in site.requests]
    assert bodies == [b'abc', b'abc', b'abc', b'', b'z']
    # Trailers must not pass as fields of the head.
    names = [name for name, _ in site.requests[0][0]['headers']]
    assert b'x-api-key' not in names


async def test_expected_continue_is_sent(site) -> None:
    """Failure: a client that waits for 100 Continue waits for ever."""
    head = POST + b'Expect: 100-continue\r\nContent-Length: 5\r\n\r\n'
    answer = await site.exchange(head, until=b'\r\n\r\n')
    assert answer == b'HTTP/1.1 100 Continue\r\n\r\n'


async def test_large_body_in_pieces_arrives_whole(site) -> None:
    """Failure: a legal body in pieces is refused or damaged."""
    pieces = [b'%x' % number * 60_000 for number in range(16)]
    content = b''.join(pieces)
    head = POST + b'Connection: close\r\nContent-Length: %d\r\n\r\n'
    answer = await site.exchange(head % len(content), *pieces)
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert site.requests[0][1] == content
    assert not site.budget.used


async def test_unread_responses_leave_no_room(site) -> None:
    """Load: clients with small requests read nothing of large responses."""
    slow = Share('10.0.0.1', lambda _: None, lambda: 0)
    site.budget.open(slow)
    site.budget.note_unread(slow, site.budget.capacity + 1)
    answer = await site.exchange(POST + b'\r\n')
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert not site.requests
    site.budget.close(slow)
    answer = await site.exchange(POST + b'Connection: close\r\n\r\n')
    assert answer.startswith(b'HTTP/1.1 200 ')


async def test_huge_figure_of_a_head_counts_as_absent() -> None:
    """Failure: a deadline too large for a float ends the connection."""
    headers = [(b'x-deadline-ms', b'9' * 400), (b'host', b'h')]
    scope = {
        'method': 'POST',
        'headers': headers,
        'raw_path': b'/',
        'query_string': b'',
    }
    assert PlatformWire().read_request(scope, 0).caller_timeout_s is None


async def test_lost_connection_frees_its_body(site) -> None:
    """Failure: bodies of lost connections stay until a full collection."""
    gc.collect()
    gc.disable()
    try:
        head = POST + b'Content-Length: %d\r\n\r\n' % LENGTH
        host, _, port = site.address.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(head + b'x' * 65_536)
        await until(lambda: site.budget.arriving)
        writer.transport.abort()
        await until(lambda: not site.budget.connections)
        await asyncio.sleep(0.01)
        kept = [
            found
            for found in gc.get_objects()
            if isinstance(found, ClientProtocol)
        ]
    finally:
        gc.enable()
    assert not kept
