"""Measure the CPU time of the platform's processes: start, and at rest.

Starts control and entry processes on loopback addresses, without callers,
and prints by role the CPU time from the start of a process until
shortly after it is ready, the CPU time per second at rest, and the resident
memory.

    python -m benchmarks.platform_rest --entries 24 --controls 4
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import Final

import aiohttp

from benchmarks.idle import ProcessUsage, process_usage
from tests.soak.platform.fleet import (
    START_S,
    PlatformFleet,
    platform_fleet,
    put_until_acknowledged,
)

_SETTLE_S: Final = 5.0


def usage_by_process(fleet: PlatformFleet) -> dict[str, ProcessUsage]:
    """Return the CPU time and memory of each process."""
    names = (*fleet.controls, *fleet.entries)
    return {name: process_usage(fleet.group.pid(name)) for name in names}


async def measure(entries: int, controls: int, rest_s: float) -> None:
    """Start a fleet, leave it idle and print the figures."""
    with tempfile.TemporaryDirectory() as folder:
        hosts = range(1, entries + 1)
        async with platform_fleet(
            Path(folder),
            random.Random(1),
            entries=hosts,
            controls=range(1, controls + 1),
        ) as fleet:
            async with aiohttp.ClientSession() as session:
                await put_until_acknowledged(fleet, session, 1, START_S)
            await asyncio.sleep(_SETTLE_S)
            usage_before_rest = usage_by_process(fleet)
            rest_started_s = time.monotonic()
            await asyncio.sleep(rest_s)
            rested_s = time.monotonic() - rest_started_s
            usage_after_rest = usage_by_process(fleet)
    for role, names in (
        ('control', fleet.controls),
        ('entry', fleet.entries),
    ):
        start_s = [usage_before_rest[name].processor_s for name in names]
        per_s = [
            (
                usage_after_rest[name].processor_s
                - usage_before_rest[name].processor_s
            )
            / rested_s
            for name in names
        ]
        memory = [usage_after_rest[name].resident_mb for name in names]
        print(
            f'{role}: {len(names)} processes, start and {_SETTLE_S:.0f} s '
            f'{statistics.median(start_s):.2f} s, at rest '
            f'{statistics.median(per_s) * 1000:.1f} ms/s '
            f'(worst {max(per_s) * 1000:.1f}), '
            f'{statistics.median(memory):.0f} MB resident',
        )


def main() -> None:
    """Parse the command line and run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entries', type=int, default=24)
    parser.add_argument('--controls', type=int, default=4)
    parser.add_argument('--rest-s', type=float, default=15.0)
    options = parser.parse_args()
    asyncio.run(measure(options.entries, options.controls, options.rest_s))


if __name__ == '__main__':
    main()
