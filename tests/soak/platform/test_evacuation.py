"""Evacuation of a data centre while all hosts lose power."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import aiohttp

from tests.replog.group import eventually
from tests.soak.platform.clients import Clients
from tests.soak.platform.faults import EVACUATE_S, Faults
from tests.soak.platform.fleet import (
    SERVER_ZONES,
    START_S,
    platform_fleet,
    put_until_acknowledged,
)
from tests.soak.platform.standins.server import StandinServer
from tests.soak.platform.test_control_turnover import Turnover
from tests.soak.platform.test_platform_soak import RECOVERY_S, until_served

ZONE = SERVER_ZONES[-1]
# An acknowledgement is due within this time while control is stable; the
# bound has room for a busy machine.
ACK_S = 2.0


def arrivals_after(servers: list[StandinServer], at: float) -> list[str]:
    """Return the ids of the servers that got requests after a time."""
    return [
        server.id
        for server in servers
        if server.arrivals and server.arrivals[-1] > at
    ]


async def test_evacuation_survives_power_loss(tmp_path: Path) -> None:
    """Fault: all hosts lose power right after an acknowledged start."""
    rng = random.Random(4)
    async with platform_fleet(tmp_path, rng, entries=(1, 2, 3)) as fleet:
        clients = Clients(fleet, 4)
        faults = Faults(fleet, rng)
        evacuated = [server for server in fleet.servers if server.zone == ZONE]
        async with aiohttp.ClientSession() as session:
            await put_until_acknowledged(fleet, session, 1, START_S)
            await until_served(fleet, clients, START_S)
            began = time.monotonic()
            at = await fleet.evacuate(session, ZONE, 'start', START_S)
            assert at - began < ACK_S
            await Turnover(fleet).lose_power()
            clients.start()
            try:
                await until_served(fleet, clients, START_S)
                left_s = at + EVACUATE_S - time.monotonic()
                await asyncio.sleep(max(0, left_s) + 2)
                faults.check_evacuated(ZONE, at)
                # Hosts that start have it with their first document.
                assert not arrivals_after(evacuated, at + 1)
                ended = await fleet.evacuate(session, ZONE, 'end', RECOVERY_S)
                await eventually(
                    lambda: bool(arrivals_after(evacuated, ended)), RECOVERY_S
                )
            finally:
                await clients.stop()
    assert not fleet.world.violations, '\n'.join(fleet.world.violations)
