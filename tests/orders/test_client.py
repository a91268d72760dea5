"""HTTP client for orders and engine reports."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from aiohttp import web

from hornbeamline.inventory import Target
from hornbeamline.orders import (
    EngineReport,
    EngineUnreadableError,
    HttpEngineClient,
    OrderBody,
    OrderLostError,
    OrderNotSentError,
    OrderRefusedError,
    StaleFencingError,
)
from tests.common import free_address

BODY: OrderBody = {
    'fencing': 7,
    'order_id': '7-1',
    'action': 'load_model',
    'model': 'm1',
    'adapter': '',
    'version': 'v1',
    'role': '',
    'expires_in_ms': 1000,
}


class Engine:
    """Stub of the order interface of an engine."""

    def __init__(self) -> None:
        """Create a stub that accepts all orders."""
        address = free_address()
        self.target = Target(service='s', data_centre='d', address=address)
        self.status = 200
        self.silent = False
        self.report: Any = {}
        self.orders: list[Any] = []

    async def receive_order(self, request: web.Request) -> web.Response:
        """Record an order once its body is complete."""
        self.orders.append(await request.json())
        if self.silent:
            await asyncio.Event().wait()
        return web.Response(status=self.status)

    async def state(self, _request: web.Request) -> web.Response:
        """Report the state."""
        return web.json_response(self.report, status=self.status)


@pytest.fixture
async def engine():
    """Yield a running engine."""
    standin = Engine()
    app = web.Application()
    app.router.add_post('/v1/orders', standin.receive_order)
    app.router.add_get('/v1/engine', standin.state)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = standin.target.address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    yield standin
    await runner.cleanup()


@pytest.fixture
async def client():
    """Yield a client."""
    http = HttpEngineClient()
    yield http
    await http.close()


async def test_order_is_written_only_with_permission(
    engine: Engine,
    client: HttpEngineClient,
) -> None:
    """Guards against an order that is sent after leadership has lapsed."""
    with pytest.raises(OrderNotSentError):
        await client.order(engine.target, BODY, lambda: False, 1)
    await asyncio.sleep(0.05)
    assert engine.orders == []
    await client.order(engine.target, BODY, lambda: True, 1)
    assert engine.orders == [BODY]


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (409, StaleFencingError),
        (400, OrderRefusedError),
        (302, OrderRefusedError),
        (500, OrderLostError),
    ],
)
async def test_status_of_an_order(
    engine: Engine,
    client: HttpEngineClient,
    status: int,
    error: type[Exception],
) -> None:
    """Guards against an error that rules out an effect without proof."""
    engine.status = status
    with pytest.raises(error):
        await client.order(engine.target, BODY, lambda: True, 1)
    with pytest.raises(EngineUnreadableError):
        await client.report(engine.target, 1)


async def test_silent_and_absent_engines(
    engine: Engine,
    client: HttpEngineClient,
) -> None:
    """Guards against a lost response that is reported as a refusal."""
    engine.silent = True
    with pytest.raises(OrderLostError):
        await client.order(engine.target, BODY, lambda: True, 0.2)
    assert len(engine.orders) == 1
    absent = Engine().target
    with pytest.raises(OrderNotSentError):
        await client.order(absent, BODY, lambda: True, 1)
    with pytest.raises(EngineUnreadableError):
        await client.report(absent, 1)


async def test_reports(engine: Engine, client: HttpEngineClient) -> None:
    """Guards against an invalid report that is read as an empty engine."""
    engine.report = {'models': {'m1': 'v1'}, 'role': 'serve', 'loading': []}
    assert await client.report(engine.target, 1) == EngineReport(
        models={'m1': 'v1'},
        role='serve',
    )
    for engine.report in ({'models': ['m1']}, {'models': {'x' * 300_000: ''}}):
        with pytest.raises(EngineUnreadableError):
            await client.report(engine.target, 1)


async def test_report_with_a_lost_answer_is_requested_once(client) -> None:
    """Guards against requests that the HTTP library sends again by itself."""
    heads = []

    async def lose(reader, writer):
        heads.append(await reader.readuntil(b'\r\n\r\n'))
        writer.close()

    server = await asyncio.start_server(lose, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    target = Target(service='s', data_centre='d', address=f'{host}:{port}')
    async with server:
        with pytest.raises(EngineUnreadableError):
            await client.report(target, 1)
    assert len(heads) == 1
