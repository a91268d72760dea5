"""Measure how long faults and configuration changes take to have effect.

Run from the repository root: `python -m benchmarks.faults`.
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

IN_FORCE_PATTERN = re.compile(
    r'time=(\S+) event=configuration\.in_force revision=(\d+)'
)
KILLS = ('kill_entry', 'kill_leader', 'kill_control')
FREEZES_S = (2.0, 3.0, 3.5, 4.0, 4.5, 6.0, 8.0)


def quantiles(name: str, values: Iterable[float]) -> str:
    """Format the count, p50, p99 and maximum of values in seconds."""
    ordered = sorted(values)
    p50, p99 = (
        ordered[min(len(ordered) - 1, int(len(ordered) * share))]
        for share in (0.5, 0.99)
    )
    return (
        f'{name}: n={len(ordered)} p50={p50:.3f} s p99={p99:.3f} s '
        f'worst={ordered[-1]:.3f} s'
    )


def applied_revisions(soak: SoakFleet, entry: str) -> list[tuple[int, float]]:
    """Return the revisions a host applied, each with its Unix time."""
    return [
        (int(revision), datetime.datetime.fromisoformat(logged_at).timestamp())
        for logged_at, revision in IN_FORCE_PATTERN.findall(
            soak.group.log_of(entry)
        )
    ]


async def measure_changes(
    folder: Path,
    seconds: float,
    faults: tuple[str, ...],
) -> None:
    """Measure the time from accepted changes to effect on all entry hosts.

    Faults are injected for the given time; without any, the fleet just
    serves the clients for as long.
    """
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
        # Allows the last accepted change to reach every entry host.
        await asyncio.sleep(5)
        offset_s = time.time() - time.monotonic()
        applied = [applied_revisions(soak, entry) for entry in soak.entries]
        delays_s = [
            max(
                min(at for number, at in times if number >= revision)
                for times in applied
            )
            - (accepted_s + offset_s)
            for revision, accepted_s in clients.accepted_s_by_revision.items()
        ]
        stale_start_delays_s = [
            max(
                (
                    observation.began_s - accepted_s
                    for observation in clients.served
                    if observation.revision < revision
                ),
                default=0,
            )
            for revision, accepted_s in clients.accepted_s_by_revision.items()
        ]
    print(quantiles(f'applied on all 4 entry hosts, {label}', delays_s))
    print(
        quantiles(
            f'last start under an older revision, {label}', stale_start_delays_s
        )
    )


async def time_to_answer_s(soak: SoakFleet, key: str) -> float:
    """Return the seconds until the first new request is answered."""
    began_s = time.monotonic()
    clients = Clients(soak, 0)

    async def send_until_answered(number: int) -> None:
        attempt_number = 0
        entry = soak.entries[number % len(soak.entries)]
        while not any(
            attempt.outcome == 'answered' for attempt in clients.attempts
        ):
            attempt_number += 1
            await clients.send(entry, f'{key}-{number}-{attempt_number}')
            await asyncio.sleep(0.02)

    await asyncio.gather(*(send_until_answered(each) for each in range(8)))
    return (
        min(
            attempt.ended_s
            for attempt in clients.attempts
            if attempt.outcome == 'answered'
        )
        - began_s
    )


async def measure_elections(folder: Path, kills: int) -> None:
    """Measure the time from killing the leader to the next answer."""
    async with soak_fleet(folder, random.Random(2)) as soak:
        delays_s = []
        for number in range(kills):
            leader = await soak.leader()
            await soak.kill(leader)
            delays_s.append(await time_to_answer_s(soak, f'e{number}'))
            await soak.start(leader)
            await until_ready(soak, 60)
            await asyncio.sleep(2)
    print(quantiles('kill of the leader to the next answered claim', delays_s))


async def measure_freezes(folder: Path) -> None:
    """Measure how entry hosts handle requests received while frozen."""
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
            # Allows expired sessions to be opened again.
            await asyncio.sleep(6)


async def measure_freeze(soak: SoakFleet, entry: str, freeze_s: float) -> str:
    """Freeze one entry host, send it requests meanwhile, and thaw it.

    Return one line with the delay of the first refusal and the number of
    requests by outcome.
    """
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
    outcome_counts = Counter(
        f'{attempt.outcome} {attempt.reason}'.strip()
        for attempt in clients.attempts
    )
    refused_s = [
        attempt.ended_s
        for attempt in clients.attempts
        if attempt.outcome == 'not_run'
    ]
    refusal_delays = 'none refused'
    if refused_s:
        refusal_delays = (
            f'first refusal {min(refused_s) - stopped_s:.3f} s after SIGSTOP, '
            f'{min(refused_s) - thawed_s:.3f} s after SIGCONT'
        )
    return (
        f'{entry} frozen {freeze_s} s: {refusal_delays}; {dict(outcome_counts)}'
    )


async def measure(seconds: float, kills: int) -> None:
    """Run all measurements in sequence."""
    with tempfile.TemporaryDirectory(prefix='hornbeamline-') as name:
        folder = Path(name)
        for subfolder, faults in (('quiet', ()), ('kills', KILLS)):
            await measure_changes(folder / subfolder, seconds, faults)
        await measure_elections(folder / 'elections', kills)
        await measure_freezes(folder / 'freezes')


def main() -> None:
    """Parse the command line and run the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=60)
    parser.add_argument('--kills', type=int, default=20)
    options = parser.parse_args()
    asyncio.run(measure(options.seconds, options.kills))


if __name__ == '__main__':
    main()
