"""Measure throughput, CPU time and round trips of peering on loopback.

Run from the repository root: python -m benchmarks.peering
"""

from __future__ import annotations

import argparse
import asyncio
import os
import platform
import resource
import socket
import statistics
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import NamedTuple

import pynng

from hornbeamline.helpers.codec import decode, encode
from hornbeamline.inventory import PeeringSettings
from hornbeamline.peering import PynngPeering, message

FLEET = 'bench'
# Calls in flight in the concurrent run.
CONCURRENCY = 64


@message('bench.ask')
class EchoRequest(NamedTuple):
    """Message that is sent one way or echoed."""

    number: int
    text: str


@message('bench.told')
class EchoReply(NamedTuple):
    """Reply with the content of the request."""

    number: int
    text: str


class Figures(NamedTuple):
    """Results of one run."""

    name: str
    messages: int
    elapsed_s: float
    processor_s: float
    # Round trips in seconds; empty for one-way runs.
    round_trips: list[float]

    def row(self) -> str:
        """Return the Markdown table row."""
        per_s = self.messages / self.elapsed_s
        processor_us = self.processor_s / self.messages * 1e6
        times = '- | -'
        if self.round_trips:
            percentiles = statistics.quantiles(self.round_trips, n=100)
            times = f'{percentiles[49] * 1e6:.0f} | {percentiles[98] * 1e6:.0f}'
        return f'| {self.name} | {per_s:.0f} | {processor_us:.1f} | {times} |'


def processor_s() -> float:
    """Return the user and system CPU time of all threads in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def free_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses that are currently unused."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(('127.0.0.1', 0))
    addresses = [f'127.0.0.1:{probe.getsockname()[1]}' for probe in probes]
    for probe in probes:
        probe.close()
    return addresses


async def measure(
    name: str,
    messages: int,
    run: Callable[[], Awaitable[list[float]]],
) -> Figures:
    """Measure one run that sends the given number of messages."""
    started_s, used_s = time.perf_counter(), processor_s()
    round_trips = await run()
    elapsed, used_s = time.perf_counter() - started_s, processor_s() - used_s
    return Figures(name, messages, elapsed, used_s, round_trips)


async def timed_calls(
    call: Callable[[int], Awaitable[object]],
    numbers: Iterator[int],
) -> list[float]:
    """Make calls in sequence and return their durations in seconds."""
    durations = []
    for number in numbers:
        started_s = time.perf_counter()
        await call(number)
        durations.append(time.perf_counter() - started_s)
    return durations


async def bench_peering(count: int, text: str) -> list[Figures]:
    """Measure messages between two peerings in this process."""
    left_address, right_address = free_addresses(2)
    left = PynngPeering('left', FLEET, PeeringSettings(address=left_address))
    right = PynngPeering(
        'right',
        FLEET,
        PeeringSettings(address=right_address),
    )
    received = 0
    all_received = asyncio.Event()

    async def count_received(_sender: str, _request: EchoRequest) -> None:
        nonlocal received
        received += 1
        if received == count:
            all_received.set()

    async def echo(_sender: str, request: EchoRequest) -> EchoReply:
        return EchoReply(request.number, request.text)

    async def one_way() -> list[float]:
        for number in range(count):
            left.send('right', EchoRequest(number, text))
            if number % CONCURRENCY == 0:
                await asyncio.sleep(0)
        async with asyncio.timeout(60):
            await all_received.wait()
        return []

    async def call(number: int) -> EchoReply:
        return await left.call(
            'right', EchoRequest(number, text), EchoReply, 10
        )

    async def sequential() -> list[float]:
        return await timed_calls(call, iter(range(count)))

    async def concurrent() -> list[float]:
        numbers = iter(range(count))
        parts = await asyncio.gather(
            *(timed_calls(call, numbers) for _ in range(CONCURRENCY)),
        )
        return [duration for part in parts for duration in part]

    await left.start()
    await right.start()
    left.add_peer('right', right_address)
    try:
        right.on(EchoRequest, count_received)
        await wait_until_alive(left)
        figures = [await measure('peering, one way', count, one_way)]
        right.on(EchoRequest, echo)
        figures += [
            await measure('peering, call by call', count, sequential),
            await measure(
                f'peering, {CONCURRENCY} calls at once',
                count,
                concurrent,
            ),
        ]
    finally:
        await left.stop()
        await right.stop()
    return figures


async def wait_until_alive(left: PynngPeering) -> None:
    """Wait until heartbeats of the other side have arrived."""
    # Liveness has no awaitable form.
    while not left.is_alive('right'):  # noqa: ASYNC110 - no event is set.
        await asyncio.sleep(0.01)


async def bench_awaitable(count: int, text: str) -> list[Figures]:
    """Measure bare pynng with its awaitable calls, one frame per message."""
    request_url, reply_url = (
        f'tcp://{address}' for address in free_addresses(2)
    )
    with (
        pynng.Pull0(listen=request_url) as right_inbox,
        pynng.Pull0(listen=reply_url) as left_inbox,
        pynng.Push0(dial=request_url) as left,
        pynng.Push0(dial=reply_url) as right,
    ):

        async def receive() -> None:
            for _ in range(count):
                decode(await right_inbox.arecv(), EchoRequest)

        async def one_way() -> list[float]:
            receiving = asyncio.create_task(receive())
            for number in range(count):
                await left.asend(encode(EchoRequest(number, text)))
            await receiving
            return []

        async def echo() -> None:
            while True:
                request = decode(await right_inbox.arecv(), EchoRequest)
                await right.asend(
                    encode(EchoReply(request.number, request.text))
                )

        async def call(number: int) -> EchoReply:
            await left.asend(encode(EchoRequest(number, text)))
            return decode(await left_inbox.arecv(), EchoReply)

        async def sequential() -> list[float]:
            echoing = asyncio.create_task(echo())
            durations = await timed_calls(call, iter(range(count)))
            echoing.cancel()
            await asyncio.gather(echoing, return_exceptions=True)
            return durations

        return [
            await measure('awaitable pynng, one way', count, one_way),
            await measure('awaitable pynng, call by call', count, sequential),
        ]


async def main() -> None:
    """Run all measurements and print them as a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=20_000)
    parser.add_argument('--bytes', type=int, default=100)
    parser.add_argument('--rounds', type=int, default=3)
    options = parser.parse_args()
    text = 'x' * options.bytes
    print(
        f'Python {platform.python_version()}, {os.cpu_count()} processors, '
        f'{options.count} messages of {options.bytes} bytes per run',
    )
    print('| run | messages/s | processor us/message | p50 us | p99 us |')
    print('| --- | --- | --- | --- | --- |')
    for _ in range(options.rounds):
        for figures in await bench_peering(options.count, text):
            print(figures.row(), flush=True)
        for figures in await bench_awaitable(options.count, text):
            print(figures.row(), flush=True)


if __name__ == '__main__':
    asyncio.run(main())
