"""Measure commits and read barriers of the replicated log.

Each voter runs in its own process.

Run from the repository root: python -m benchmarks.replog
"""

from __future__ import annotations

import argparse
import asyncio
import os
import platform
import random
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from benchmarks.peering import free_addresses, processor_s
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.inventory import (
    ControlSettings,
    HostSettings,
    OperatorSettings,
    PeeringSettings,
    StorageSettings,
)
from hornbeamline.peering import PynngPeering
from hornbeamline.replog import RaftLog

FLEET = 'bench'
MACHINE_NAME = 'count'
COMMAND = b'x' * 200
CALLERS = (1, 64, 512)
SECONDS_PER_RUN = 3
GROUP_TIMEOUT_S = 60


class CountMachine:
    """State machine that counts its commands."""

    def __init__(self) -> None:
        """Start with no commands applied."""
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Count a command and return the new count."""
        self.count += 1
        return b'%d' % self.count

    def snapshot(self) -> bytes:
        """Encode the count."""
        return b'%d' % self.count

    def restore(self, data: bytes) -> None:
        """Restore the count from a snapshot."""
        self.count = int(data)


async def measure(
    name: str,
    callers: int,
    call: Callable[[], Awaitable[object]],
) -> str:
    """Run concurrent callers in a closed loop; return a Markdown row."""
    durations_s: list[float] = []
    until_s = time.perf_counter() + SECONDS_PER_RUN
    used_s = processor_s()

    async def repeat() -> None:
        while (started_s := time.perf_counter()) < until_s:
            await call()
            durations_s.append(time.perf_counter() - started_s)

    run_started_s = time.perf_counter()
    await asyncio.gather(*(repeat() for _ in range(callers)))
    elapsed_s = time.perf_counter() - run_started_s
    used_s = processor_s() - used_s
    percentiles = statistics.quantiles(durations_s, n=100)
    return (
        f'{name} | {callers} | {len(durations_s) / elapsed_s:.0f} | '
        f'{percentiles[49] * 1e3:.2f} | {percentiles[98] * 1e3:.2f} | '
        f'{used_s / elapsed_s:.2f} |'
    )


async def run_voter(number: int, addresses: list[str], folder: str) -> None:
    """Run one voter.

    Only the voter that becomes leader measures; it prints its rows and
    exits.
    """
    names = [f'control-{index}' for index in range(len(addresses))]
    settings = ControlSettings(
        host=HostSettings(name=names[number], data_centre='dc', fleet=FLEET),
        peering=PeeringSettings(address=addresses[number]),
        operator=OperatorSettings(
            address=addresses[number],
            credential_sha256='0' * 64,
        ),
        storage=StorageSettings(data_folder=f'{folder}/{names[number]}'),
        controls_by_name=dict(zip(names, addresses, strict=True)),
    )
    peering = PynngPeering(names[number], FLEET, settings.peering)
    log = RaftLog(settings, peering, SystemClock(), random.Random(number))
    log.register_state_machine(MACHINE_NAME, CountMachine())
    elected = asyncio.Event()
    log.on_leadership(lambda is_leader: is_leader and elected.set())
    await peering.start()
    await log.start()
    await elected.wait()
    for callers in CALLERS:
        row = await measure(
            'commits',
            callers,
            lambda: log.propose(MACHINE_NAME, COMMAND),
        )
        sys.stdout.write(f'| {len(addresses)} | {row}\n')
        sys.stdout.flush()
    for callers in CALLERS:
        row = await measure('read barriers', callers, log.read_barrier)
        sys.stdout.write(f'| {len(addresses)} | {row}\n')
        sys.stdout.flush()


def run_group(voters: int, folder: str) -> None:
    """Run one process per voter until the leader has measured.

    Raises:
        SystemExit: If the leader does not finish in time.
    """
    addresses = free_addresses(voters)
    processes = [
        subprocess.Popen(
            [
                sys.executable,
                '-m',
                'benchmarks.replog',
                '--voter',
                str(number),
                '--addresses',
                ','.join(addresses),
                '--folder',
                folder,
            ],
        )
        for number in range(voters)
    ]
    try:
        until_s = time.monotonic() + GROUP_TIMEOUT_S
        while all(process.poll() is None for process in processes):
            if time.monotonic() > until_s:
                raise SystemExit(
                    f'no result from a leader within {GROUP_TIMEOUT_S} s'
                )
            time.sleep(0.1)
    finally:
        for process in processes:
            process.kill()
            process.wait()


def main() -> None:
    """Measure groups of 1, 3 and 5 voters."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--voter', type=int)
    parser.add_argument('--addresses', default='')
    parser.add_argument('--folder')
    options = parser.parse_args()
    if options.voter is not None:
        asyncio.run(
            run_voter(
                options.voter,
                options.addresses.split(','),
                options.folder,
            ),
        )
        return
    sys.stdout.write(
        f'Python {platform.python_version()}, {os.cpu_count()} processors, '
        f'load average {os.getloadavg()[0]:.1f}\n\n'
        '| voters | run | callers | per s | p50 ms | p99 ms | leader cores |\n'
        '| --- | --- | --- | --- | --- | --- | --- |\n',
    )
    sys.stdout.flush()
    for _ in range(options.rounds):
        for voters in (1, 3, 5):
            with tempfile.TemporaryDirectory(dir=options.folder) as folder:
                run_group(voters, str(Path(folder)))


if __name__ == '__main__':
    main()
