"""Seeded, overlapping faults, injected from outside the processes."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Final

import aiohttp
import msgspec

from tests.common import failed_exits
from tests.soak.platform.fleet import (
    SERVER_TYPES_BY_SERVICE,
    SERVER_ZONES,
    PlatformFleet,
)
from tests.soak.platform.standins.server import ServerFaults, StandinServer

# A restarted control host counts as failed until its process has run for
# this time.
CATCH_UP_S: Final = 4.0
_DRAIN_PERIOD_S: Final = 10.0
# The platform's bound from the acknowledgement of an evacuation until the
# servers get no requests.
EVACUATE_S: Final = 5.0
# Time in which control processes restart and an order is acknowledged.
ORDER_S: Final = 30.0
# Hosts that are frozen when an order is pushed enrol within this time.
PUSH_S: Final = 1.0

Injector = Callable[['Faults', float], Awaitable[None]]
_injectors: dict[str, Injector] = {}


def fault(inject: Injector) -> Injector:
    """Register a kind of fault under its function's name."""
    _injectors[inject.__name__] = inject
    return inject


class Faults:
    """Start faults at random times; several may be active at once."""

    def __init__(self, fleet: PlatformFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.log: list[str] = []
        # The platform tolerates the loss of one control host at a time.
        self.control_lock = asyncio.Lock()
        self._reserved: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Start faults for `seconds`, then wait until all have ended."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            while (at_s := time.monotonic() - began) < seconds:
                kind = self.rng.choice(sorted(_injectors))
                hold_s = round(self.rng.uniform(0.3, 4), 2)
                self.log.append(f'{at_s:6.2f} s {kind} for {hold_s} s')
                group.create_task(_injectors[kind](self, hold_s))
                await asyncio.sleep(self.rng.uniform(0.2, 2))

    async def vary_rate_limits(self, rng: random.Random) -> None:
        """Make one random server after another announce a rate limit.

        Runs beside the faults, with a random source of its own, so that it
        does not change the schedule of a seed.
        """
        while True:
            server = rng.choice(self.fleet.servers)
            server.limit_per_s = rng.choice((0.0, 1.0, 4.0))
            try:
                await asyncio.sleep(rng.uniform(0.3, 4))
            finally:
                server.limit_per_s = None
            await asyncio.sleep(rng.uniform(0.2, 2))

    async def vary_evacuations(self, rng: random.Random) -> None:
        """Evacuate the last data centre, check it, and reopen it.

        Runs beside the faults, as `vary_rate_limits` does.
        """
        zone = SERVER_ZONES[-1]
        async with aiohttp.ClientSession() as session:
            while True:
                # Hosts must be connected to control to learn of the order.
                async with self.control_lock:
                    began = await self.fleet.evacuate(
                        session, zone, 'start', ORDER_S
                    )
                    await asyncio.sleep(PUSH_S)
                try:
                    await asyncio.sleep(EVACUATE_S + rng.uniform(0, 3))
                finally:
                    self.check_evacuated(zone, began)
                await self.fleet.evacuate(session, zone, 'end', ORDER_S)
                await asyncio.sleep(rng.uniform(0.2, 2))

    def check_evacuated(self, zone: str, acknowledged_at: float) -> None:
        """Check that no server of a zone got a request after the bound."""
        for server in self.fleet.servers:
            late = [
                at
                for at in server.arrivals
                if server.zone == zone and at > acknowledged_at + EVACUATE_S
            ]
            if late:
                self.fleet.world.record_violation(
                    f'EVACUATE {server.id}: {server.service} got a request '
                    f'{late[-1] - acknowledged_at:.2f} s after the order'
                )

    def reserve(self, names: list[str]) -> str | None:
        """Reserve a random free process; None if faults hold all of them."""
        free = [name for name in names if name not in self._reserved]
        if not free:
            return None
        name = self.rng.choice(free)
        self._reserved.add(name)
        return name

    def release(self, name: str) -> None:
        """Make a process available to other faults again."""
        self._reserved.discard(name)

    def server(self, *services: str) -> StandinServer:
        """Return a random server of the given services, by default of any."""
        return self.rng.choice(
            [
                server
                for server in self.fleet.servers
                if server.service in (services or SERVER_TYPES_BY_SERVICE)
            ],
        )


async def _with_entry(
    faults: Faults, act: Callable[[str], Awaitable[None]]
) -> None:
    name = faults.reserve(faults.fleet.entries)
    if name is not None:
        await act(name)
        faults.release(name)


async def _with_control(
    faults: Faults,
    act: Callable[[str], Awaitable[None]],
) -> None:
    async with faults.control_lock:
        await act(faults.rng.choice(faults.fleet.controls))
        await asyncio.sleep(CATCH_UP_S)


async def _kill_entry(faults: Faults, name: str, hold_s: float) -> None:
    await asyncio.to_thread(faults.fleet.group.kill, name)
    await asyncio.sleep(hold_s)
    faults.fleet.start(name)


async def _kill_control(faults: Faults, name: str, hold_s: float) -> None:
    await asyncio.to_thread(faults.fleet.group.kill, name)
    await asyncio.sleep(hold_s)
    await faults.fleet.start_control(name)


async def _freeze(faults: Faults, name: str, hold_s: float) -> None:
    faults.fleet.group.freeze(name)
    await asyncio.sleep(hold_s)
    faults.fleet.group.thaw(name)


async def _stop(faults: Faults, name: str) -> None:
    """Stop a process by signal under load, check its exit, restart it."""
    codes = await asyncio.to_thread(faults.fleet.group.stop, [name])
    for line in failed_exits(faults.fleet.group, codes):
        faults.fleet.world.record_violation(line)
    faults.fleet.start(name)


@fault
async def kill_entry(faults: Faults, hold_s: float) -> None:
    """Kill an entry process."""
    await _with_entry(faults, lambda name: _kill_entry(faults, name, hold_s))


@fault
async def freeze_entry(faults: Faults, hold_s: float) -> None:
    """Freeze an entry process with requests in flight."""
    await _with_entry(faults, lambda name: _freeze(faults, name, hold_s))


@fault
async def stop_entry(faults: Faults, _hold_s: float) -> None:
    """Stop an entry process by signal."""
    await _with_entry(faults, lambda name: _stop(faults, name))


@fault
async def kill_control(faults: Faults, hold_s: float) -> None:
    """Kill a control process."""
    await _with_control(
        faults, lambda name: _kill_control(faults, name, hold_s)
    )


@fault
async def freeze_control(faults: Faults, hold_s: float) -> None:
    """Freeze a control process."""
    await _with_control(faults, lambda name: _freeze(faults, name, hold_s))


@fault
async def lose_disk(faults: Faults, hold_s: float) -> None:
    """Kill a control process and delete its disk."""

    async def lose(name: str) -> None:
        await asyncio.to_thread(faults.fleet.group.kill, name)
        faults.fleet.wipe(name)
        await asyncio.sleep(hold_s)
        await faults.fleet.start_control(name)

    await _with_control(faults, lose)


@fault
async def kill_all_controls(faults: Faults, hold_s: float) -> None:
    """Kill all control processes at once; their disks stay."""
    async with faults.control_lock:
        for name in faults.fleet.controls:
            await asyncio.to_thread(faults.fleet.group.kill, name)
        await asyncio.sleep(hold_s / 4)
        async with asyncio.TaskGroup() as group:
            for name in faults.fleet.controls:
                group.create_task(faults.fleet.start_control(name))
        await asyncio.sleep(CATCH_UP_S)


@fault
async def list_down(faults: Faults, hold_s: float) -> None:
    """Make the server list refuse all calls."""
    faults.fleet.listing.is_down = True
    await asyncio.sleep(hold_s)
    faults.fleet.listing.is_down = False


@fault
async def crash_server(faults: Faults, hold_s: float) -> None:
    """Crash a server and replace it under a new id and address."""
    server = faults.server()
    if server not in faults.fleet.servers:
        return
    await server.crash()
    # The platform's list is stale for a while and still contains it.
    await asyncio.sleep(hold_s / 2)
    if server in faults.fleet.servers:
        faults.fleet.servers.remove(server)
    await faults.fleet.add_server(server.service, server.zone)


@fault
async def drain_server(faults: Faults, _hold_s: float) -> None:
    """Start a replacement for a server, then drain and stop the server."""
    server = faults.server()
    if server.is_draining:
        return
    await faults.fleet.add_server(server.service, server.zone)
    server.is_draining = True
    await asyncio.sleep(_DRAIN_PERIOD_S / 2)
    if server in faults.fleet.servers:
        faults.fleet.servers.remove(server)
    await asyncio.sleep(_DRAIN_PERIOD_S / 2)
    await server.crash()


@fault
async def cut_connections(faults: Faults, hold_s: float) -> None:
    """Reset and refuse the connections to a server."""
    relay = faults.server().relay
    relay.cut()
    await asyncio.sleep(hold_s)
    relay.heal()


@fault
async def silence_connections(faults: Faults, hold_s: float) -> None:
    """Stop all traffic on the open connections to a server for good."""
    faults.server().relay.silence()
    await asyncio.sleep(hold_s)


@fault
async def delay_connections(faults: Faults, hold_s: float) -> None:
    """Delay all traffic to and from a server."""
    relay = faults.server().relay
    relay.delay_s = 0.1
    await asyncio.sleep(hold_s)
    relay.delay_s = 0


async def _degrade_server(
    faults: Faults, hold_s: float, **shares: float
) -> None:
    server = faults.server()
    server.faults = msgspec.structs.replace(server.faults, **shares)
    await asyncio.sleep(hold_s)
    server.faults = ServerFaults()


@fault
async def lose_answers(faults: Faults, hold_s: float) -> None:
    """Execute requests, then reset the connection before the answer."""
    await _degrade_server(faults, hold_s, lose=0.5)


@fault
async def refuse_requests(faults: Faults, hold_s: float) -> None:
    """Refuse requests and report that they were not executed."""
    await _degrade_server(faults, hold_s, refuse=0.5)


@fault
async def garble_answers(faults: Faults, hold_s: float) -> None:
    """Truncate answers, and send unrelated answers after them."""
    await _degrade_server(faults, hold_s, garble=0.3, extra=0.5)


@fault
async def fail_requests(faults: Faults, hold_s: float) -> None:
    """Answer with server errors."""
    await _degrade_server(faults, hold_s, error=0.5)


@fault
async def slow_server(faults: Faults, hold_s: float) -> None:
    """Process requests ten times slower than usual."""
    await _degrade_server(faults, hold_s, slowness=10)
