"""Entry process of a new host whose settings name lost control hosts."""

from __future__ import annotations

import random
from pathlib import Path

import aiohttp

from tests.soak.platform.clients import Clients
from tests.soak.platform.fleet import (
    START_S,
    platform_fleet,
    put_until_acknowledged,
)
from tests.soak.platform.test_control_turnover import (
    ABSENT,
    CONTROL,
    ENTRY,
    SUCCESSORS,
    Turnover,
    turn_seeds_over,
)
from tests.soak.platform.test_platform_soak import (
    RECOVERY_S,
    check_end,
    until_served,
)


# Failure: the entry process answered 503 (no_configuration) to the end,
# although the control process of its own host had the document.
async def test_entry_finds_control_of_its_host(tmp_path: Path) -> None:
    """Fault: a new host's settings name lost hosts; only others name it."""
    rng = random.Random(2)
    async with platform_fleet(tmp_path, rng, entries=(1, 2, 3)) as fleet:
        turnover = Turnover(fleet)
        clients = Clients(fleet, 2)
        new = SUCCESSORS[0]
        async with aiohttp.ClientSession() as session:
            await put_until_acknowledged(fleet, session, 1, START_S)
            for name in (CONTROL.format(new), ENTRY.format(new)):
                fleet.seeds_by_name[name] = [
                    CONTROL.format(seed) for seed in ABSENT
                ]
            await turnover.replace(new)
            others = [CONTROL.format(2), CONTROL.format(3)]
            turn_seeds_over(fleet, others, (2, 3, new))
            await put_until_acknowledged(fleet, session, 2, RECOVERY_S)
            await check_end(fleet, session)
            assert not fleet.world.violations
            await until_served(fleet, clients, RECOVERY_S)
