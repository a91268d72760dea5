"""Losses of control hosts one after the other, then lost disks and power."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Final

import aiohttp
import pytest

from tests.common import failed_exits
from tests.soak.platform.clients import Clients
from tests.soak.platform.faults import CATCH_UP_S
from tests.soak.platform.fleet import (
    START_S,
    PlatformFleet,
    platform_fleet,
    put_until_acknowledged,
)
from tests.soak.platform.test_platform_soak import (
    RECOVERY_S,
    check_end,
    until_served,
)

# Numbers of hosts that join as successors of control hosts.
FIRST_SUCCESSOR: Final = 11


class Core:
    """Loses control hosts of a fleet, one at a time."""

    def __init__(self, fleet: PlatformFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self._successors = 0

    async def replace(self, name: str) -> None:
        """Lose a host for good; another one takes its place."""
        await self._kill(name)
        self.fleet.controls.remove(name)
        await asyncio.sleep(1)
        successor = f'control-{FIRST_SUCCESSOR + self._successors}'
        self._successors += 1
        self.fleet.controls.append(successor)
        await self.fleet.start_control(successor)

    async def empty(self, name: str) -> None:
        """Lose the disk of a host, which starts again."""
        await self._kill(name)
        self.fleet.wipe(name)
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        await self.fleet.start_control(name)

    async def lose_disk_and_power(self, name: str) -> None:
        """Lose one disk while all processes of all hosts end."""
        fleet = self.fleet
        everyone = [*fleet.controls, *fleet.entries]
        await asyncio.gather(*(self._kill(other) for other in everyone))
        fleet.wipe(name)
        for entry in fleet.entries:
            fleet.start(entry)
        await asyncio.gather(
            *(fleet.start_control(control) for control in fleet.controls)
        )

    async def _kill(self, name: str) -> None:
        await asyncio.to_thread(self.fleet.group.kill, name)


# Failure: the voter that was taken in last was lost, its successor was not
# taken in, and the next lost disk ended the service (CONFIG and RECOVER).
@pytest.mark.parametrize('seed', [1])
async def test_lost_disk_after_a_series_of_losses(
    tmp_path: Path, seed: int
) -> None:
    """Fault: control hosts are replaced and emptied, then power is lost."""
    rng = random.Random(seed)
    async with platform_fleet(tmp_path, rng) as fleet:
        core = Core(fleet, rng)
        clients = Clients(fleet, seed)
        steps = [core.replace, core.replace, core.empty, core.empty]
        newest = rng.choice(fleet.controls)
        async with aiohttp.ClientSession() as session:
            await put_until_acknowledged(fleet, session, 1, START_S)
            for version, lose in enumerate(steps, start=2):
                # The host that was changed last is lost next, then others.
                await lose(newest)
                await put_until_acknowledged(
                    fleet, session, version, RECOVERY_S
                )
                await asyncio.sleep(CATCH_UP_S)
                newest = fleet.controls[-1]
                if lose == core.empty:
                    newest = rng.choice(fleet.controls)
            await put_until_acknowledged(
                fleet, session, len(steps) + 2, RECOVERY_S
            )
            await core.lose_disk_and_power(rng.choice(fleet.controls))
            await until_served(fleet, clients, RECOVERY_S)
            await check_end(fleet, session)
        codes = await asyncio.to_thread(
            fleet.group.stop, [*fleet.entries, *fleet.controls]
        )
    violations = fleet.world.violations + failed_exits(fleet.group, codes)
    assert not violations, '\n'.join(violations)
