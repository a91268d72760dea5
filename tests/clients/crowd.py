"""Clients that send more than they should, or stop before the end."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Final

from tests.soak.platform.fleet import API_KEY, HOST_NAME

BODY_BYTES: Final = 4_194_304
# Bytes at the end of a body that are never sent.
HELD_BACK: Final = 65_536
# Bytes after which a client stops sending what would have no end.
ENDLESS_BYTES: Final = 20 * 1_048_576
SENDERS: Final = 8
BODIES: Final = 40
IDLE: Final = 700
_PIECE: Final = 65_536
_FIELDS: Final = 1_024
# Longest time for which a client tries to send.
_SEND_S: Final = 10.0


_HEAD: Final = (
    f'POST /read/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Api-Key: {API_KEY}\r\n'
    'X-Request-Id: crowd\r\n'
).encode()
_OPERATOR_HEAD: Final = b'POST /config/put HTTP/1.1\r\nHost: h\r\n'
_CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n'


def _repeat(start: bytes, piece: bytes) -> Iterator[bytes]:
    yield start
    for _ in range(ENDLESS_BYTES // len(piece)):
        yield piece


def many_fields(head: bytes) -> Iterator[bytes]:
    """Yield a head with fields without end."""
    return _repeat(head, b'X-Field: %s\r\n' % (b'x' * 53) * _FIELDS)


def one_field(head: bytes) -> Iterator[bytes]:
    """Yield a head with one field without end."""
    return _repeat(b'%sX-Field: ' % head, b'x' * _PIECE)


def request_line(_head: bytes) -> Iterator[bytes]:
    """Yield a request line without end."""
    return _repeat(b'GET /read/', b'x' * _PIECE)


def empty_lines(_head: bytes) -> Iterator[bytes]:
    """Yield empty lines without end."""
    return _repeat(b'', b'\r\n' * (_PIECE // 2))


def trailers(head: bytes) -> Iterator[bytes]:
    """Yield a chunked body with trailers without end."""
    return _repeat(
        b'%s%s1\r\nx\r\n0\r\n' % (head, _CHUNKED),
        b'X-Field: %s\r\n' % (b'x' * 53) * _FIELDS,
    )


def extensions(head: bytes) -> Iterator[bytes]:
    """Yield a chunk extension without end."""
    return _repeat(b'%s%s1;' % (head, _CHUNKED), b'x' * _PIECE)


def body_with_length(head: bytes) -> Iterator[bytes]:
    """Yield a body of legal size that stops just short of its end."""
    yield b'%sContent-Length: %d\r\n\r\n' % (head, BODY_BYTES)
    for _ in range((BODY_BYTES - HELD_BACK) // _PIECE):
        yield b'b' * _PIECE


def body_in_chunks(head: bytes) -> Iterator[bytes]:
    """Yield the same body in chunks, without the last one."""
    yield b'%s%s' % (head, _CHUNKED)
    for _ in range((BODY_BYTES - HELD_BACK) // _PIECE):
        yield b'%x\r\n%s\r\n' % (_PIECE, b'b' * _PIECE)


def nothing(_head: bytes) -> Iterator[bytes]:
    """Yield nothing: the connection stays idle."""
    return iter(())


async def _client(
    address: tuple[str, int], pieces: Iterator[bytes], pause_s: float
) -> asyncio.StreamWriter | None:
    """Send all pieces, or as many as the server takes; stay connected."""
    writer = None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(_SEND_S):
            _, writer = await asyncio.open_connection(*address)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
    return writer


@contextlib.asynccontextmanager
async def crowd(
    address: tuple[str, int],
    stream: Callable[[bytes], Iterator[bytes]],
    count: int,
    *,
    is_operator: bool,
    pause_s: float,
) -> AsyncIterator[None]:
    """Run `count` clients; yield when they have stopped sending.

    Their connections stay open until the exit.
    """
    head = _OPERATOR_HEAD if is_operator else _HEAD
    writers = await asyncio.gather(
        *(_client(address, stream(head), pause_s) for _ in range(count))
    )
    try:
        yield
    finally:
        for writer in writers:
            if writer is not None:
                writer.transport.abort()
