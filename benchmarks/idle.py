"""Control cost of an idle fleet by number of entry hosts, on loopback.

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


class Reading(NamedTuple):
    """Processor time and memory of one process."""

    processor_s: float
    resident_mb: float


def read_process(pid: int) -> Reading:
    """Return the reading of a process."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = stat.rpartition(')')[2].split()
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return Reading(
        (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        pages * os.sysconf('SC_PAGE_SIZE') / 1_048_576,
    )


def loopback_bytes() -> int:
    """Return the bytes that the loopback interface has received."""
    for line in Path('/proc/net/dev').read_text().splitlines():
        name, _, fields = line.partition(':')
        if name.strip() == 'lo':
            return int(fields.split()[0])
    raise RuntimeError('no loopback interface')


def measure(entries: int, seconds: float) -> None:
    """Run one fleet and print its figures by role."""
    document = load_document(sorted(EXAMPLE.glob('*.toml')))
    plan = plan_fleet(document, CONTROLS, entries)
    with (
        tempfile.TemporaryDirectory() as folder,
        ProcessGroup(Path(folder)) as group,
    ):
        for name, arguments in write_settings(plan, Path(folder)).items():
            group.start(name, arguments)
        time.sleep(SETTLE_S)
        began = {name: read_process(group.pid(name)) for name in group.names()}
        bytes_before = loopback_bytes()
        time.sleep(seconds)
        bytes_per_s = (loopback_bytes() - bytes_before) / seconds
        spent = {
            name: read_process(group.pid(name)).processor_s - first.processor_s
            for name, first in began.items()
        }
        for role, names in (
            ('entry', list(plan.addresses.callers_by_entry)),
            ('control', list(plan.addresses.peers_by_control)),
        ):
            shares = [spent[name] / seconds * 100 for name in names]
            memory = [began[name].resident_mb for name in names]
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
    """Measure fleets of several sizes."""
    for entries in ENTRY_COUNTS:
        measure(entries, seconds)


if __name__ == '__main__':
    typer.run(main)
