"""Tests of the limits that hold while bytes arrive."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamline.clients._framing import ChunkedBody, HeadReader
from hornbeamline.clients.errors import FramingError

MAX_HEAD = 64
MAX_BODY = 64
HEADS = (
    b'GET / HTTP/1.1\r\nA: b\r\n\r\n',
    b'\r\n\r\nGET / HTTP/1.1\r\n\r\n',
    b'\r\n' * 60,
    b'GET /%s' % (b'x' * 200),
    b'GET / HTTP/1.1\r\nA: %s\r\n\r\n' % (b'x' * 45),
    b'\r\r\n\n',
)
BODIES = (
    b'3\r\nabc\r\n0\r\n\r\nGET /',
    b'1;a=b\r\nx\r\n0\r\nT: v\r\n\r\n',
    b'1;%s' % (b'x' * 200),
    b'0\r\n%s' % (b'T: v\r\n' * 40),
    b'20\r\n%s\r\n21\r\nx' % (b'x' * 32),
    b'zz\r\n',
    b'00000000000000001\r\nx\r\n',
    b'\n\n',
)
data = st.lists(st.sampled_from((*HEADS, *BODIES)), max_size=3).map(b''.join)


def pieces(content: bytes, cuts: list[int]) -> list[bytes]:
    """Return the content, cut at positions in any order."""
    ends = sorted({cut for cut in cuts if 0 < cut < len(content)})
    return [
        content[start:end]
        for start, end in zip([0, *ends], [*ends, len(content)], strict=True)
    ]


def read_heads(parts: list[bytes]) -> list[object]:
    """Return the heads of a byte stream, and the refusal that ends it."""
    reader = HeadReader()
    found: list[object] = []
    for part in parts:
        rest = part
        while rest:
            try:
                whole = reader.take(rest, MAX_HEAD)
            except FramingError as error:
                return [*found, error.status]
            if whole is None:
                break
            found.append(whole[0])
            rest = whole[1]
    return found


def read_body(parts: list[bytes]) -> tuple[bytes, bool, int | None]:
    """Return the bytes of a body, whether it ended, and its refusal."""
    body = ChunkedBody(MAX_BODY, MAX_HEAD)
    taken = b''
    for part in parts:
        used = body.take(part)
        taken += part[:used]
        if body.is_complete or body.error:
            break
    error = body.error
    return taken, body.is_complete, None if error is None else error.status


@given(data, st.lists(st.integers(0, 600), max_size=8))
def test_same_bytes_in_other_pieces_get_the_same_result(
    content: bytes, cuts: list[int]
) -> None:
    """Failure: a limit that depends on how the network cuts a request."""
    assert read_heads([content]) == read_heads(pieces(content, cuts))
    assert read_body([content]) == read_body(pieces(content, cuts))


@pytest.mark.parametrize(
    ('content', 'status'),
    [(BODIES[2], 400), (BODIES[3], 400), (BODIES[4], 413), (BODIES[5], 400)],
)
def test_endless_body_is_refused(content: bytes, status: int) -> None:
    """Failure: extensions and trailers without end are read for ever."""
    assert read_body([content])[2] == status


def test_head_within_the_limit_passes() -> None:
    """Failure: a client within the limits of the document is refused."""
    head = b'GET / HTTP/1.1\r\nA: %s\r\n\r\n' % (b'x' * (MAX_HEAD - 23))
    assert len(head) == MAX_HEAD
    assert read_heads([head]) == [head]
