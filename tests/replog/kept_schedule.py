"""Fault schedules for a group that changes its voters automatically."""

from __future__ import annotations

from pathlib import Path

from tests.replog.group import VolatileDisk, Voter, outcome_of
from tests.replog.schedule import Schedule

SPARE = 'control-4'
DISKLESS = 'control-5'


class KeptSchedule(Schedule):
    """Three voters, a spare process with a disk and one without.

    There is no operator: a process that lost its data restarts with the
    setting to join, and only the leader changes the voters.
    """

    desired_voters = 3

    def __init__(self, folder: Path, seed: int, voters: int) -> None:
        super().__init__(folder, seed, voters)
        self.group.diskless = {DISKLESS}
        self.group.add(SPARE)
        self.group.add(DISKLESS).disk = VolatileDisk()

    async def stop(self, voter: Voter) -> None:
        """Stop a voter gracefully and start it again."""
        await voter.stop()
        if voter.name == DISKLESS:
            # The memory is lost with the process.
            voter.disk.crash()
        await self.restart(voter)

    async def empty(self, voter: Voter) -> None:
        """Delete a data folder, unless another loss is still unrepaired."""
        if voter.name == DISKLESS:
            await self.restart(voter)
            return
        if self._unrepaired is None:
            self._unrepaired = voter
            voter.options['join'] = True
            await voter.empty()
            await self.restart(voter)

    async def _request_repair(self, leader: Voter, lost: Voter) -> None:
        """Do nothing, as the group repairs itself."""

    async def _is_repaired(self, lost: Voter) -> bool:
        """Return whether all voters have a disk that still exists."""
        leader = self._self_declared_leader()
        if leader is None or lost.log is None:
            return False
        log, identity = leader.log, lost.log.identity
        votes = {member.name: member for member in log.members.voters}
        own = votes.get(lost.name)
        if len(votes) < self.desired_voters or DISKLESS in votes:
            return False
        if own is not None and own.identity != identity:
            return False
        # The barrier proves that this leader's configuration is in effect,
        # and its commit index that the change is committed.
        if isinstance(await outcome_of(log.read_barrier()), Exception):
            return False
        changed_at = log._node.journal.configurations.latest_index
        return log.commit_index >= changed_at
