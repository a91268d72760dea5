"""Tests of calls, one-way messages and frames that are rejected."""

from __future__ import annotations

import asyncio
import time

import pynng
import pytest

from hornbeamline.helpers.codec import encode
from hornbeamline.peering import (
    CallTimeoutError,
    ListenError,
    MessageTooLargeError,
    PeerFailedError,
    PeeringStoppedError,
    PynngPeering,
    UnknownPeerError,
)
from hornbeamline.peering.const import (
    MAX_BACKLOG_BYTES,
    MAX_FRAME_BYTES,
    MAX_INBOX_FRAMES,
)
from hornbeamline.telemetry import registry
from tests.peering.conftest import (
    Ask,
    Processes,
    Told,
    Unhandled,
    dropped,
    eventually,
    free_addresses,
)

Pair = tuple[PynngPeering, PynngPeering]


async def test_listener_learns_the_dialler(pair: Pair) -> None:
    """Guards against a process that is callable but cannot call back."""
    left, right = pair
    assert await left.call('right', Ask(1), Told, 2) == Told(1)
    assert await right.call('left', Ask(2), Told, 2) == Told(2)


async def test_port_in_use_is_named(processes: Processes) -> None:
    """Guards against a process that starts without a bound inbox."""
    address = free_addresses(1)[0]
    await processes.start('left', address)
    with pytest.raises(ListenError, match=f'cannot listen on {address}'):
        await processes.start('right', address)


async def test_failures_of_calls(pair: Pair) -> None:
    """Guards against failures that cause a timeout or a wrong error."""
    left, right = pair

    async def refuse(_sender: str, _ask: Ask) -> Told:
        raise ValueError('not today')

    right.on(Ask, refuse)
    with pytest.raises(PeerFailedError, match='not today'):
        await left.call('right', Ask(1), Told, 2)
    with pytest.raises(UnknownPeerError):
        await left.call('nobody', Ask(1), Told, 2)
    before = dropped('unknown_kind')
    with pytest.raises(CallTimeoutError):
        await left.call('right', Unhandled(), Told, 0.2)
    assert dropped('unknown_kind') == before + 1


async def test_one_iteration_shares_frames_in_order(pair: Pair) -> None:
    """Guards against one frame per message and against reordering."""
    left, right = pair
    numbers: list[int] = []

    async def record(_sender: str, ask: Ask) -> None:
        numbers.append(ask.number)

    right.on(Ask, record)
    sample = 'hornbeamline_peering_frames_total'
    labels = {'direction': 'sent'}
    before = registry.get_sample_value(sample, labels) or 0
    for number in range(50_000):
        left.send('right', Ask(number))
    await eventually(lambda: len(numbers) == 50_000, 10)
    assert numbers == list(range(50_000))
    sent = (registry.get_sample_value(sample, labels) or 0) - before
    assert sent < 200


async def test_large_messages(pair: Pair) -> None:
    """Guards against a size limit that is too low for a whole document."""
    left, _ = pair
    text = 'x' * (MAX_FRAME_BYTES - 4096)
    asks = [left.call('right', Ask(n, text), Told, 10) for n in range(3)]
    replies = await asyncio.gather(*asks)
    assert [reply.number for reply in replies] == [0, 1, 2]
    assert all(reply.text == text for reply in replies)


async def test_oversize_is_refused_and_counted(pair: Pair) -> None:
    """Guards against a message that makes the receiver disconnect."""
    left, right = pair
    too_long = 'x' * MAX_FRAME_BYTES
    with pytest.raises(MessageTooLargeError):
        await left.call('right', Ask(1, too_long), Told, 2)
    before = dropped('oversize')
    left.send('right', Ask(1, too_long))
    assert dropped('oversize') == before + 1

    async def grow(_sender: str, _ask: Ask) -> Told:
        return Told(1, too_long)

    right.on(Ask, grow)
    with pytest.raises(PeerFailedError, match='limit'):
        await left.call('right', Ask(1), Told, 2)


