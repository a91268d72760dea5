"""Addresses of voters that the settings do not name."""

from __future__ import annotations

import asyncio

import pytest

from tests.replog.group import eventually

pytestmark = pytest.mark.looptime(noop_cycles=0)

# All voters must serve again within this time after they have started.
RECOVERY_TIMEOUT_S = 12
LOST = ['control-91', 'control-92', 'control-93']


async def restart_with_other_settings(group, names: list[str]) -> None:
    """End all voters and start them with settings that name other hosts."""
    for voter in group.voters.values():
        await voter.crash()
    group.initial_names = names
    for starting in group.voters.values():
        starting.options['join'] = True
        await starting.start()


# Failure: no leader after a restart, since the founding voters knew each
# other by their settings only, and these named lost control hosts.
async def test_founders_find_each_other_without_their_settings(
    new_group,
) -> None:
    """Fault: all restart while their settings name lost hosts only."""
    group = await new_group(3, desired_voters=3)
    group.network.needs_addresses = True
    await group.propose(b'first')
    await restart_with_other_settings(group, LOST)
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        assert await group.propose(b'second') == b'2'


# Failure: as above, with a voter that was added to the group.
async def test_added_voter_is_found_without_settings(new_group) -> None:
    """Fault: a voter is replaced; then all restart, one founder without disk.

    The quorum that is left needs the added voter.
    """
    group = await new_group(3, desired_voters=3)
    group.network.needs_addresses = True
    await group.propose(b'first')
    leader = await group.leader()
    lost = next(v for v in group.running if v.name != leader.name)
    await lost.crash()
    del group.voters[lost.name]
    await group.add('control-9').start()
    await eventually(lambda: 'control-9' in group.voter_names(), 8)
    await group.propose(b'second')
    await group.settle()
    other = next(
        v for v in group.running if v.name not in {leader.name, 'control-9'}
    )
    await other.empty()
    await restart_with_other_settings(group, LOST)
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        assert await group.propose(b'third') == b'3'
