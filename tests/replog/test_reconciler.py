"""Automatic changes of voters, without an operator."""

from __future__ import annotations

import asyncio

import pytest

from tests.replog.group import VolatileDisk, eventually

pytestmark = pytest.mark.looptime(noop_cycles=0)

# A repaired host has to vote again within this time.
REPAIR_TIMEOUT_S = 4
INITIAL_VOTERS = {'control-1', 'control-2', 'control-3'}


async def wait_for_voters(group, names: set[str], timeout_s: float) -> None:
    """Wait until these are the voters, under their present identities."""

    def settled() -> bool:
        identities = {
            voter.name: voter.log.identity
            for voter in group.running
            if voter.name in names
        }
        return group.voter_names() == names and any(
            voter.log.is_leader
            and all(
                member.identity == identities.get(member.name, member.identity)
                for member in voter.log.members.voters
            )
            for voter in group.running
        )

    await eventually(settled, timeout_s)


async def test_emptied_voter_votes_again_in_time(new_group) -> None:
    """Fault: a follower loses its disk; the next loss may come 4 s later."""
    group = await new_group(3, desired_voters=3)
    await group.propose(b'first')
    leader = await group.leader()
    victim = next(v for v in group.running if v.name != leader.name)
    await victim.empty()
    victim.options['join'] = True
    await victim.start()
    await wait_for_voters(group, INITIAL_VOTERS, REPAIR_TIMEOUT_S)
    # Another loss right after the repair must not lose commits.
    other = next(
        v for v in group.running if v.name not in {leader.name, victim.name}
    )
    await other.empty()
    assert await group.propose(b'second') == b'2'


async def test_emptied_leader_votes_again_in_time(new_group) -> None:
    """Fault: the leader loses its disk right after a commit."""
    group = await new_group(3, desired_voters=3)
    await group.propose(b'first')
    leader = await group.leader()
    await leader.empty()
    leader.options['join'] = True
    await leader.start()
    assert await group.propose(b'second') == b'2'
    await wait_for_voters(group, INITIAL_VOTERS, REPAIR_TIMEOUT_S)


async def test_host_at_another_address_takes_a_lost_vote(new_group) -> None:
    """Fault: a host is lost and an empty one with another name replaces it."""
    group = await new_group(3, desired_voters=3)
    await group.propose(b'first')
    leader = await group.leader()
    victim = next(v for v in group.running if v.name != leader.name)
    await victim.crash()
    del group.voters[victim.name]
    await group.add('control-9').start()
    await wait_for_voters(
        group, INITIAL_VOTERS - {victim.name} | {'control-9'}, 8
    )
    assert await group.propose(b'second') == b'2'


async def test_further_host_learns_and_does_not_vote(new_group) -> None:
    """A host beyond the configured number stays a learner.

    Four voters would tolerate no more losses than three.
    """
    group = await new_group(3, desired_voters=3)
    extra = group.add('control-4')
    await extra.start()
    await group.propose(b'first')
    await eventually(lambda: bool(extra.machine.commands), REPAIR_TIMEOUT_S)
    assert group.voter_names() == INITIAL_VOTERS


async def test_group_grows_to_the_configured_number(new_group) -> None:
    """Learners are promoted until the configured number is reached.

    Two losses at once require five voters; the settings name three.
    """
    group = await new_group(3, desired_voters=5)
    for name in ('control-4', 'control-5'):
        await group.add(name).start()
    await wait_for_voters(
        group, INITIAL_VOTERS | {'control-4', 'control-5'}, REPAIR_TIMEOUT_S
    )


async def test_silent_voter_keeps_its_vote_without_a_successor(
    new_group,
) -> None:
    """A voter that only restarts must still be a voter afterwards."""
    group = await new_group(3, desired_voters=3)
    leader = await group.leader()
    victim = next(v for v in group.running if v.name != leader.name)
    await victim.crash()
    await group.propose(b'first')
    await eventually(lambda: group.voter_names() == INITIAL_VOTERS)
    await victim.start()
    await eventually(lambda: bool(victim.machine.commands))


async def test_process_without_a_disk_learns_but_never_votes(new_group) -> None:
    """Deployment: control processes also run on hosts without a disk."""
    group = await new_group(3, desired_voters=5)
    group.diskless = {'control-4'}
    for name in ('control-4', 'control-5', 'control-6'):
        voter = group.add(name)
        if name in group.diskless:
            voter.disk = VolatileDisk()
        await voter.start()
    names = {*INITIAL_VOTERS, 'control-5', 'control-6'}
    await wait_for_voters(group, names, REPAIR_TIMEOUT_S)
    victim = group.voters['control-5']
    await victim.stop()
    await group.propose(b'first')
    await asyncio.sleep(2 * REPAIR_TIMEOUT_S)
    assert 'control-4' not in group.voter_names()
    learner = group.voters['control-4']
    assert learner.machine.commands[-1][1] == b'first'


async def test_two_lost_disks_of_five_lose_nothing(new_group) -> None:
    """Fault: two of five voters lose their disks at once."""
    group = await new_group(3, desired_voters=5)
    for name in ('control-4', 'control-5'):
        await group.add(name).start()
    names = {*INITIAL_VOTERS, 'control-4', 'control-5'}
    await wait_for_voters(group, names, REPAIR_TIMEOUT_S)
    await group.propose(b'first')
    leader = await group.leader()
    victims = [leader, next(v for v in group.running if v is not leader)]
    for victim in victims:
        await victim.empty()
        victim.options['join'] = True
    for victim in victims:
        await victim.start()
    assert await group.propose(b'second') == b'2'
    await wait_for_voters(group, names, 2 * REPAIR_TIMEOUT_S)