@pytest.mark.parametrize(
    ('frame', 'reason'),
    [
        (b'\xc1 not MessagePack', 'undecodable'),
        (encode(('test', 'left')), 'undecodable'),
        (encode(('other', 'left', [])), 'other_fleet'),
        (
            encode(('test', 'left', [('test.ask', 0, 0, False, ('a', 1))])),
            'undecodable',
        ),
        (
            encode(('test', 'left', [('no.such', 0, 0, False, ())])),
            'unknown_kind',
        ),
        (
            encode(('test', 'left', [('test.told', 1, 7, True, (1, ''))])),
            'earlier_incarnation',
        ),
        (
            encode(
                (
                    'test',
                    'stranger',
                    [
                        (
                            'peering.heartbeat',
                            0,
                            0,
                            False,
                            ('not an address', 1, 1, 0, 0),
                        )
                    ],
                )
            ),
            'bad_address',
        ),
    ],
)
async def test_foreign_frames_are_dropped_and_counted(
    processes: Processes,
    frame: bytes,
    reason: str,
) -> None:
    """Guards against foreign frames that stop or mislead a process."""
    address, left_address = free_addresses(2)
    right = await processes.start('right', address)
    left = await processes.start('left', left_address)
    before = dropped(reason)
    with pynng.Push0(dial=f'tcp://{address}') as stranger:
        stranger.send(frame)
        # Larger than the limit: the receiver closes the connection.
        stranger.send(b'x' * (MAX_FRAME_BYTES + 1))
        await eventually(lambda: dropped(reason) == before + 1, 2)
    left.add_peer('right', address)
    assert await left.call('right', Ask(1), Told, 2) == Told(1)
    assert right.is_alive('left')


async def test_slow_receiver_is_bounded(
    processes: Processes,
    pair: Pair,
) -> None:
    """Guards against unbounded memory for a peer that accepts no frames."""
    left, _ = pair
    before = dropped('backlog_full')
    address = free_addresses(1)[0]
    with pynng.Pull0(listen=f'tcp://{address}') as stuck:
        left.add_peer('stuck', address)
        text = 'x' * 1_000_000
        # Exceeds the sum of pynng's buffer, the backlog and the TCP buffers.
        count = 100 + 2 * MAX_BACKLOG_BYTES // len(text)
        for number in range(count):
            left.send('stuck', Ask(number, text))
        assert dropped('backlog_full') > before
        assert await left.call('right', Ask(1), Told, 2) == Told(1)
        # The buffered frames arrive when the receiver resumes.
        stuck.recv_timeout = 2000
        assert await asyncio.to_thread(stuck.recv)


async def test_stop_ends_pending_calls(pair: Pair) -> None:
    """Guards against a stop that waits for outstanding replies."""
    left, right = pair
    started = asyncio.Event()

    async def wait(_sender: str, _ask: Ask) -> Told:
        started.set()
        await asyncio.Event().wait()
        raise AssertionError

    right.on(Ask, wait)
    call = asyncio.create_task(left.call('right', Ask(1), Told, 30))
    await started.wait()
    before = time.monotonic()
    await left.stop()
    await right.stop()
    with pytest.raises(PeeringStoppedError):
        await call
    assert time.monotonic() - before < 2
    with pytest.raises(PeeringStoppedError):
        await left.call('right', Ask(1), Told, 1)


async def test_inbox_is_bounded_while_the_event_loop_is_busy(
    processes: Processes,
) -> None:
    """Guards against an unbounded inbox, and against losing its frames."""
    address = free_addresses(1)[0]
    right = await processes.start('right', address)
    numbers: list[int] = []

    async def record(_sender: str, ask: Ask) -> None:
        numbers.append(ask.number)

    right.on(Ask, record)
    count = 2 * MAX_INBOX_FRAMES

    def flood() -> None:
        with pynng.Push0(dial=f'tcp://{address}') as sender:
            for number in range(count):
                envelope = ('test.ask', 0, 0, False, (number, ''))
                sender.send(encode(('test', 'left', [envelope])))
            time.sleep(1)

    flooding = asyncio.get_running_loop().run_in_executor(None, flood)
    time.sleep(0.5)  # noqa: ASYNC251 - a busy event loop.
    assert len(right._inbox._frames) == MAX_INBOX_FRAMES
    await eventually(lambda: len(numbers) == count, 5)
    assert numbers == list(range(count))
    await flooding
