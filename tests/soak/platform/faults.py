"""Seeded faults that overlap, injected from outside the processes."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from tests.common import bad_ends
from tests.soak.platform.fleet import KINDS, PlatformFleet
from tests.soak.platform.standins.server import ServerFaults, StandinServer

# A control host counts as lost until its program has run for this time.
CATCH_UP_S: Final = 4.0
_STOPPED_S: Final = 10.0

Inject = Callable[['Faults', float], Awaitable[None]]
_injectors: dict[str, Inject] = {}


def fault(inject: Inject) -> Inject:
    """Register a kind of fault under its function's name."""
    _injectors[inject.__name__] = inject
    return inject


class Faults:
    """Starts faults at random times; several may be in force at once."""

    def __init__(self, fleet: PlatformFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.log: list[str] = []
        # One control host may be lost at a time.
        self.control_turn = asyncio.Lock()
        self._busy: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Inject faults for some time, then let all of them end."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            while (at_s := time.monotonic() - began) < seconds:
                kind = self.rng.choice(sorted(_injectors))
                hold_s = round(self.rng.uniform(0.3, 4), 2)
                self.log.append(f'{at_s:6.2f} s {kind} for {hold_s} s')
                group.create_task(_injectors[kind](self, hold_s))
                await asyncio.sleep(self.rng.uniform(0.2, 2))

    async def name_limits(self, rng: random.Random) -> None:
        """Let one server after the other name a limit, beside all faults.

        It has a random source of its own, so that the schedules of earlier
        seeds stay as they were.
        """
        while True:
            server = rng.choice(self.fleet.servers)
            server.limit_per_s = rng.choice((0.0, 1.0, 4.0))
            try:
                await asyncio.sleep(rng.uniform(0.3, 4))
            finally:
                server.limit_per_s = None
            await asyncio.sleep(rng.uniform(0.2, 2))

    def take(self, names: list[str]) -> str | None:
        """Return a process that no other fault concerns, until `give`."""
        free = [name for name in names if name not in self._busy]
        if not free:
            return None
        name = self.rng.choice(free)
        self._busy.add(name)
        return name

    def give(self, name: str) -> None:
        """Let other faults concern a process again."""
        self._busy.discard(name)

    def server(self, *services: str) -> StandinServer:
        """Return a server of some services."""
        return self.rng.choice(
            [
                server
                for server in self.fleet.servers
                if server.service in (services or KINDS)
            ],
        )


async def _with_entry(
    faults: Faults, act: Callable[[str], Awaitable[None]]
) -> None:
    name = faults.take(faults.fleet.entries)
    if name is not None:
        await act(name)
        faults.give(name)


async def _with_control(
    faults: Faults,
    act: Callable[[str], Awaitable[None]],
) -> None:
    async with faults.control_turn:
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
    """Stop a process by signal while clients go on using it."""
    codes = await asyncio.to_thread(faults.fleet.group.stop, [name])
    for line in bad_ends(faults.fleet.group, codes):
        faults.fleet.world.violate(line)
    faults.fleet.start(name)


@fault
async def kill_entry(faults: Faults, hold_s: float) -> None:
    """Kill an entry process."""
    await _with_entry(faults, lambda name: _kill_entry(faults, name, hold_s))


@fault
async def freeze_entry(faults: Faults, hold_s: float) -> None:
    """Freeze an entry process with open requests."""
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
    """Kill a control process and lose its disk."""

    async def lose(name: str) -> None:
        await asyncio.to_thread(faults.fleet.group.kill, name)
        faults.fleet.wipe(name)
        await asyncio.sleep(hold_s)
        await faults.fleet.start_control(name)

    await _with_control(faults, lose)


@fault
async def kill_all_controls(faults: Faults, hold_s: float) -> None:
    """Kill the whole core at the same moment; all disks stay."""
    async with faults.control_turn:
        for name in faults.fleet.controls:
            await asyncio.to_thread(faults.fleet.group.kill, name)
        await asyncio.sleep(hold_s / 4)
        async with asyncio.TaskGroup() as group:
            for name in faults.fleet.controls:
                group.create_task(faults.fleet.start_control(name))
        await asyncio.sleep(CATCH_UP_S)


@fault
async def list_down(faults: Faults, hold_s: float) -> None:
    """Let the list of servers refuse all calls."""
    faults.fleet.listing.is_down = True
    await asyncio.sleep(hold_s)
    faults.fleet.listing.is_down = False


@fault
async def crash_server(faults: Faults, hold_s: float) -> None:
    """Crash a server; another one starts under a new id and address."""
    server = faults.server()
    if server not in faults.fleet.servers:
        return
    await server.crash()
    # The list still names it for a while.
    await asyncio.sleep(hold_s / 2)
    if server in faults.fleet.servers:
        faults.fleet.servers.remove(server)
    await faults.fleet.add_server(server.service)


@fault
async def drain_server(faults: Faults, _hold_s: float) -> None:
    """Replace a server: the new one starts first, the old one drains."""
    server = faults.server()
    if server.is_draining:
        return
    await faults.fleet.add_server(server.service)
    server.is_draining = True
    await asyncio.sleep(_STOPPED_S / 2)
    if server in faults.fleet.servers:
        faults.fleet.servers.remove(server)
    await asyncio.sleep(_STOPPED_S / 2)
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
    """Let the open connections to a server go silent for good."""
    faults.server().relay.silence()
    await asyncio.sleep(hold_s)


@fault
async def delay_connections(faults: Faults, hold_s: float) -> None:
    """Delay all bytes to and from a server."""
    relay = faults.server().relay
    relay.delay_s = 0.1
    await asyncio.sleep(hold_s)
    relay.delay_s = 0


async def _misbehave(faults: Faults, hold_s: float, **shares: float) -> None:
    server = faults.server()
    server.faults = msgspec.structs.replace(server.faults, **shares)
    await asyncio.sleep(hold_s)
    server.faults = ServerFaults()


@fault
async def lose_answers(faults: Faults, hold_s: float) -> None:
    """Run requests and reset their connections."""
    await _misbehave(faults, hold_s, lose=0.5)


@fault
async def refuse_requests(faults: Faults, hold_s: float) -> None:
    """Refuse requests with the promise that they did not run."""
    await _misbehave(faults, hold_s, refuse=0.5)


@fault
async def garble_answers(faults: Faults, hold_s: float) -> None:
    """Break answers off, and send answers of other requests."""
    await _misbehave(faults, hold_s, garble=0.3, extra=0.5)


@fault
async def fail_requests(faults: Faults, hold_s: float) -> None:
    """Answer with errors of the server."""
    await _misbehave(faults, hold_s, error=0.5)


@fault
async def slow_server(faults: Faults, hold_s: float) -> None:
    """Work at a fraction of the usual speed."""
    await _misbehave(faults, hold_s, slowness=10)
