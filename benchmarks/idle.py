"""Measure the control-plane cost of an idle fleet on loopback.

The number of entry hosts varies.

Run: python -m benchmarks.idle [--seconds 10]
"""

from __future__ import annotations

import os
import statistics
import tempfile
import time
from pathlib import Path
from typing import Annotated, Final, NamedTuple

import typer

from hornbeamline.inventory import load_document
from hornbeamline.local_fleet import ProcessGroup, plan_fleet, write_settings

ENTRY_COUNTS: Final = (2, 6, 12)
CONTROLS: Final = 3
SETTLE_S: Final = 8
TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
EXAMPLE: Final = Path('examples/tunja')


class ProcessUsage(NamedTuple):
    """CPU time and resident memory of one process."""

    processor_s: float
    resident_mb: float


def process_usage(pid: int) -> ProcessUsage:
    """Return the CPU time and memory that a process has used."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = stat.rpartition(')')[2].split()
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return ProcessUsage(
        (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        pages * os.sysconf('SC_PAGE_SIZE') / 1_048_576,
    )


def loopback_bytes() -> int:
    """Return the bytes that the loopback interface has received."""
    for line in Path('/proc/net/dev').read_text().splitlines():
        name, _, fields = line.partition(':')
        if name.strip() == 'lo':
            return int(fields.split()[0])
    raise RuntimeError('no loopback interface in /proc/net/dev')


def measure(entries: int, seconds: float) -> None:
    """Run a fleet of one size and print its figures by role."""
    document = load_document(sorted(EXAMPLE.glob('*.toml')))
    plan = plan_fleet(document, CONTROLS, entries)
    with (
        tempfile.TemporaryDirectory() as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        for name, arguments in write_settings(plan, Path(folder)).items():
            group.start(name, arguments)
        time.sleep(SETTLE_S)
        usage_before = {
            name: process_usage(group.pid(name)) for name in group.names()
        }
        bytes_before = loopback_bytes()
        time.sleep(seconds)
        bytes_per_s = (loopback_bytes() - bytes_before) / seconds
        processor_s_by_name = {
            name: process_usage(group.pid(name)).processor_s
            - before.processor_s
            for name, before in usage_before.items()
        }
        for role, names in (
            ('entry', list(plan.addresses.callers_by_entry)),
            ('control', list(plan.addresses.peers_by_control)),
        ):
            shares = [
                processor_s_by_name[name] / seconds * 100 for name in names
            ]
            memory = [usage_before[name].resident_mb for name in names]
            typer.echo(
                f'{entries} entry hosts, {role}: processor share '
                f'median {statistics.median(shares):.2f}% '
                f'highest {max(shares):.2f}% of a core, '
                f'memory {max(memory):.0f} MB',
            )
        typer.echo(
            f'{entries} entry hosts, all links: {bytes_per_s / 1000:.0f} KB/s',
        )


def main(
    seconds: Annotated[float, typer.Option('--seconds', min=1)] = 10,
) -> None:
    """Measure idle fleets of several sizes."""
    for entries in ENTRY_COUNTS:
        measure(entries, seconds)


if __name__ == '__main__':
    typer.run(main)
