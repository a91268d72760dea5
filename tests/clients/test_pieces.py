"""Test of whole connections whose bytes arrive in any pieces."""

from __future__ import annotations

import asyncio
from typing import Any

import uvicorn
from hypothesis import given, settings
from hypothesis import strategies as st
from uvicorn.server import ServerState

from hornbeamline.clients import (
    ClientBudget,
    ClientProtocol,
    ListenerTerms,
    NoChecks,
    ProcessLimits,
    RequestLimits,
)
from hornbeamline.helpers.clock import ManualClock
from tests.clients.test_framing import pieces

PARTS = (
    b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n',
    b'\r\n\r\n',
    b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde',
    b'POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'3;a=b\r\nabc\r\n',
    b'0\r\nT: v\r\n\r\n',
    b'800\r\n',
    b'GET / HTTP/1.0\r\nHost: h\r\n\r\n',
    b'GET /%s' % (b'x' * 2000),
    b'POST /d HTTP/1.1\r\nContent-Length: 4000\r\n\r\n',
    b'CONNECT h:1 HTTP/1.1\r\n\r\n',
    b'GET /e HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
    b'\x00\xff',
)


class FakeTransport(asyncio.Transport):
    """Transport that records what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b''
        self.is_ended = False

    def write(self, data: Any) -> None:
        """Record bytes."""
        if not self.is_ended:
            self.written += data

    def close(self) -> None:
        """Accept no more bytes."""
        self.is_ended = True

    write_eof = abort = close

    def is_closing(self) -> bool:
        """Return whether the transport is closed."""
        return self.is_ended

    def pause_reading(self) -> None:
        """Do nothing: the test waits for each answer."""

    resume_reading = pause_reading

    def get_write_buffer_size(self) -> int:
        """Return 0: the client reads everything."""
        return 0

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing."""


async def serve(parts: list[bytes]) -> tuple[bytes, list[Any]]:
    """Return what a client reads, and the requests that ran."""
    ran: list[Any] = []

    async def app(scope: Any, receive: Any, send: Any) -> None:
        message = await receive()
        ran.append((scope['path'], scope['headers'], message['body']))
        start = {'type': 'http.response.start', 'status': 200}
        await send({**start, 'headers': [(b'content-length', b'2')]})
        await send({'type': 'http.response.body', 'body': b'ok'})

    budget = ClientBudget(ProcessLimits(100), ManualClock())
    budget.requests = RequestLimits(1_024, 2_000)
    protocol = ClientProtocol(
        ListenerTerms(budget, NoChecks(), reads_whole=True),
        config=uvicorn.Config(app, lifespan='off', log_level='critical'),
        server_state=ServerState(),
        app_state={},
    )
    transport = FakeTransport()
    protocol.connection_made(transport)
    for part in parts:
        if not transport.is_ended:
            protocol.data_received(part)
        for _ in range(20):
            await asyncio.sleep(0)
    return transport.written, ran


@settings(max_examples=150, deadline=None)
@given(
    st.lists(st.sampled_from(PARTS), max_size=5).map(b''.join),
    st.lists(st.integers(0, 3000), max_size=6),
)
def test_connection_does_not_depend_on_the_pieces(
    content: bytes, cuts: list[int]
) -> None:
    """Failure: a request that is served or refused by how it is cut."""
    whole = asyncio.run(serve([content]))
    assert whole == asyncio.run(serve(pieces(content, cuts)))
