"""Fixtures of the peering tests; all processes share one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable
from typing import NamedTuple

import pytest

from hornbeamline.inventory import PeeringSettings
from hornbeamline.local_fleet import loopback_net
from hornbeamline.peering import PynngPeering, message
from hornbeamline.telemetry import registry

SILENCE_TIMEOUT_S = 0.4
# Below the ephemeral ports, which systems assign to outgoing connections and
# to port 0. Otherwise a connection could occupy an address before its listener
# binds it.
PORTS = range(12_000, 32_000)


@message('test.ask')
class Ask(NamedTuple):
    """Test request, also used as a one-way message."""

    number: int
    text: str = ''


@message('test.told')
class Told(NamedTuple):
    """Test reply."""

    number: int
    text: str = ''


@message('test.unhandled')
class Unhandled(NamedTuple):
    """Message without a handler in any test process."""


async def echo(_sender: str, ask: Ask) -> Told:
    """Reply with the content of the request."""
    return Told(ask.number, ask.text)


def dropped(reason: str) -> float:
    """Return the number of frames and messages dropped for a reason."""
    name = 'hornbeamline_peering_dropped_total'
    return registry.get_sample_value(name, {'reason': reason}) or 0


async def eventually(condition: Callable[[], bool], timeout_s: float) -> None:
    """Poll until a condition holds; raises `TimeoutError`."""
    async with asyncio.timeout(timeout_s):
        # The conditions depend on sockets and threads, which set no event.
        while not condition():  # noqa: ASYNC110 - no event is set.
            await asyncio.sleep(0.005)


def free_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses that are currently free."""
    ip = f'{loopback_net()}.1'
    addresses: list[str] = []
    with contextlib.ExitStack() as probes:
        while len(addresses) < count:
            probe = probes.enter_context(socket.socket())
            port = random.SystemRandom().choice(PORTS)
            with contextlib.suppress(OSError):
                probe.bind((ip, port))
                addresses.append(f'{ip}:{port}')
    return addresses


class Processes:
    """Starts peerings and stops them when the test ends."""

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        """Initialize with the exit stack of the test."""
        self._stack = stack

    async def start(
        self,
        name: str,
        address: str,
        *,
        fleet: str = 'test',
        advertised: str = '',
    ) -> PynngPeering:
        """Start a peering that replies to `Ask` with its content."""
        settings = PeeringSettings(
            address=address,
            advertised_address=advertised,
            heartbeat_interval_s=0.05,
            silence_timeout_s=SILENCE_TIMEOUT_S,
        )
        peering = PynngPeering(name, fleet, settings)
        peering.on(Ask, echo)
        self._stack.push_async_callback(peering.stop)
        await peering.start()
        return peering


@pytest.fixture
async def processes():
    """Yield a factory of started peerings."""
    async with contextlib.AsyncExitStack() as stack:
        yield Processes(stack)


@pytest.fixture
async def pair(processes: Processes):
    """Return two peerings of which only the first knows the other."""
    left_address, address = free_addresses(2)
    left = await processes.start('left', left_address)
    right = await processes.start('right', address)
    left.add_peer('right', address)
    return left, right
