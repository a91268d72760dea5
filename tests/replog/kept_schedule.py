"""Schedules of faults at a group that keeps its voters by itself."""

from __future__ import annotations

from pathlib import Path

from tests.replog.group import DisklessHost, Voter, outcome_of
from tests.replog.schedule import Schedule

SPARE = 'control-4'
DISKLESS = 'control-5'


class KeptSchedule(Schedule):
    """Three voters, a spare process with a disk and one without.

    No operator takes part: emptied processes come back as they do on a
    host that lost its disk, and voters are changed by the leader alone.
    """

    kept_voters = 3

    def __init__(self, folder: Path, seed: int, voters: int) -> None:
        super().__init__(folder, seed, voters)
        self.group.diskless = {DISKLESS}
        self.group.add(SPARE)
        self.group.add(DISKLESS).disk = DisklessHost()

    async def stop(self, voter: Voter) -> None:
        """Stop a voter gracefully and start it again."""
        await voter.stop()
        if voter.name == DISKLESS:
            # The memory of a process ends with it.
            voter.disk.crash()
        await self.restart(voter)

    async def empty(self, voter: Voter) -> None:
        """Lose a data folder, unless another loss is not repaired yet."""
        if voter.name == DISKLESS:
            await self.restart(voter)
            return
        if self._unrepaired is None:
            self._unrepaired = voter
            voter.options['join'] = True
            await voter.empty()
            await self.restart(voter)

    async def _order_repair(self, leader: Voter, lost: Voter) -> None:
        """Leave repairs to the group."""

    async def _is_repaired(self, lost: Voter) -> bool:
        """Return whether all votes belong to disks that still exist."""
        leader = self._self_declared_leader()
        if leader is None or lost.log is None:
            return False
        log, identity = leader.log, lost.log.identity
        votes = {member.name: member for member in log.members.voters}
        own = votes.get(lost.name)
        if len(votes) < self.kept_voters or DISKLESS in votes:
            return False
        if own is not None and own.identity != identity:
            return False
        # A barrier proves that this leader's configuration counts; its
        # commit index covers the change.
        if isinstance(await outcome_of(log.read_barrier()), Exception):
            return False
        changed_at = log._node.journal.configurations.latest_index
        return log.commit_index >= changed_at
