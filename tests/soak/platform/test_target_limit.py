"""Rate limits that servers announce for all hosts together."""

from __future__ import annotations

import asyncio
import bisect
import random
import time
from collections.abc import Sequence
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
from tests.soak.platform.standins.server import StandinServer
from tests.soak.platform.test_platform_soak import until_served

# Bounds of the platform: time from the first answer that announces a limit
# until it is kept, length of a window, and the excess that is allowed in it.
LIMIT_DELAY_S: Final = 3.0
WINDOW_S: Final = 4.0
ALLOWED_FACTOR: Final = 1.5
ALLOWED_EXTRA: Final = 5
WARM_UP_S: Final = 1.0
LIMITED_S: Final = 10.0
# Time in which hosts notice that a server no longer announces a limit.
RECOVERY_WAIT_S: Final = 6.0
LIMITS_BY_SERVICE: Final = {'desk': 1.0, 'llm': 1.0, 'ledger': 2.0}


def max_arrivals_in_window(times: Sequence[float], since: float) -> int:
    """Return the most arrivals in any window that ends at `since` or later."""
    return max(
        (
            position + 1 - bisect.bisect(times, end - WINDOW_S)
            for position, end in enumerate(times)
            if end >= since
        ),
        default=0,
    )


def busiest_servers(servers: Sequence[StandinServer]) -> list[StandinServer]:
    """Return the server of each service that received most requests."""
    return [
        max(
            (server for server in servers if server.service == service),
            key=lambda server: len(server.arrivals),
        )
        for service in LIMITS_BY_SERVICE
    ]


# The hosts together sent an overloaded server more than its announced limit:
# LIMIT violation, 12 requests in 4 s where 11 were allowed.
@pytest.mark.timeout(START_S + LIMITED_S + RECOVERY_WAIT_S + 60)
async def test_server_gets_no_more_than_the_rate_that_it_names(
    tmp_path: Path,
) -> None:
    """Guards against hosts that ignore a limit, or keep it for too long.

    All hosts are under load; one server of each service announces a limit
    for a while.
    """
    async with platform_fleet(tmp_path, random.Random(23)) as fleet:
        clients = Clients(fleet, 23)
        async with aiohttp.ClientSession() as session:
            await put_until_acknowledged(fleet, session, 1, START_S)
        await until_served(fleet, clients, START_S)
        clients.start()
        await asyncio.sleep(WARM_UP_S)
        limited = busiest_servers(fleet.servers)
        limited_at = time.monotonic()
        for server in limited:
            server.limit_per_s = LIMITS_BY_SERVICE[server.service]
        await asyncio.sleep(LIMITED_S)
        most = {
            server.service: max_arrivals_in_window(
                server.arrivals,
                limited_at + LIMIT_DELAY_S + WINDOW_S,
            )
            for server in limited
        }
        for server in limited:
            server.limit_per_s = None
        await asyncio.sleep(RECOVERY_WAIT_S)
        recovered_at = time.monotonic()
        await asyncio.sleep(WINDOW_S)
        after = {
            server.service: max_arrivals_in_window(
                server.arrivals, recovered_at
            )
            for server in limited
        }
        await clients.stop()
    print(f'most in a window: limited {most}, afterwards {after}')
    allowed = {
        service: limit * ALLOWED_FACTOR * WINDOW_S + ALLOWED_EXTRA
        for service, limit in LIMITS_BY_SERVICE.items()
    }
    over = [service for service in allowed if most[service] > allowed[service]]
    assert not over, f'most in a window: {most}, allowed: {allowed}'
    unused = [service for service, count in most.items() if not count]
    assert not unused, f'{unused} received no requests'
    still_limited = [
        service for service in allowed if after[service] <= allowed[service]
    ]
    assert not still_limited, f'{still_limited} are still limited: {after}'
    assert not fleet.world.violations
