"""Servers that come back cold get few requests from all hosts together."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Final

import aiohttp
import pytest

from tests.soak.platform.clients import Clients
from tests.soak.platform.fleet import (
    START_S,
    platform_fleet,
    put_until_acknowledged,
)
from tests.soak.platform.standins.server import MAX_COLD_ARRIVALS, WARMUP_S
from tests.soak.platform.test_platform_soak import until_served

LOAD_S: Final = 4.0
DOWN_S: Final = 1.0
# Time in which hosts learn from the list that a server is warm.
WARM_AGAIN_S: Final = 3.0


# Guards against hosts that send servers which have crashed and come back, or
# are new, as much as before, which crashes them again.
@pytest.mark.timeout(START_S + LOAD_S + 3 * WARMUP_S + 60)
async def test_servers_that_come_back_are_warmed_up(tmp_path: Path) -> None:
    """Fault: all servers of a service crash under load; one is replaced."""
    async with platform_fleet(tmp_path, random.Random(29)) as fleet:
        clients = Clients(fleet, 29)
        async with aiohttp.ClientSession() as session:
            await put_until_acknowledged(fleet, session, 1, START_S)
        await until_served(fleet, clients, START_S)
        clients.start()
        await asyncio.sleep(LOAD_S)
        desks = [each for each in fleet.servers if each.service == 'desk']
        for server in desks:
            await server.crash()
        replaced = desks.pop()
        fleet.servers.remove(replaced)
        await asyncio.sleep(DOWN_S)
        for server in desks:
            server.become_cold()
            server.relay.heal()
            await server.start()
        desks.append(await fleet.add_server('desk'))
        before = [len(server.arrivals) for server in desks]
        await asyncio.sleep(WARMUP_S)
        while_cold = [
            len(server.arrivals) - first
            for server, first in zip(desks, before, strict=True)
        ]
        await asyncio.sleep(WARM_AGAIN_S)
        warm_from = [len(server.arrivals) for server in desks]
        await asyncio.sleep(WARMUP_S)
        afterwards = [
            len(server.arrivals) - total
            for server, total in zip(desks, warm_from, strict=True)
        ]
        await clients.stop()
    print(f'requests while cold {while_cold}, afterwards {afterwards}')
    assert not fleet.world.violations
    assert all(while_cold)
    assert min(afterwards) > MAX_COLD_ARRIVALS
