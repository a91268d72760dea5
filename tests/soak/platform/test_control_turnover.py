"""Control hosts of one data centre that are replaced one after the other."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import aiohttp

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

CONTROL: Final = 'control-{}'
ENTRY: Final = 'entry-{}'
FIRST: Final = 1
SUCCESSORS: Final = (15, 16, 17)
# Numbers of hosts that were never started.
ABSENT: Final = (91, 92, 93)


class Turnover:
    """Replaces the host that has an entry and a control process."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.newest = FIRST

    async def replace(self, number: int) -> None:
        """Lose the newest host for good; another one takes its place."""
        lost, self.newest = self.newest, number
        names = [CONTROL.format(lost), ENTRY.format(lost)]
        await self._kill(names)
        self.fleet.controls.remove(names[0])
        self.fleet.entries.remove(names[1])
        await asyncio.sleep(1)
        await self._add(number)

    async def lose_power(self, without_disk: str = '') -> None:
        """End all processes of all hosts and start them again."""
        fleet = self.fleet
        await self._kill([*fleet.controls, *fleet.entries])
        if without_disk:
            fleet.wipe(without_disk)
        for entry in fleet.entries:
            fleet.start(entry)
        await asyncio.gather(
            *(fleet.start_control(control) for control in fleet.controls)
        )

    async def _add(self, number: int) -> None:
        """Start both processes of a host with an empty disk."""
        fleet = self.fleet
        fleet.controls.append(CONTROL.format(number))
        fleet.entries.append(ENTRY.format(number))
        fleet.start(fleet.entries[-1])
        await fleet.start_control(fleet.controls[-1])

    async def _kill(self, names: Sequence[str]) -> None:
        kill = self.fleet.group.kill
        await asyncio.gather(*(asyncio.to_thread(kill, name) for name in names))


def turn_seeds_over(
    fleet: PlatformFleet, names: Sequence[str], seeds: Sequence[int]
) -> None:
    """Name other control hosts in the settings of running processes."""
    for name in names:
        fleet.seeds_by_name[name] = [CONTROL.format(seed) for seed in seeds]
        fleet.write_settings(name)


# Failure: the successor of a control host was not taken in, and after a lost
# disk and a loss of power it knew no leader and had no document (CONFIG).
async def test_third_successor_serves_after_lost_disk_and_power(
    tmp_path: Path,
) -> None:
    """Fault: a control host is replaced three times, then power is lost."""
    rng = random.Random(1)
    async with platform_fleet(tmp_path, rng, entries=(1, 2, 3)) as fleet:
        turnover = Turnover(fleet)
        clients = Clients(fleet, 1)
        async with aiohttp.ClientSession() as session:
            await put_until_acknowledged(fleet, session, 1, START_S)
            for version, number in enumerate(SUCCESSORS, start=2):
                await turnover.replace(number)
                await asyncio.sleep(CATCH_UP_S)
                await put_until_acknowledged(
                    fleet, session, version, RECOVERY_S
                )
            others = [CONTROL.format(2), CONTROL.format(3)]
            await turnover.lose_power(without_disk=rng.choice(others))
            await until_served(fleet, clients, RECOVERY_S)
            await check_end(fleet, session)
        codes = await asyncio.to_thread(
            fleet.group.stop, [*fleet.entries, *fleet.controls]
        )
    violations = fleet.world.violations + failed_exits(fleet.group, codes)
    assert not violations, '\n'.join(violations)


# Failure: a control host whose settings named lost hosts only did not enrol
# with those that enrolled with it, so that it had no leader and no document.
async def test_host_joins_that_only_others_know(tmp_path: Path) -> None:
    """Fault: the settings of a new host name lost control hosts only."""
    rng = random.Random(2)
    async with platform_fleet(tmp_path, rng, entries=(1, 2, 3)) as fleet:
        turnover = Turnover(fleet)
        clients = Clients(fleet, 2)
        new = SUCCESSORS[0]
        async with aiohttp.ClientSession() as session:
            await put_until_acknowledged(fleet, session, 1, START_S)
            for name in (CONTROL.format(new), ENTRY.format(new)):
                fleet.seeds_by_name[name] = [
                    CONTROL.format(seed) for seed in (*ABSENT[:2], new)
                ]
            await turnover.replace(new)
            others = [CONTROL.format(2), CONTROL.format(3)]
            turn_seeds_over(fleet, others, (2, 3, new))
            await put_until_acknowledged(fleet, session, 2, RECOVERY_S)
            await until_served(fleet, clients, RECOVERY_S)
            await check_end(fleet, session)
    assert not fleet.world.violations, '\n'.join(fleet.world.violations)


# Failure: voters that started again knew each other by their settings only;
# while these named lost hosts, no leader was elected.
async def test_voters_find_each_other_without_their_settings(
    tmp_path: Path,
) -> None:
    """Fault: all lose power, and their settings name lost hosts only."""
    rng = random.Random(3)
    async with platform_fleet(tmp_path, rng, entries=(1, 2, 3)) as fleet:
        turnover = Turnover(fleet)
        async with aiohttp.ClientSession() as session:
            await put_until_acknowledged(fleet, session, 1, START_S)
            await turnover.replace(SUCCESSORS[0])
            await asyncio.sleep(CATCH_UP_S)
            await put_until_acknowledged(fleet, session, 2, RECOVERY_S)
            turn_seeds_over(fleet, fleet.controls, ABSENT)
            await turnover.lose_power()
            await put_until_acknowledged(fleet, session, 3, RECOVERY_S)
            await check_end(fleet, session)
    assert not fleet.world.violations, '\n'.join(fleet.world.violations)
