"""Storage faults, isolated voters and lagging voters."""

from __future__ import annotations

import asyncio

import pytest

from hornbeamline.replog import (
    CommandTooLargeError,
    LogBusyError,
    LogStoppedError,
    ProposalUnknownError,
    const,
)
from hornbeamline.replog._replication import Replication
from tests.replog.group import MACHINE, eventually, outcome_of

pytestmark = pytest.mark.looptime(noop_cycles=0)


def commands_of(voter) -> list[bytes]:
    """Return the commands that a voter has applied."""
    return [command for _, command in voter.machine.commands]


@pytest.mark.parametrize('fault', ['sync', 'full'])
async def test_storage_fault_stops_the_leader(new_group, fault) -> None:
    """Guards against acknowledging an entry that was not stored."""
    group = await new_group(3)
    await group.propose(b'before')
    leader = await group.leader()
    stopped: list[LogStoppedError] = []
    leader.log.on_stopped(stopped.append)
    if fault == 'sync':
        leader.disk.sync_fails = True
    else:
        leader.disk.bytes_until_full = 10
    outcome = await outcome_of(leader.log.propose(MACHINE, b'unsure'))
    # Both followers have the entry, so it may be committed, but the leader
    # must not count its own copy.
    assert isinstance(outcome, (ProposalUnknownError, bytes))
    await eventually(lambda: bool(stopped))
    syncs = leader.disk.syncs
    refusal = await outcome_of(leader.log.propose(MACHINE, b'never'))
    assert isinstance(refusal, LogStoppedError)
    assert isinstance(
        await outcome_of(leader.log.read_barrier()),
        LogStoppedError,
    )
    assert not leader.log.is_leader
    assert await group.propose(b'after')
    leader.disk.sync_fails = False
    leader.disk.bytes_until_full = None
    await asyncio.sleep(2)
    assert leader.disk.syncs == syncs
    await leader.crash()
    await leader.start()
    await group.settle()
    kept = [b'before', b'unsure', b'after']
    assert commands_of(leader) in (kept, [b'before', b'after'])
    assert len({tuple(v.machine.commands) for v in group.running}) == 1


async def test_single_voter_with_failing_sync_commits_nothing(
    new_group,
) -> None:
    """Guards against a commit without any durable copy."""
    group = await new_group(1)
    await group.propose(b'kept')
    voter = await group.leader()
    voter.disk.sync_fails = True
    outcome = await outcome_of(voter.log.propose(MACHINE, b'lost'))
    assert isinstance(outcome, ProposalUnknownError)
    assert commands_of(voter) == [b'kept']
    voter.disk.sync_fails = False
    await voter.crash()
    await voter.start()
    await group.leader()
    assert commands_of(voter) in ([b'kept'], [b'kept', b'lost'])


async def test_long_isolation_does_not_disturb(new_group) -> None:
    """Guards against a returning voter that deposes an active leader."""
    group = await new_group(3)
    leader = await group.leader()
    isolated = next(voter for voter in group.running if voter is not leader)
    term = leader.log.term
    group.network.isolate(isolated.name)
    for number in range(30):
        await leader.log.propose(MACHINE, b'%d' % number)
        await asyncio.sleep(5)
    assert isolated.log.term == term
    group.network.heal()
    await asyncio.sleep(5)
    assert leader.log.is_leader
    assert leader.log.term == term
    assert commands_of(isolated) == commands_of(leader)


async def test_one_way_silence_does_not_disturb(new_group) -> None:
    """Guards against disruption by a voter that can only send messages."""
    group = await new_group(3)
    leader = await group.leader()
    deaf = next(voter for voter in group.running if voter is not leader)
    for other in group.voters:
        if other != deaf.name:
            group.network.cuts.add((other, deaf.name))
    term = leader.log.term
    await asyncio.sleep(30)
    assert leader.log.is_leader
    assert leader.log.term == term