@pytest.mark.parametrize('name', ['control-4', 'control-5'])
async def test_emptied_learner_comes_back_as_learner(new_group, name) -> None:
    """Fault: a learner, with or without a disk, loses its data."""
    group = await new_group(3, desired_voters=3)
    group.diskless = {'control-5'}
    await group.add('control-4').start()
    group.add('control-5').disk = VolatileDisk()
    await group.voters['control-5'].start()
    await group.propose(b'first')
    await asyncio.sleep(REPAIR_TIMEOUT_S)
    victim = group.voters[name]
    await victim.empty()
    await victim.start()
    for _ in range(4):
        await asyncio.sleep(REPAIR_TIMEOUT_S / 4)
        assert group.voter_names() == INITIAL_VOTERS
    assert victim.machine.commands[-1][1] == b'first'


async def test_lost_learner_delays_no_repair(new_group) -> None:
    """Fault: a voter and the latest learner lose their disks together."""
    group = await new_group(3, desired_voters=3)
    await group.propose(b'first')
    learner = group.add('control-4')
    await learner.start()
    await asyncio.sleep(REPAIR_TIMEOUT_S / 2)
    leader = await group.leader()
    victim = next(
        voter
        for voter in group.running
        if voter.name not in {leader.name, learner.name}
    )
    for lost in (victim, learner):
        await lost.empty()
        lost.options['join'] = True
    await victim.start()
    await learner.start()
    await wait_for_voters(group, INITIAL_VOTERS, REPAIR_TIMEOUT_S)


# Guards against a repair that waits for a voter that is gone for good.
@pytest.mark.parametrize('lost_first', ['removed', 'emptied'])
async def test_host_replaces_the_voter_that_was_changed_last(
    new_group, lost_first
) -> None:
    """Fault: the voter that was taken in last is lost for good."""
    group = await new_group(3, desired_voters=3)
    await group.propose(b'first')
    leader = await group.leader()
    newest = next(v for v in group.running if v.name != leader.name)
    await newest.empty()
    if lost_first == 'removed':
        del group.voters[newest.name]
        newest = group.add('control-4')
    newest.options['join'] = True
    await newest.start()
    names = INITIAL_VOTERS
    if lost_first == 'removed':
        names = {voter.name for voter in group.running}
    await wait_for_voters(group, names, 2 * REPAIR_TIMEOUT_S)
    await newest.crash()
    del group.voters[newest.name]
    await asyncio.sleep(1)
    await group.add('control-9').start()
    names = names - {newest.name} | {'control-9'}
    await wait_for_voters(group, names, REPAIR_TIMEOUT_S)
    # The repaired group tolerates the loss of another disk.
    await group.propose(b'second')
    last = await group.leader()
    await last.empty()
    assert await group.propose(b'third') == b'3'


# Guards against a repair that waits for another lost voter.
async def test_emptied_voter_votes_again_while_another_is_lost(
    new_group,
) -> None:
    """Fault: of five voters the one changed last is down, one is emptied."""
    group = await new_group(3, desired_voters=5)
    for name in ('control-4', 'control-5'):
        await group.add(name).start()
    names = {*INITIAL_VOTERS, 'control-4', 'control-5'}
    await wait_for_voters(group, names, REPAIR_TIMEOUT_S)
    await group.propose(b'first')
    leader = await group.leader()
    changed = leader.log.members.changed
    await group.voters[changed].crash()
    await asyncio.sleep(REPAIR_TIMEOUT_S)
    leader = await group.leader()
    emptied = next(v for v in group.running if v.name != leader.name)
    await emptied.empty()
    emptied.options['join'] = True
    await emptied.start()
    await wait_for_voters(group, names, REPAIR_TIMEOUT_S)
    # Two of five are lost again, which the group tolerates.
    another = next(
        v for v in group.running if v.name not in {leader.name, emptied.name}
    )
    await another.empty()
    assert await group.propose(b'second') == b'2'


# Guards against a group that stays short of a voter.
async def test_group_grows_beside_a_voter_lost_during_the_growth(
    new_group,
) -> None:
    """Fault: the first of two further voters is lost once it may vote."""
    group = await new_group(3, desired_voters=5)
    first = group.add('control-4')
    await first.start()
    names = {*INITIAL_VOTERS, 'control-4'}
    await wait_for_voters(group, names, REPAIR_TIMEOUT_S)
    await first.crash()
    del group.voters[first.name]
    await asyncio.sleep(REPAIR_TIMEOUT_S)
    await group.add('control-5').start()
    await wait_for_voters(group, {*names, 'control-5'}, REPAIR_TIMEOUT_S)
    assert await group.propose(b'first') == b'1'


# Guards against one host without an answer that delays all repairs.
async def test_unreachable_host_delays_no_other_replacement(new_group) -> None:
    """Fault: a host that enrols, but does not answer, joins before others."""
    group = await new_group(3, desired_voters=3)
    await group.propose(b'first')
    leader = await group.leader()
    victim = next(v for v in group.running if v.name != leader.name)
    await victim.crash()
    del group.voters[victim.name]
    deaf = group.add('control-4')
    await deaf.start()
    group.network.isolate(deaf.name)
    await asyncio.sleep(1)
    await group.add('control-9').start()
    names = INITIAL_VOTERS - {victim.name} | {'control-9'}
    await wait_for_voters(group, names, REPAIR_TIMEOUT_S)
