"""Bootstrap, lost data folders and membership changes."""

from __future__ import annotations

import asyncio

import pytest

from hornbeamline.replog import (
    NotLeaderError,
    VoterChange,
    VoterChangeRefusedError,
)
from tests.replog.group import MACHINE, Voter, eventually, outcome_of

pytestmark = pytest.mark.looptime(noop_cycles=0)


def others(group, *names) -> list[Voter]:
    """Return the running voters except those with the given names."""
    return [voter for voter in group.running if voter.name not in names]


async def replace(group, name: str) -> None:
    """Replace a voter by its new identity, retrying until allowed."""
    async with asyncio.timeout(30):
        while True:
            leader = await group.leader()
            change = VoterChange('replace', name)
            outcome = await outcome_of(leader.log.change_voter(change))
            if not isinstance(outcome, VoterChangeRefusedError):
                assert outcome.voters
                return
            await asyncio.sleep(0.1)


async def test_first_start_waits_for_all_voters(new_group) -> None:
    """Guards against a bootstrap by only a majority of the voters."""
    group = await new_group(3)
    await asyncio.gather(*(voter.empty() for voter in group.voters.values()))
    for name in ('control-1', 'control-2'):
        await group.voters[name].start()
    await asyncio.sleep(20)
    assert all(voter.log.leader is None for voter in group.running)
    await group.voters['control-3'].start()
    assert await group.propose(b'first') == b'1'


async def test_different_voter_lists_do_not_found_a_fleet(new_group) -> None:
    """Guards against two fleets because of different settings."""
    group = await new_group(2)
    for voter in group.voters.values():
        await voter.empty()
    await group.voters['control-1'].start()
    group.initial_names = ['control-1', 'control-2', 'control-3']
    await group.voters['control-2'].start()
    await asyncio.sleep(10)
    assert all(voter.log.leader is None for voter in group.running)


@pytest.mark.parametrize('remembers', ['control-1', 'control-2', 'control-3'])
async def test_emptied_majority_founds_nothing(new_group, remembers) -> None:
    """Guards against a second fleet of voters that lost their data."""
    group = await new_group(3)
    await group.propose(b'acknowledged')
    await group.settle()
    for voter in others(group, remembers):
        await voter.empty()
        await voter.start()
    await asyncio.sleep(20)
    assert not any(voter.log.is_leader for voter in group.running)
    # The same must hold while the remaining voter is unreachable.
    group.network.isolate(remembers)
    await asyncio.sleep(20)
    assert not any(voter.log.is_leader for voter in group.running)


async def test_emptied_voter_does_not_vote(new_group) -> None:
    """Guards against voting twice and an empty log in a quorum."""
    group = await new_group(3)
    leader = await group.leader()
    lost, remaining = others(group, leader.name)
    group.network.isolate(remaining.name)
    await leader.log.propose(MACHINE, b'on two voters')
    await lost.empty()
    await lost.start()
    await eventually(lambda: len(lost.machine.commands) == 0)
    # Now only the leader has the entry under an identity that is a voter.
    proposal = asyncio.create_task(leader.log.propose(MACHINE, b'blocked'))
    await asyncio.sleep(5)
    assert not leader.log.is_leader
    assert isinstance(await outcome_of(proposal), Exception)
    await leader.crash()
    group.network.heal()
    await asyncio.sleep(20)
    # `remaining` lacks the entry and must not win by the vote of the voter
    # without its data.
    assert not any(voter.log.is_leader for voter in group.running)
    await leader.start()
    await group.propose(b'after')
    survivor = await group.leader()
    applied = [command for _, command in survivor.machine.commands]
    assert applied[0] == b'on two voters'
    assert applied[-1] == b'after'


