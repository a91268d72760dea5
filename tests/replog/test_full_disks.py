"""Disks of voters that are full for some seconds, one after the other."""

from __future__ import annotations

import asyncio
import contextlib
import errno
from pathlib import Path

import pytest

from hornbeamline.replog import LogStoppedError
from tests.replog.group import FaultyDisk, Group, Voter, outcome_of

pytestmark = pytest.mark.looptime(noop_cycles=0)

FULL_S = 4.5
RESTART_S = 0.5
# Bound of an acknowledgement while the core is stable.
ACK_TIMEOUT_S = 4


class FullableDisk(FaultyDisk):
    """Disk that, when full, refuses all writes, and new files if strict."""

    creates_files = True

    def open(self, path: Path) -> int:
        """Open a file; a full disk may refuse to create it."""
        is_full = self.bytes_until_full is not None
        if is_full and not self.creates_files and not path.exists():
            raise OSError(errno.ENOSPC, 'No space left on device')
        return super().open(path)


async def _supervise(group: Group) -> None:
    """Restart processes that have ended, as the platform does."""
    while True:
        await asyncio.sleep(RESTART_S)
        for voter in group.voters.values():
            if voter not in group.running:
                await voter.crash()
                with contextlib.suppress(LogStoppedError):
                    await voter.start()


async def _propose_all(group: Group, accepted: list[bytes]) -> None:
    """Propose through whichever voter leads, a few times a second."""
    number = 0
    while True:
        await asyncio.sleep(0.1)
        for voter in group.running:
            if not voter.log.is_leader:
                continue
            number += 1
            command = b'%d' % number
            outcome = await outcome_of(voter.log.propose('list', command))
            if isinstance(outcome, bytes):
                accepted.append(command)


async def _fill(voter: Voter, left_bytes: int) -> None:
    voter.disk.bytes_until_full = left_bytes
    await asyncio.sleep(FULL_S)
    voter.disk.bytes_until_full = None


# Guards against changes that stay refused after full disks have room again.
@pytest.mark.parametrize('creates_files', [True, False])
@pytest.mark.parametrize('left_bytes', [0, 10, 300, 2000])
@pytest.mark.parametrize('snapshot_entries', [4, 4096])
async def test_full_disks_one_after_another_end_no_changes(
    new_group, left_bytes, creates_files, snapshot_entries
) -> None:
    """Fault: each disk is full for some seconds, never two at once."""
    group = await new_group(
        3, desired_voters=3, snapshot_entries=snapshot_entries
    )
    for voter in group.voters.values():
        await voter.crash()
        voter.disk = FullableDisk(group.rng)
        voter.disk.creates_files = creates_files
    for voter in group.voters.values():
        await voter.start()
    accepted: list[bytes] = []
    tasks = [
        asyncio.create_task(_supervise(group)),
        asyncio.create_task(_propose_all(group, accepted)),
    ]
    await group.leader()
    for _ in range(2):
        for voter in group.voters.values():
            await asyncio.sleep(FULL_S)
            before = len(accepted)
            await _fill(voter, left_bytes)
            assert len(accepted) > before
    await asyncio.sleep(ACK_TIMEOUT_S)
    before = len(accepted)
    await asyncio.sleep(ACK_TIMEOUT_S)
    assert len(accepted) > before + 20
    for task in tasks:
        task.cancel()
    await group.settle()
    assert len(group.running) == len(group.voters)
    kept = {command for _, command in group.running[0].machine.commands}
    assert kept.issuperset(accepted)
    assert len({tuple(v.machine.commands) for v in group.running}) == 1
