"""Graceful shutdown of the HTTP server under load."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter

import aiohttp

from hornbeamline.helpers.http_server import HttpServer
from tests.common import free_address

WORK_S = 0.004
CALLERS = 24
# Callers that have connected but not yet sent their request.
SLOW_CALLERS = 10
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


async def app(scope, receive, send) -> None:
    """Answer after a short processing time."""
    await asyncio.sleep(WORK_S)
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', b'2')],
        },
    )
    await send({'type': 'http.response.body', 'body': b'ok'})


async def send_requests(
    address: str, outcomes: Counter[str], *, reuses: bool
) -> None:
    """Send requests in sequence until a connection is refused."""
    connector = aiohttp.TCPConnector(force_close=not reuses)
    async with aiohttp.ClientSession(connector=connector) as session:
        while not outcomes['refused'] or reuses:
            try:
                async with session.post(f'http://{address}/') as reply:
                    outcomes[await reply.text()] += 1
            except aiohttp.ClientConnectorError:
                outcomes['refused'] += 1
                return
            except aiohttp.ClientError as error:
                outcomes[f'cut off: {error!r}'] += 1


async def connect_and_wait(address: str, outcomes: Counter[str]) -> None:
    """Connect and send the request after a delay."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    await asyncio.sleep(0.1)
    with contextlib.suppress(ConnectionError):
        writer.write(REQUEST)
        answer = await reader.read(64)
        outcomes['ok' if answer.startswith(b'HTTP/1.1 200') else 'cut off'] += 1
        writer.close()
        return
    outcomes['cut off: reset'] += 1


# Failure: during a graceful shutdown, requests on connections that had just
# been accepted were aborted without a response.
async def test_stop_under_load_aborts_no_request() -> None:
    """Shutdown: callers use keep-alive and new connections until the end."""
    address = free_address()
    server = HttpServer(app, address, stop_timeout_s=1)
    await server.start()
    outcomes: Counter[str] = Counter()
    async with asyncio.TaskGroup() as group:
        for number in range(CALLERS):
            group.create_task(
                send_requests(address, outcomes, reuses=bool(number % 2)),
            )
        await asyncio.sleep(0.3)
        for _ in range(SLOW_CALLERS):
            group.create_task(connect_and_wait(address, outcomes))
        await asyncio.sleep(0.05)
        await server.stop()
    assert outcomes.keys() == {'ok', 'refused'}, outcomes


# Failure: asyncio drops a connection that it has accepted in the loop turn in
# which its server is closed, without an answer and without closing it.
async def test_connection_accepted_in_the_turn_of_the_stop_is_answered() -> (
    None
):
    """Shutdown: callers connect at the very moment of the stop."""
    address = free_address()
    server = HttpServer(app, address, stop_timeout_s=1)
    await server.start()
    await asyncio.sleep(0.1)
    host, _, port = address.rpartition(':')
    callers = [socket.create_connection((host, int(port))) for _ in range(3)]
    loop = asyncio.get_running_loop()
    listener = server._server._listener
    # What the loop does when the listener becomes readable, in the turn in
    # which the stop is requested.
    reader, _writer = loop._selector.get_key(listener.fileno()).data
    stop = asyncio.create_task(server.stop())
    await asyncio.sleep(0)
    reader._callback(*reader._args)
    outcomes: Counter[str] = Counter()
    await asyncio.gather(
        *(_request_over(caller, outcomes) for caller in callers)
    )
    await stop
    assert outcomes == {'ok': len(callers)}


async def _request_over(caller: socket.socket, outcomes: Counter[str]) -> None:
    reader, writer = await asyncio.open_connection(sock=caller)
    writer.write(REQUEST)
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(3):
            answer = await reader.read(64)
            outcomes['ok' if b' 200 ' in answer else 'cut off'] += 1
    writer.close()
