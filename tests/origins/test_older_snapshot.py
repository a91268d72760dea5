"""Data folders of control processes from before the origins of streams."""

from __future__ import annotations

import asyncio

import pytest

from tests.local_network import LocalPeering
from tests.origins.group import OriginGroup, OriginVoter
from tests.replog.group import MACHINE, ListMachine

pytestmark = pytest.mark.looptime(noop_cycles=0)

SNAPSHOT_ENTRIES = 4
COMMANDS = 11


class UpgradedVoter(OriginVoter):
    """Control process with another machine; origins come with an upgrade."""

    list_machine: ListMachine

    def attach(self, peering: LocalPeering, log) -> None:
        """Register the other machine, and origins after the upgrade."""
        self.list_machine = ListMachine()
        log.register_state_machine(MACHINE, self.list_machine)
        if self.group.is_upgraded:
            super().attach(peering, log)

    async def start(self) -> None:
        """Start the voter, with its loop after the upgrade."""
        if self.group.is_upgraded:
            await super().start()
        else:
            await super(OriginVoter, self).start()

    async def crash(self) -> None:
        """End the process at once."""
        if self.group.is_upgraded:
            await super().crash()
        else:
            await super(OriginVoter, self).crash()


# Guards against a log that does not start, or loses its content, at an upgrade.
async def test_snapshot_without_origins_is_restored(tmp_path) -> None:
    """An older version wrote the snapshots and the log of all voters."""
    group = OriginGroup(
        tmp_path,
        3,
        snapshot_entries=SNAPSHOT_ENTRIES,
        voter_class=UpgradedVoter,
    )
    group.is_upgraded = False
    await group.start()
    for number in range(COMMANDS):
        await group.propose(b'%d' % number)
    await group.settle()
    for voter in group.voters.values():
        assert voter.log._node.journal.snapshot_index > 0
        await voter.crash()
    group.is_upgraded = True
    await group.start()
    leader = await group.leader()
    commands = [command for _, command in leader.list_machine.commands]
    assert commands == [b'%d' % number for number in range(COMMANDS)]
    await asyncio.sleep(4)
    group.platform.serve('v1', 'v2')
    host = await group.entry('entry-1')
    streams = [await host.begin(f'r-{n}', 'v2') for n in range(COMMANDS)]
    # The next snapshots hold both machines.
    await group.restart()
    await group.leader()
    other = await group.entry('entry-2')
    assert {await other.find(stream) for stream in streams} == {'v2'}
    assert len((await group.leader()).list_machine.commands) == COMMANDS
    await group.stop()


# Guards against a record that only the log held, and a snapshot dropped.
async def test_records_survive_snapshots(new_origins) -> None:
    """A voter that was away gets the snapshot, then leads alone."""
    group = await new_origins(snapshot_entries=SNAPSHOT_ENTRIES)
    group.platform.serve('v1', 'v2')
    host, other = await group.entry('entry-1'), await group.entry('entry-2')
    leader = await group.leader()
    away = next(voter for voter in group.running if voter is not leader)
    await away.crash()
    streams = [await host.begin(f'r-{n}', 'v2') for n in range(40)]
    await away.start()
    await group.settle()
    assert away.log._node.journal.snapshot_index > SNAPSHOT_ENTRIES
    await leader.crash()
    assert {await other.find(stream) for stream in streams} == {'v2'}
