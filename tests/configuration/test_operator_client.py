"""Operator commands against control hosts that lose answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from hornbeamline.cli._operator import (
    OperatorAccess,
    OperatorClient,
    OperatorUnreachableError,
)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


async def serve(handler: Handler) -> TestServer:
    """Start a stub of a control host."""
    app = web.Application()
    app.router.add_post('/change', handler)
    server = TestServer(app)
    await server.start_server()
    return server


def client_of(*servers: TestServer, timeout_s: float = 5) -> OperatorClient:
    """Return a client that knows the given control hosts."""
    addresses = [f'{server.host}:{server.port}' for server in servers]
    return OperatorClient(OperatorAccess(addresses, 'secret', timeout_s))


async def test_lost_answer_is_asked_again_with_the_same_change() -> None:
    """Guards against a change that is sent under a second id."""
    bodies: list[Any] = []

    async def handle(request: web.Request) -> web.StreamResponse:
        bodies.append(await request.json())
        if len(bodies) == 1:
            assert request.transport is not None
            request.transport.abort()
        elif len(bodies) == 2:
            return web.json_response({'reason': 'unknown'}, status=503)
        return web.json_response({'revision': 2})

    server = await serve(handle)
    change = {'change_id': 'c1', 'operations': []}
    answer = await client_of(server).request('POST', '/change', change)
    assert (answer.status, answer.body) == (200, {'revision': 2})
    assert bodies == [change] * 3
    await server.close()


async def test_leader_address_is_followed() -> None:
    """Guards against an operator who only knows a follower."""

    async def lead(_request: web.Request) -> web.StreamResponse:
        return web.json_response({'revision': 7})

    leader = await serve(lead)

    async def follow(_request: web.Request) -> web.StreamResponse:
        address = f'{leader.host}:{leader.port}'
        return web.json_response({'leader_address': address}, status=421)

    follower = await serve(follow)
    answer = await client_of(follower).request('POST', '/change', {})
    assert answer.body == {'revision': 7}
    await leader.close()
    await follower.close()


async def test_refusal_is_not_repeated() -> None:
    """Guards against a conflict that a retry hides."""
    calls: list[str] = []

    async def refuse(request: web.Request) -> web.StreamResponse:
        calls.append(request.headers['Authorization'])
        return web.json_response({'reason': 'conflict'}, status=409)

    server = await serve(refuse)
    answer = await client_of(server).request('POST', '/change', {})
    assert answer.status == 409
    assert calls == ['Bearer secret']
    await server.close()


async def test_silent_hosts_end_in_an_error() -> None:
    """Guards against a command that waits without a timeout."""

    async def stay_silent(_request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(30)
        return web.Response()

    server = await serve(stay_silent)
    with pytest.raises(OperatorUnreachableError):
        await client_of(server, timeout_s=0.1).request('POST', '/change', {})
    await server.close()
