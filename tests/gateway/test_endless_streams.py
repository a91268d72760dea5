"""Streams of targets that send without end, beside other requests."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import pytest

from tests.endless_target import PART_BYTES, EndlessTarget, unframed
from tests.gateway.builders import make_route, make_table, make_target
from tests.gateway.scripted import (
    CHUNKED,
    EVENT_STREAM,
    RESUMABLE,
    SAFE,
    STREAM,
    Gateway,
    chunk,
    event,
    head,
)

# Time limit of the streams.
LIMIT_S: Final = 3.0
# Requests have to be answered this soon after their time limit.
MAX_LAG_S: Final = 0.5
LAG_PERIOD_S: Final = 0.01
# What a target sends until its stream is given up, besides what the buffers of
# both ends of the connection take.
MAX_SENT: Final = 16_777_216
STREAM_HEAD: Final = head(200, EVENT_STREAM, CHUNKED)


def repeated(piece: bytes) -> Callable[[], Iterator[bytes]]:
    """Return a source of chunks that consist of a piece, without end."""
    part = chunk(piece * (PART_BYTES // len(piece)))
    return lambda: itertools.repeat(part)


def numbered(first: int = 1) -> Iterator[bytes]:
    """Return chunks with events in order, without end."""
    for start in itertools.count(first, 1000):
        yield chunk(b''.join(event(start + step) for step in range(1000)))


async def call(gateway: Gateway, target: EndlessTarget, **route: Any) -> bytes:
    """Send a request for a stream of a target; return what comes back."""
    gateway.targets.replace_list([make_target('e0', address=target.address)])
    made = make_route(**{'max_attempts': 3, 'timeout_s': LIMIT_S, **route})
    gateway.app.update_table(make_table(made))
    host, _, port = gateway.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'POST /p/1 HTTP/1.1\r\nHost: host.example\r\n'
        b'X-Request-Id: r1\r\nX-Deadline-Ms: 9000\r\nX-Token-Count: 10,50\r\n'
        b'Connection: close\r\nContent-Length: 2\r\n\r\n{}',
    )
    received = bytearray()
    with contextlib.suppress(ConnectionError):
        while part := await reader.read(PART_BYTES):
            received += part
    writer.close()
    return bytes(received)


async def longest_lag_s() -> float:
    """Measure until cancelled how long the event loop keeps a task waiting."""
    longest: float = 0
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            began = time.monotonic()
            await asyncio.sleep(LAG_PERIOD_S)
            longest = max(longest, time.monotonic() - began - LAG_PERIOD_S)
    return longest


SOURCES: Final[Mapping[str, Callable[[], Iterator[bytes]]]] = MappingProxyType(
    {
        'empty-lines': repeated(b'\n'),
        'empty-lines-crlf': repeated(b'\r\n'),
        'comments': repeated(b': beat\n\n'),
        'comment-lines': repeated(b': beat\n'),
        'one-line': repeated(b'x'),
        'lines': repeated(b'data: x\n'),
        'repeated-event': repeated(event(1)),
        'events': numbered,
        'events-without-ids': repeated(b'data: x\n\n'),
        'short-events': repeated(b'a\n\n'),
        'long-ids': repeated(b'id: ' + b'9' * 5000 + b'\ndata: x\n\n'),
        'tiny-chunks': unframed(chunk(b'\n')),
    }
)


# Failure: empty lines without end hung the host; requests to sound targets of
# other services were not answered at their time limit (CONFIG, review/6).
@pytest.mark.parametrize(
    'route', [STREAM, RESUMABLE], ids=['once', 'resumable']
)
@pytest.mark.parametrize('name', SOURCES)
async def test_endless_stream_does_not_delay_others(
    gateway, name, route
) -> None:
    """Fault: a target sends what is no answer, without a pause."""
    with EndlessTarget(SOURCES[name], STREAM_HEAD) as target:
        lag = asyncio.ensure_future(longest_lag_s())
        await asyncio.sleep(0)
        async with asyncio.timeout(LIMIT_S + 2 * MAX_LAG_S):
            received = await call(gateway, target, **route)
        lag.cancel()
        assert await lag < MAX_LAG_S
        # Incomplete, or refused without a promise.
        assert not received.endswith(b'\r\n0\r\n\r\n')
        assert b' 200 ' in received[:20] or b' 502 ' in received[:20]
        assert await asyncio.to_thread(target.is_closed.wait, LIMIT_S)
        assert target.sent < MAX_SENT


class Endless(NamedTuple):
    """Beginning of an answer, and what is repeated after it."""

    beginning: bytes
    piece: bytes


# What is neither a body nor the end of an answer.
OVERHEAD: Final[Mapping[str, Endless]] = MappingProxyType(
    {
        'interim-heads': Endless(b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        'empty-lines': Endless(b'', b'\r\n'),
        'fields': Endless(b'HTTP/1.1 200 OK\r\n', b'A:\r\n'),
        'trailers': Endless(STREAM_HEAD + b'0\r\n', b'A: 1\r\n'),
        'extensions': Endless(STREAM_HEAD + b'5;', b'a=b;'),
        'chunk-size': Endless(STREAM_HEAD, b'0'),
        'tiny-chunks': Endless(STREAM_HEAD, chunk(b'x')),
    }
)


# Failure: chunk extensions without end took a whole processor until the time
# limit; a megabyte of interim heads delayed all requests by a quarter second.
@pytest.mark.parametrize('route', [SAFE, STREAM], ids=['safe', 'stream'])
@pytest.mark.parametrize('name', OVERHEAD)
async def test_endless_overhead_is_cut_off(gateway, name, route) -> None:
    """Fault: what a target sends is no answer and has no end."""
    beginning, piece = OVERHEAD[name]
    with EndlessTarget(unframed(piece), beginning) as target:
        lag = asyncio.ensure_future(longest_lag_s())
        await asyncio.sleep(0)
        async with asyncio.timeout(LIMIT_S + 2 * MAX_LAG_S):
            received = await call(gateway, target, **route)
        lag.cancel()
        assert await lag < MAX_LAG_S
        assert b' 502 ' in received[:20]
        assert not received.endswith(b'\r\n0\r\n\r\n')
        assert await asyncio.to_thread(target.is_closed.wait, LIMIT_S)
        assert target.sent < MAX_SENT
