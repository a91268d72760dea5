"""Tests of silent links, restarted peers and lost frames."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from hornbeamline.peering import CallTimeoutError, PynngPeering
from tests.peering.conftest import (
    SILENCE_TIMEOUT_S,
    Ask,
    Processes,
    Told,
    eventually,
    free_addresses,
)
from tests.relay import Relay

WAIT_TIMEOUT_S = 5


class Linked:
    """Two peerings, each of which is reached through a relay."""

    def __init__(self, processes: Processes) -> None:
        """Initialize with the factory of peerings."""
        self.processes = processes
        left, right, *relays = free_addresses(4)
        self.addresses = {'left': left, 'right': right}
        self.relays = {
            name: Relay(relay, address)
            for relay, (name, address) in zip(
                relays,
                self.addresses.items(),
                strict=True,
            )
        }

    async def start(self, name: str) -> PynngPeering:
        """Start one side, which advertises the address of its relay."""
        other = 'right' if name == 'left' else 'left'
        peering = await self.processes.start(
            name,
            self.addresses[name],
            advertised=self.relays[name].address,
        )
        if name == 'left':
            peering.add_peer(other, self.relays[other].address)
        return peering


@pytest.fixture
async def linked(processes: Processes):
    """Yield two relayed sides that are not yet started."""
    sides = Linked(processes)
    async with contextlib.AsyncExitStack() as stack:
        for relay in sides.relays.values():
            await stack.enter_async_context(relay)
        yield sides


async def wait_linked(left: PynngPeering, right: PynngPeering) -> None:
    """Wait until both sides are alive and a call succeeds."""
    await eventually(
        lambda: left.is_alive('right') and right.is_alive('left'),
        WAIT_TIMEOUT_S,
    )
    await left.call('right', Ask(-1), Told, WAIT_TIMEOUT_S)


@pytest.mark.parametrize('silent', [['left'], ['right'], ['left', 'right']])
async def test_silent_link_is_replaced(
    linked: Linked,
    silent: list[str],
) -> None:
    """Guards against connections that stay open but deliver nothing."""
    left = await linked.start('left')
    right = await linked.start('right')
    await wait_linked(left, right)
    changes: list[tuple[str, str, bool]] = []
    left.on_liveness(lambda peer, alive: changes.append(('l', peer, alive)))
    right.on_liveness(lambda peer, alive: changes.append(('r', peer, alive)))
    accepted = {name: linked.relays[name].accepted for name in silent}
    for name in silent:
        linked.relays[name].silence()
    silent_at = time.monotonic()
    with pytest.raises(CallTimeoutError):
        await left.call('right', Ask(1), Told, SILENCE_TIMEOUT_S / 2)

    def replaced() -> bool:
        return all(
            linked.relays[name].accepted > accepted[name] for name in silent
        )

    await eventually(replaced, WAIT_TIMEOUT_S)
    await wait_linked(left, right)
    # Detection takes one silence timeout; the rest is tolerance.
    assert time.monotonic() - silent_at < SILENCE_TIMEOUT_S * 2 + 0.5
    # The new socket may deliver its first frame just before the timeout of
    # the receiver ends, so the silence need not be reported. If it is, its end
    # must be reported too.
    for side in ('l', 'r'):
        seen = [alive for who, _, alive in changes if who == side]
        assert seen in ([], [False, True])


async def test_restarted_peer_is_reached_again(linked: Linked) -> None:
    """Guards against a peer that stays unreachable after its restart."""
    left = await linked.start('left')
    right = await linked.start('right')
    await wait_linked(left, right)
    changes: list[bool] = []
    left.on_liveness(lambda _peer, alive: changes.append(alive))
    await right.stop()
    await eventually(lambda: changes == [False], WAIT_TIMEOUT_S)
    right = await linked.start('right')
    await wait_linked(left, right)
    assert changes == [False, True]


async def test_reply_to_an_earlier_incarnation_is_dropped(
    linked: Linked,
) -> None:
    """Guards against matching a reply to a call of an earlier process."""
    left = await linked.start('left')
    right = await linked.start('right')
    await wait_linked(left, right)
    release = asyncio.Event()

    async def hold(_sender: str, ask: Ask) -> Told:
        if ask.text == 'old':
            await release.wait()
        else:
            release.set()
            await asyncio.sleep(0.3)
        return Told(ask.number, ask.text)

    right.on(Ask, hold)
    call = left.call('right', Ask(1, 'old'), Told, WAIT_TIMEOUT_S)
    old = asyncio.create_task(call)
    await asyncio.sleep(0.05)
    await left.stop()
    with pytest.raises(CallTimeoutError):
        await old
    left = await linked.start('left')
    # The old call had call id 2, which the second new call has as well.
    before = left.call('right', Ask(2, 'new'), Told, WAIT_TIMEOUT_S)
    after = left.call('right', Ask(3, 'new'), Told, WAIT_TIMEOUT_S)
    replies = await asyncio.gather(before, after)
    assert replies == [Told(2, 'new'), Told(3, 'new')]


async def test_lost_frames_are_not_repeated(linked: Linked) -> None:
    """Guards against a message that is handled twice after a link broke."""
    left = await linked.start('left')
    right = await linked.start('right')
    await wait_linked(left, right)
    numbers: list[int] = []

    async def record(_sender: str, ask: Ask) -> Told:
        numbers.append(ask.number)
        return Told(ask.number)

    right.on(Ask, record)
    for number in range(300):
        if number % 100 == 50:
            linked.relays['right'].cut()
            linked.relays['right'].heal()
        left.send('right', Ask(number))
        await asyncio.sleep(0.002)
    await wait_linked(left, right)
    assert len(numbers) == len(set(numbers))
    assert numbers == sorted(numbers[:-1]) + [-1]
    assert len(numbers) > 100


async def test_delayed_link_stays(linked: Linked) -> None:
    """Guards against a slow link that is treated as silent."""
    left = await linked.start('left')
    right = await linked.start('right')
    await wait_linked(left, right)
    accepted = linked.relays['right'].accepted
    linked.relays['right'].delay_s = SILENCE_TIMEOUT_S / 4
    for number in range(8):
        assert await left.call('right', Ask(number), Told, 2) == Told(number)
    assert linked.relays['right'].accepted == accepted


async def test_own_stall_is_no_silence(linked: Linked) -> None:
    """Guards against redialling all peers after a stall of the event loop."""
    left = await linked.start('left')
    right = await linked.start('right')
    await wait_linked(left, right)
    accepted = linked.relays['right'].accepted
    for _ in range(3):
        time.sleep(2 * SILENCE_TIMEOUT_S)  # noqa: ASYNC251 - a stall.
        await left.call('right', Ask(1), Told, WAIT_TIMEOUT_S)
    assert linked.relays['right'].accepted == accepted