async def test_lagging_voter_gets_a_snapshot_in_chunks(
    new_group,
    monkeypatch,
) -> None:
    """Guards against a voter that cannot catch up from the retained log."""
    monkeypatch.setattr(
        'hornbeamline.replog._replication.SNAPSHOT_CHUNK_BYTES',
        100,
    )
    group = await new_group(3, snapshot_entries=10)
    leader = await group.leader()
    lagging = next(voter for voter in group.running if voter is not leader)
    await lagging.crash()
    for number in range(100):
        await leader.log.propose(MACHINE, b'%d' % number)
    assert leader.log._node.journal.base_index > 50
    assert len(list((leader.folder / 'replog').glob('log-*'))) < 5
    await lagging.start()
    group.network.loss = 0.05
    await eventually(lambda: len(lagging.machine.commands) == 100)
    assert lagging.machine.commands == leader.machine.commands
    group.network.loss = 0
    await lagging.crash()
    await lagging.start()
    await group.settle()
    assert lagging.machine.commands == leader.machine.commands


async def test_pending_proposals_are_bounded(new_group, monkeypatch) -> None:
    """Guards against unbounded memory use while there is no quorum."""
    monkeypatch.setattr('hornbeamline.replog._replica.MAX_PENDING_PROPOSALS', 5)
    group = await new_group(3)
    leader = await group.leader()
    group.network.isolate(leader.name)
    waiting = [
        asyncio.create_task(leader.log.propose(MACHINE, b'%d' % number))
        for number in range(7)
    ]
    outcomes = await asyncio.gather(*waiting, return_exceptions=True)
    kinds = [type(outcome) for outcome in outcomes]
    assert kinds == [ProposalUnknownError] * 5 + [LogBusyError] * 2


async def test_large_commands_are_bounded(new_group, monkeypatch) -> None:
    """Guards against an entry that does not fit into a message."""
    monkeypatch.setattr('hornbeamline.replog._replica.MAX_PENDING_BYTES', 10)
    group = await new_group(1)
    voter = await group.leader()
    large = await outcome_of(voter.log.propose(MACHINE, bytes(7_340_033)))
    assert isinstance(large, CommandTooLargeError)
    outcomes = await asyncio.gather(
        *(voter.log.propose(MACHINE, bytes(6)) for _ in range(3)),
        return_exceptions=True,
    )
    assert isinstance(outcomes[2], LogBusyError)
    assert await voter.log.propose(MACHINE, bytes(6)) == b'3'


async def test_proposals_share_a_sync(new_group) -> None:
    """Guards against a separate sync for each waiting proposal."""
    group = await new_group(1)
    voter = await group.leader()
    syncs = voter.disk.syncs
    await asyncio.gather(
        *(voter.log.propose(MACHINE, b'%d' % number) for number in range(200)),
    )
    assert voter.disk.syncs - syncs <= 2
    assert const.MAX_PENDING_PROPOSALS >= 200


async def test_readers_share_a_quorum_round(new_group) -> None:
    """Guards against a separate confirmation round for each reader."""
    group = await new_group(3)
    leader = await group.leader()
    sent: list[str] = []
    call = leader.log._node.peering.call

    async def counted(peer, request, reply_type, timeout_s):
        sent.append(peer)
        return await call(peer, request, reply_type, timeout_s)

    leader.log._node.peering.call = counted
    await asyncio.gather(*(leader.log.read_barrier() for _ in range(200)))
    assert len(sent) <= 6


async def test_unforeseen_error_of_the_applier_stops_the_log(
    new_group, monkeypatch
) -> None:
    """Guards against a voter that acknowledges, but applies nothing."""
    group = await new_group(3)
    await group.propose(b'before')
    leader = await group.leader()
    stopped: list[LogStoppedError] = []
    leader.log.on_stopped(stopped.append)

    def fail() -> None:
        raise KeyError('entry')

    monkeypatch.setattr(leader.log._applier, '_save_when_due', fail)
    await outcome_of(leader.log.propose(MACHINE, b'unsure'))
    await eventually(lambda: bool(stopped))
    assert not leader.log.is_leader
    assert await group.propose(b'after')


async def test_failed_replication_is_started_again(
    new_group, monkeypatch
) -> None:
    """Guards against a follower that gets nothing more from its leader."""
    group = await new_group(3)
    await group.propose(b'before')
    leader = await group.leader()
    failures = []

    def fail(self) -> bool:
        failures.append(1)
        raise KeyError('progress')

    with monkeypatch.context() as patch:
        patch.setattr(Replication, '_has_more', fail)
        await outcome_of(leader.log.propose(MACHINE, b'unsure'))
        await asyncio.sleep(0.2)
    assert failures
    assert await group.propose(b'after')
    await group.settle()
    for voter in group.voters.values():
        assert commands_of(voter)[-1] == b'after'
