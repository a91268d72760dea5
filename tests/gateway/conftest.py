"""Fixtures that the tests of the gateway share."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from hornbeamline.helpers.http_server import HttpServer
from tests.gateway.builders import make_target
from tests.gateway.scripted import TARGETS, Gateway


@pytest.fixture
async def gateway() -> AsyncIterator[Gateway]:
    made = Gateway()
    await made.http.start()
    listed = []
    servers = []
    for number in range(TARGETS):
        server = await asyncio.start_server(made.serve_target, '127.0.0.1', 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        listed.append(make_target(f't{number}', address=f'{host}:{port}'))
    made.targets.replace_list(listed)
    listener = HttpServer(made.app, made.address, stop_timeout_s=1)
    await listener.start()
    yield made
    await listener.stop()
    for server in servers:
        server.close()
    await made.http.stop()
