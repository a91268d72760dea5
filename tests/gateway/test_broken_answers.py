"""Broken answers of targets, as a caller receives them over a connection."""

from __future__ import annotations

import asyncio

import pytest

from hornbeamline.quarantine import PartQuarantinedError
from tests.gateway.builders import make_target
from tests.gateway.scripted import (
    CHUNKED,
    EVENT_STREAM,
    RESUMABLE,
    ROUTES,
    SAFE,
    SIGNED,
    STREAM,
    Received,
    chunk,
    event,
    head,
    reset,
    whole,
)

# More than the buffers of a connection take.
UPLOAD_BYTES = 3_000_000
ERROR_TEXT = b'engine error: out of memory'
STREAM_HEAD = head(200, EVENT_STREAM, CHUNKED)
BROKEN_STREAM = STREAM_HEAD + chunk(event(1)) + chunk(event(2)) + b'12\r\nid: 3'
REST_OF_STREAM = STREAM_HEAD + chunk(event(3)) + chunk(b'')
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


# Statuses outside of the range of final ones, and what no target may name.
BROKEN_HEADS = {
    **{
        f'status-{status}': b'HTTP/1.1 %b X\r\n%b' % (status.encode(), SIGNED)
        for status in ('000', '099', '100', '101', '199', '600', '999')
    },
    'control-character': head(200, b'X-Note: a\x01b\r\n')[:-2],
    'refusal-000': b'HTTP/1.1 000 X\r\nX-Not-Executed: 1\r\n' + SIGNED,
}


# Reported by operators: a status of 000 was passed on as an answer. Here the
# caller's connection was closed without an answer, and 101 was passed on.
@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize('name', BROKEN_HEADS)
async def test_head_that_is_no_answer_is_not_passed_on(
    gateway, name, route
) -> None:
    """Fault: the head of an answer is none of HTTP."""
    answer = BROKEN_HEADS[name] + b'Content-Length: 4\r\n\r\nbody'
    received = await gateway.call(answer, answer, answer, **ROUTES[route])
    assert received.status == 502
    assert received.is_complete
    if route in {'unsafe', 'stream'}:
        assert gateway.received == 1


# Reported by operators: a target answered before it had read a long upload,
# without a length, and reset the connection; callers took the part of the body
# that had come for the whole.
@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize('delay_s', [0, 0.001, 0.05])
async def test_answer_reset_during_an_upload_is_not_whole(
    gateway, delay_s, route
) -> None:
    """Fault: a target resets its answer while the request is being sent."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head(200, EVENT_STREAM) + event(1))
        await asyncio.sleep(delay_s)
        reset(writer)

    server = await asyncio.start_server(answer, '127.0.0.1', 0, limit=1024)
    host, port = server.sockets[0].getsockname()
    target = make_target('t0', address=f'{host}:{port}')
    gateway.targets.replace_list([target])
    received = await gateway.call(body=b'x' * UPLOAD_BYTES, **ROUTES[route])
    server.close()
    assert received.status == 502 or not received.is_complete
