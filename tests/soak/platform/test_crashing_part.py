"""Prompts with a part that crashes engines, beside other faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path
from typing import Final

import aiohttp

from tests.common import failed_exits
from tests.soak.platform.clients import Clients
from tests.soak.platform.faults import Faults
from tests.soak.platform.fleet import (
    START_S,
    PlatformFleet,
    platform_fleet,
    put_until_acknowledged,
)
from tests.soak.platform.test_platform_soak import (
    MAX_SHOWN,
    RECOVERY_S,
    until_served,
)

DEADLY: Final = 'dead'
DEADLY_SHARE: Final = 0.25
WARM_UP_S: Final = 2.0
# Time after which an engine that has ended is replaced.
DOWN_S: Final = 1.0
# Bounds of the platform: engines that may end, and requests that may reach
# engines after that.
MAX_ENDED: Final = 5
MAX_FURTHER: Final = 3
_POLL_S: Final = 0.1


# Requests with one part in common crashed one engine after the other, until
# the sound ones failed with them (BUDGET, LOST).
async def test_crashing_part_is_refused_under_faults(
    tmp_path: Path,
    soak_seed: int,
    soak_seconds: float,
) -> None:
    """Guards against engines that end one by one while other faults act."""
    rng = random.Random(soak_seed)
    async with platform_fleet(tmp_path, rng) as fleet:
        clients = Clients(fleet, soak_seed)
        async with aiohttp.ClientSession() as session:
            await put_until_acknowledged(fleet, session, 1, START_S)
        await until_served(fleet, clients, START_S)
        faults = Faults(fleet, random.Random(soak_seed + 1))
        clients.start()
        replacing = asyncio.create_task(_replace_ended(fleet))
        try:
            await asyncio.sleep(WARM_UP_S)
            fleet.world.deadly_part = DEADLY
            clients.deadly_share = DEADLY_SHARE
            await faults.run(soak_seconds)
            # The part still comes, and sound requests have the same beginning.
            await until_served(fleet, _sound(clients, fleet), RECOVERY_S)
            await clients.stop()
        finally:
            replacing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await replacing
            print(f'seed {soak_seed}', *faults.log, sep='\n')
        codes = await asyncio.to_thread(
            fleet.group.stop,
            [*fleet.entries, *fleet.controls],
        )
    world = fleet.world
    print(
        f'{len(world.ended_engines)} engines ended, '
        f'{world.deadly_arrivals} requests with the part arrived',
    )
    violations = world.violations + failed_exits(fleet.group, codes)
    assert not violations, '\n'.join([*faults.log, *violations[:MAX_SHOWN]])
    assert world.ended_engines, 'no engine ended, so that nothing is shown'
    assert world.deadly_arrivals <= MAX_ENDED + MAX_FURTHER


def _sound(clients: Clients, fleet: PlatformFleet) -> Clients:
    """Return clients that send no request with the part."""
    sound = Clients(fleet, 0)
    sound.version = clients.version
    return sound


async def _replace_ended(fleet: PlatformFleet) -> None:
    """Replace each engine that has ended by a new one."""
    replaced = 0
    while True:
        await asyncio.sleep(_POLL_S)
        for ended in fleet.world.ended_engines[replaced:]:
            replaced += 1
            await asyncio.sleep(DOWN_S)
            for server in tuple(fleet.servers):
                if server.id == ended:
                    fleet.servers.remove(server)
                    await server.crash()
            await fleet.add_server('llm')
