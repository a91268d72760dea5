"""Voters are kept without an operator."""

from __future__ import annotations

import asyncio

import pytest

from tests.replog.group import DisklessHost, eventually

pytestmark = pytest.mark.looptime(noop_cycles=0)

# Time in which a repaired host has to vote again, seconds.
CATCH_UP_S = 4
FIRST = {'control-1', 'control-2', 'control-3'}


async def has_votes(group, names: set[str], timeout_s: float) -> None:
    """Wait until exactly these hosts vote under their present identity."""

    def settled() -> bool:
        identities = {
            voter.name: voter.log.identity
            for voter in group.running
            if voter.name in names
        }
        return group.votes() == names and any(
            voter.log.is_leader
            and all(
                member.identity == identities.get(member.name, member.identity)
                for member in voter.log.members.voters
            )
            for voter in group.running
        )

    await eventually(settled, timeout_s)


async def test_emptied_voter_votes_again_in_time(new_group) -> None:
    """Fault: a disk is lost; the next loss may come 4 s later."""
    group = await new_group(3, kept_voters=3)
    await group.propose(b'first')
    leader = await group.leader()
    victim = next(v for v in group.running if v.name != leader.name)
    await victim.empty()
    victim.options['join'] = True
    await victim.start()
    await has_votes(group, FIRST, CATCH_UP_S)
    # The next loss, right after the repair, loses nothing.
    other = next(
        v for v in group.running if v.name not in {leader.name, victim.name}
    )
    await other.empty()
    assert await group.propose(b'second') == b'2'


async def test_emptied_leader_votes_again_in_time(new_group) -> None:
    """Fault: the leader loses its disk right after a commit."""
    group = await new_group(3, kept_voters=3)
    await group.propose(b'first')
    leader = await group.leader()
    await leader.empty()
    leader.options['join'] = True
    await leader.start()
    assert await group.propose(b'second') == b'2'
    await has_votes(group, FIRST, CATCH_UP_S)


async def test_host_at_another_address_takes_a_lost_vote(new_group) -> None:
    """Fault: a host is gone for good and an empty one comes elsewhere."""
    group = await new_group(3, kept_voters=3)
    await group.propose(b'first')
    leader = await group.leader()
    victim = next(v for v in group.running if v.name != leader.name)
    await victim.crash()
    del group.voters[victim.name]
    await group.add('control-9').start()
    await has_votes(group, FIRST - {victim.name} | {'control-9'}, 8)
    assert await group.propose(b'second') == b'2'


async def test_further_host_learns_and_does_not_vote(new_group) -> None:
    """A fourth voter would not bear one loss more."""
    group = await new_group(3, kept_voters=3)
    extra = group.add('control-4')
    await extra.start()
    await group.propose(b'first')
    await eventually(lambda: bool(extra.machine.commands), CATCH_UP_S)
    assert group.votes() == FIRST


async def test_group_grows_to_the_wished_number(new_group) -> None:
    """Two losses at once need five voters; three are named at first."""
    group = await new_group(3, kept_voters=5)
    for name in ('control-4', 'control-5'):
        await group.add(name).start()
    await has_votes(group, FIRST | {'control-4', 'control-5'}, CATCH_UP_S)


async def test_silent_voter_keeps_its_vote_without_a_successor(
    new_group,
) -> None:
    """A host that only restarts must find its place again."""
    group = await new_group(3, kept_voters=3)
    leader = await group.leader()
    victim = next(v for v in group.running if v.name != leader.name)
    await victim.crash()
    await group.propose(b'first')
    await eventually(lambda: group.votes() == FIRST)
    await victim.start()
    await eventually(lambda: bool(victim.machine.commands))


async def test_process_without_a_disk_learns_but_never_votes(new_group) -> None:
    """Deployment: control also runs on hosts that keep nothing."""
    group = await new_group(3, kept_voters=5)
    group.diskless = {'control-4'}
    for name in ('control-4', 'control-5', 'control-6'):
        voter = group.add(name)
        if name in group.diskless:
            voter.disk = DisklessHost()
        await voter.start()
    names = {*FIRST, 'control-5', 'control-6'}
    await has_votes(group, names, CATCH_UP_S)
    victim = group.voters['control-5']
    await victim.stop()
    await group.propose(b'first')
    await asyncio.sleep(2 * CATCH_UP_S)
    assert 'control-4' not in group.votes()
    learner = group.voters['control-4']
    assert learner.machine.commands[-1][1] == b'first'


async def test_two_lost_disks_of_five_lose_nothing(new_group) -> None:
    """Fault: two voters lose their disks at once, two losses are borne."""
    group = await new_group(3, kept_voters=5)
    for name in ('control-4', 'control-5'):
        await group.add(name).start()
    names = {*FIRST, 'control-4', 'control-5'}
    await has_votes(group, names, CATCH_UP_S)
    await group.propose(b'first')
    leader = await group.leader()
    victims = [leader, next(v for v in group.running if v is not leader)]
    for victim in victims:
        await victim.empty()
        victim.options['join'] = True
    for victim in victims:
        await victim.start()
    assert await group.propose(b'second') == b'2'
    await has_votes(group, names, 2 * CATCH_UP_S)


@pytest.mark.parametrize('name', ['control-4', 'control-5'])
async def test_emptied_learner_comes_back_as_learner(new_group, name) -> None:
    """Fault: a spare process, with or without a disk, loses everything."""
    group = await new_group(3, kept_voters=3)
    group.diskless = {'control-5'}
    await group.add('control-4').start()
    group.add('control-5').disk = DisklessHost()
    await group.voters['control-5'].start()
    await group.propose(b'first')
    await asyncio.sleep(CATCH_UP_S)
    victim = group.voters[name]
    await victim.empty()
    await victim.start()
    for _ in range(4):
        await asyncio.sleep(CATCH_UP_S / 4)
        assert group.votes() == FIRST
    assert victim.machine.commands[-1][1] == b'first'


async def test_lost_learner_delays_no_repair(new_group) -> None:
    """Fault: a voter and the learner that joined last lose their disks."""
    group = await new_group(3, kept_voters=3)
    await group.propose(b'first')
    learner = group.add('control-4')
    await learner.start()
    await asyncio.sleep(CATCH_UP_S / 2)
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
    await has_votes(group, FIRST, CATCH_UP_S)
