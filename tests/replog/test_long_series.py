"""Long series of single losses among the voters, then a final fault."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.replog.group import Group, Voter, eventually, outcome_of

pytestmark = pytest.mark.looptime(noop_cycles=0)

SEEDS = range(12)
STEPS = 12
# A host that is back, or the successor of one that is gone, counts again.
CATCH_UP_S = 4
RECOVERY_S = 12


class Series:
    """Applies losses to a group, one at a time, each after the last repair."""

    def __init__(self, group: Group, rng: random.Random, losses: int) -> None:
        self.group = group
        self.rng = rng
        # Voters that are lost at the same time.
        self.losses = losses
        self.hosts = 0
        self.accepted: list[bytes] = []

    async def put(self) -> None:
        """Commit a command and remember it."""
        command = b'%d' % len(self.accepted)
        async with asyncio.timeout(RECOVERY_S):
            outcome = None
            for _ in range(10 * RECOVERY_S):
                outcome = await outcome_of(self.group.propose(command))
                if isinstance(outcome, bytes):
                    break
                await asyncio.sleep(0.1)
        assert isinstance(outcome, bytes)
        self.accepted.append(command)

    def victims(self) -> list[Voter]:
        """Return as many voters as may be lost at once."""
        names = sorted(self.group.voter_names())
        chosen = self.rng.sample(names, self.losses)
        return [self.group.voters[name] for name in chosen]

    async def replace(self, voter: Voter) -> None:
        """Lose a host for good; another one takes its place."""
        await voter.crash()
        del self.group.voters[voter.name]
        await asyncio.sleep(self.rng.choice((0.1, 1, 4)))
        self.hosts += 1
        await self.group.add(f'host-{self.hosts}').start()

    async def empty(self, voter: Voter) -> None:
        """Lose the disk of a host, which starts again."""
        await voter.empty()
        voter.options['join'] = True
        await asyncio.sleep(self.rng.choice((0.5, 3)))
        await voter.start()

    async def isolate(self, voter: Voter) -> None:
        """Cut a host off for some seconds."""
        self.group.network.isolate(voter.name)
        await asyncio.sleep(self.rng.choice((1, 5)))
        self.group.network.heal()

    async def fill(self, voter: Voter) -> None:
        """Fill a disk for some seconds; the process ends and starts again."""
        voter.disk.bytes_until_full = self.rng.randint(0, 400)
        await self.put()
        await asyncio.sleep(4)
        voter.disk.bytes_until_full = None
        await self.restart(voter)

    async def restart(self, voter: Voter) -> None:
        """Restart a process."""
        await voter.crash()
        await voter.start()

    async def lose(self) -> None:
        """Apply losses at once, and wait until the hosts count again."""
        faults = (
            self.replace,
            self.empty,
            self.isolate,
            self.fill,
            self.restart,
        )
        async with asyncio.TaskGroup() as group:
            for victim in self.victims():
                group.create_task(self.rng.choice(faults)(victim))
        await self.put()
        await asyncio.sleep(CATCH_UP_S)


# Failure: after a long series of losses that were each repairable, the quorum
# was gone with the next disk (CONFIG and RECOVER on nasrallah-boards).
@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('losses', [1, 2])
async def test_final_fault_after_a_long_series_loses_nothing(
    new_group, seed, losses
) -> None:
    """Fault: at the end disks are lost while all others lose power."""
    voters = 2 * losses + 1
    group = await new_group(
        voters, seed=seed, desired_voters=voters, snapshot_entries=16
    )
    series = Series(group, random.Random(seed), losses)
    await series.put()
    for _ in range(STEPS):
        await series.lose()
    assert len(group.voter_names() & {v.name for v in group.running}) == voters
    victims = series.victims()
    await series.put()
    running = group.running
    for voter in running:
        await voter.crash()
    for voter in victims:
        await voter.empty()
        voter.options['join'] = True
    for voter in running:
        await voter.start()
    async with asyncio.timeout(RECOVERY_S):
        await series.put()
    await eventually(
        lambda: (
            len({len(voter.machine.commands) for voter in group.running}) == 1
        ),
        RECOVERY_S,
    )
    kept = {command for _, command in group.running[0].machine.commands}
    assert kept.issuperset(series.accepted)
