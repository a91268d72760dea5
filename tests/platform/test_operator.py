"""Routes by which the platform's operator starts and ends evacuations."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import pytest

from hornbeamline.evacuations import (
    EvacuationState,
    EvacuationUnavailableError,
    UnknownDataCentreError,
)
from hornbeamline.evacuations.operator import add_evacuation_routes
from hornbeamline.helpers.caller_watch import CallerWatchApp
from hornbeamline.helpers.http_server import HttpServer
from hornbeamline.platform._operator import operator_app
from tests.common import free_address
from tests.replog.group import eventually

NAMES = ('z1', 'a/b', 'a%2Fb', '100%', 'ü/start', 'x\ny')
ENCODED = ('z1', 'a%2Fb', 'a%252Fb', '100%25', '%C3%BC%2Fstart', 'x%0Ay')


class FakeEvacuations:
    """Service that records the orders and can wait or fail."""

    def __init__(self) -> None:
        self.orders: list[tuple[str, str]] = []
        self.is_available = True
        # If set, an order waits until its caller has left.
        self.waits_for_end = False
        self.has_left = asyncio.Event()

    async def start(
        self, name: str, is_waiting: Callable[[], bool]
    ) -> EvacuationState:
        """Record the start of an evacuation."""
        return await self._record('start', name, is_waiting)

    async def end(
        self, name: str, is_waiting: Callable[[], bool]
    ) -> EvacuationState:
        """Record the end of an evacuation."""
        return await self._record('end', name, is_waiting)

    async def read(self) -> EvacuationState:
        """Return a state."""
        return EvacuationState(4, ['z1'])

    async def _record(
        self, order: str, name: str, is_waiting: Callable[[], bool]
    ) -> EvacuationState:
        if self.waits_for_end:
            await eventually(lambda: not is_waiting(), 5)
        if not is_waiting():
            self.has_left.set()
        if not self.is_available:
            raise EvacuationUnavailableError('no leader')
        if name not in NAMES:
            raise UnknownDataCentreError(name)
        self.orders.append((order, name))
        return EvacuationState(4, [name])


class Routes:
    """Served routes, with a client."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self.evacuations = FakeEvacuations()
        self.address = address
        self._session = session

    async def call(self, method: str, path: str) -> tuple[int, Any]:
        """Return the status of a call and its body."""
        url = aiohttp.client.URL(f'http://{self.address}{path}', encoded=True)
        async with self._session.request(method, url) as reply:
            body = await reply.read()
            is_json = reply.content_type == 'application/json' and body
            return reply.status, await reply.json() if is_json else None


@pytest.fixture
async def routes() -> AsyncIterator[Routes]:
    """Yield the routes of the operator on a loopback address."""
    address = free_address()
    async with aiohttp.ClientSession() as session:
        served = Routes(address, session)
        evacuations: Any = served.evacuations
        documents: Any = None
        app = operator_app(documents, evacuations)
        add_evacuation_routes(app, evacuations)
        server = HttpServer(CallerWatchApp(app), address)
        await server.start()
        yield served
        await server.stop()


async def test_names_are_decoded_once(routes) -> None:
    """Guards against names that no operator can evacuate."""
    for name, encoded in zip(NAMES, ENCODED, strict=True):
        for order in ('start', 'end'):
            path = f'/evacuations/{encoded}/{order}'
            status, _ = await routes.call('POST', path)
            assert status == 200, name
            assert routes.evacuations.orders[-1] == (order, name)
        path = f'/v1/evacuations/{encoded}'
        status, body = await routes.call('PUT', path)
        assert (status, body['data_centres']) == (200, [name])
        assert (await routes.call('DELETE', path))[0] == 200
        assert routes.evacuations.orders[-1] == ('end', name)
    assert await routes.call('GET', '/v1/evacuations') == (
        200,
        {'number': 4, 'data_centres': ['z1']},
    )


@pytest.mark.parametrize(
    ('path', 'status'),
    [
        ('/evacuations/other/start', 404),
        ('/evacuations/Z1/start', 404),
        ('/evacuations/%ff%fe/start', 404),
        ('/evacuations//start', 404),
        ('/evacuations/start', 404),
        ('/evacuations/z1', 404),
        ('/evacuations/z1/start/', 404),
        ('/evacuations/z1/stop', 404),
        ('/v1/evacuations/other', 405),
    ],
)
async def test_odd_paths_change_nothing(routes, path, status) -> None:
    """Bad input: unknown names and paths."""
    assert (await routes.call('POST', path))[0] == status
    assert not routes.evacuations.orders


async def test_other_methods_and_no_leader_are_refused(routes) -> None:
    """Bad input: a GET of an order; fault: no leader."""
    assert (await routes.call('GET', '/evacuations/z1/start'))[0] == 405
    routes.evacuations.is_available = False
    assert (await routes.call('POST', '/evacuations/z1/start'))[0] == 503
    assert not routes.evacuations.orders


async def test_end_of_the_caller_is_noticed(routes) -> None:
    """Guards against orders that are carried out after they were given up."""
    routes.evacuations.waits_for_end = True
    calling = asyncio.ensure_future(
        routes.call('POST', '/evacuations/z1/start')
    )
    await asyncio.sleep(0.1)
    assert not routes.evacuations.has_left.is_set()
    calling.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await calling
    async with asyncio.timeout(5):
        await routes.evacuations.has_left.wait()