async def test_second_voter_lost_right_after_a_repair(new_group) -> None:
    """Guards against a repair that only looks complete."""
    group = await new_group(3)
    for number in range(50):
        await group.propose(b'%d' % number)
    first = others(group, (await group.leader()).name)[0]
    old_identity = first.log.identity
    await first.empty()
    await first.start()
    assert first.log.identity != old_identity
    await replace(group, first.name)
    # The leader is lost as well, right after the change is committed.
    second = await group.leader()
    await second.empty()
    assert await group.propose(b'next') == b'51'
    await second.start()
    await replace(group, second.name)
    await group.settle()
    assert len({tuple(v.machine.commands) for v in group.running}) == 1
    assert len(first.machine.commands) == 51


async def test_replacement_needs_a_caught_up_voter(new_group) -> None:
    """Guards against a quorum with a voter that has no data."""
    group = await new_group(3)
    await group.propose(b'a')
    leader = await group.leader()
    lost = others(group, leader.name)[0]
    await lost.empty()
    refused = await outcome_of(
        leader.log.change_voter(VoterChange('replace', lost.name)),
    )
    assert isinstance(refused, VoterChangeRefusedError)
    intact = others(group, leader.name)[0]
    refused = await outcome_of(
        leader.log.change_voter(VoterChange('replace', intact.name)),
    )
    assert 'still has its identity' in str(refused)
    refused = await outcome_of(
        leader.log.change_voter(VoterChange('replace', leader.name)),
    )
    assert 'still has its identity' in str(refused)
    refused = await outcome_of(
        intact.log.change_voter(VoterChange('replace', lost.name)),
    )
    assert isinstance(refused, NotLeaderError)


async def test_changes_go_one_at_a_time(new_group) -> None:
    """Guards against two changes whose quorums do not overlap."""
    group = await new_group(3)
    for number in range(20):
        await group.propose(b'%d' % number)
    leader = await group.leader()
    added = Voter(group, 'control-4', join=True)
    group.voters[added.name] = added
    await added.start()
    add = leader.log.change_voter(
        VoterChange('add_learner', added.name, address='127.0.0.1:4'),
    )
    outcomes = await asyncio.gather(
        outcome_of(add),
        outcome_of(
            leader.log.change_voter(VoterChange('remove', 'control-3')),
        ),
    )
    assert isinstance(outcomes[1], VoterChangeRefusedError)
    assert not outcomes[0].members_by_name[added.name].is_voter
    await eventually(lambda: len(added.machine.commands) == 20)
    await leader.log.change_voter(VoterChange('promote', added.name))
    assert len(leader.log.members.voters) == 4
    # After a crash of the new voter other changes are refused, but it can
    # be removed.
    await added.crash()
    await asyncio.sleep(3)
    other = others(group, leader.name)[0]
    refused = await outcome_of(
        leader.log.change_voter(VoterChange('remove', other.name)),
    )
    assert 'has not caught up' in str(refused)
    await leader.log.change_voter(VoterChange('remove', added.name))
    assert len(leader.log.members.voters) == 3


async def test_removal_keeps_a_quorum(new_group) -> None:
    """Guards against a removal that leaves no quorum, or no leader."""
    group = await new_group(3)
    leader = await group.leader()
    dead, alive = others(group, leader.name)
    await dead.crash()
    await asyncio.sleep(3)
    for name, reason in (
        (alive.name, 'would not have a quorum'),
        (leader.name, 'is the leader'),
        ('control-9', 'is not a member'),
    ):
        refused = await outcome_of(
            leader.log.change_voter(VoterChange('remove', name)),
        )
        assert reason in str(refused)
    await leader.log.change_voter(VoterChange('remove', dead.name))
    # A removed voter that restarts must not disrupt the leader.
    await dead.start()
    term = leader.log.term
    await asyncio.sleep(10)
    assert leader.log.term == term
    assert leader.log.is_leader


async def test_empty_voter_with_join_founds_nothing(new_group) -> None:
    """Guards against a bootstrap by a host that is configured to join."""
    group = await new_group(1)
    voter = group.voters['control-1']
    await voter.empty()
    voter.options['join'] = True
    await voter.start()
    await asyncio.sleep(10)
    assert voter.log.leader is None
