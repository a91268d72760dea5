"""Measures how long faults and changes take to have their effect.

Run as `python -m benchmarks.faults`.
"""

from __future__ import annotations

import argparse
import asyncio
import datetime
import random
import re
import tempfile
import time
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from tests.soak.clients import Clients
from tests.soak.faults import Fault, Round, run_rounds
from tests.soak.fleet import SoakFleet, soak_fleet, until_ready

IN_FORCE = re.compile(
    r'time=(\S+) event=configuration\.in_force revision=(\d+)'
)
KILLS = ('kill_entry', 'kill_leader', 'kill_control')
FREEZES_S = (2.0, 3.0, 3.5, 4.0, 4.5, 6.0, 8.0)


def quantiles(name: str, values: Iterable[float]) -> str:
    """Return a line with p50, p99 and the worst value."""
    ordered = sorted(values)
    p50, p99 = (
        ordered[min(len(ordered) - 1, int(len(ordered) * share))]
        for share in (0.5, 0.99)
    )
    return (
        f'{name}: n={len(ordered)} p50={p50:.3f} s p99={p99:.3f} s '
        f'worst={ordered[-1]:.3f} s'
    )


def applied_at(soak: SoakFleet, entry: str) -> list[tuple[int, float]]:
    """Return revisions and calendar times at which a host applied them."""
    return [
        (int(revision), datetime.datetime.fromisoformat(moment).timestamp())
        for moment, revision in IN_FORCE.findall(soak.group.log_of(entry))
    ]


async def measure_changes(
    folder: Path,
    seconds: float,
    faults: tuple[str, ...],
) -> None:
    """Measure from accepted changes to their effect on all entry hosts."""
    rng = random.Random(1)
    label = 'kills' if faults else 'no faults'
    async with soak_fleet(folder, rng) as soak:
        clients = Clients(soak, 1)
        clients.start()
        if faults:
            rounds = [
                Round((Fault(rng.choice(faults), rng.randrange(12), 1),), 1.5)
                for _ in range(int(seconds))
            ]
            await run_rounds(soak, rounds, seconds, [])
        else:
            await asyncio.sleep(seconds)
        await until_ready(soak, 60)
        await clients.stop(60)
        # The last change has to reach all hosts too.
        await asyncio.sleep(5)
        offset_s = time.time() - time.monotonic()
        applied = [applied_at(soak, entry) for entry in soak.entries]
        delays = [
            max(
                min(at for number, at in times if number >= revision)
                for times in applied
            )
            - (accepted_s + offset_s)
            for revision, accepted_s in clients.accepted_s_by_revision.items()
        ]
        old = [
            max(
                (
                    seen.began_s - accepted_s
                    for seen in clients.served
                    if seen.revision < revision
                ),
                default=0,
            )
            for revision, accepted_s in clients.accepted_s_by_revision.items()
        ]
    print(quantiles(f'applied on all 4 entry hosts, {label}', delays))
    print(quantiles(f'last start under an older revision, {label}', old))


async def answered_after(soak: SoakFleet, key: str) -> float:
    """Return the time from now to the first answered new claim."""
    began_s = time.monotonic()
    clients = Clients(soak, 0)

    async def send_until_answered(number: int) -> None:
        turn = 0
        entry = soak.entries[number % len(soak.entries)]
        while not any(one.outcome == 'answered' for one in clients.attempts):
            turn += 1
            await clients.send(entry, f'{key}-{number}-{turn}')
            await asyncio.sleep(0.02)

    await asyncio.gather(*(send_until_answered(each) for each in range(8)))
    return (
        min(
            one.ended_s for one in clients.attempts if one.outcome == 'answered'
        )
        - began_s
    )


async def measure_elections(folder: Path, kills: int) -> None:
    """Measure from the kill of the leader to the next answered claim."""
    async with soak_fleet(folder, random.Random(2)) as soak:
        delays = []
        for number in range(kills):
            leader = await soak.leader()
            await soak.kill(leader)
            delays.append(await answered_after(soak, f'e{number}'))
            await soak.start(leader)
            await until_ready(soak, 60)
            await asyncio.sleep(2)
    print(quantiles('kill of the leader to the next answered claim', delays))


async def measure_freezes(folder: Path) -> None:
    """Measure what frozen entry hosts do with requests they were sent."""
    async with soak_fleet(folder, random.Random(3)) as soak:
        for freeze_s in FREEZES_S:
            lines = await asyncio.gather(
                *(
                    measure_freeze(soak, entry, freeze_s)
                    for entry in soak.entries
                ),
            )
            print(*lines, sep='\n')
            await until_ready(soak, 60)
            # Sessions that lapsed are opened again.
            await asyncio.sleep(6)


async def measure_freeze(soak: SoakFleet, entry: str, freeze_s: float) -> str:
    """Freeze one entry host, send requests meanwhile, and thaw it."""
    clients = Clients(soak, 0)
    soak.group.freeze(entry)
    stopped_s = time.monotonic()
    sends = []
    while time.monotonic() < stopped_s + freeze_s:
        key = f'f{entry}-{freeze_s}-{len(sends)}'
        sends.append(asyncio.create_task(clients.send(entry, key)))
        await asyncio.sleep(0.25)
    soak.group.thaw(entry)
    thawed_s = time.monotonic()
    await asyncio.gather(*sends)
    told = Counter(
        f'{one.outcome} {one.reason}'.strip() for one in clients.attempts
    )
    ends = [one.ended_s for one in clients.attempts if one.outcome == 'not_run']
    after = 'none refused'
    if ends:
        after = (
            f'first refusal {min(ends) - stopped_s:.3f} s after SIGSTOP, '
            f'{min(ends) - thawed_s:.3f} s after SIGCONT'
        )
    return f'{entry} frozen {freeze_s} s: {after}; {dict(told)}'


async def measure(seconds: float, kills: int) -> None:
    """Run all measurements, one after the other."""
    with tempfile.TemporaryDirectory(prefix='hornbeamline-') as name:
        folder = Path(name)
        for part, faults in (('quiet', ()), ('kills', KILLS)):
            await measure_changes(folder / part, seconds, faults)
        await measure_elections(folder / 'elections', kills)
        await measure_freezes(folder / 'freezes')


def main() -> None:
    """Read the options and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=60)
    parser.add_argument('--kills', type=int, default=20)
    options = parser.parse_args()
    asyncio.run(measure(options.seconds, options.kills))


if __name__ == '__main__':
    main()
