"""Addresses of voters that join while the other voters run."""

from __future__ import annotations

import asyncio

import pytest

from tests.replog.group import eventually

pytestmark = pytest.mark.looptime(noop_cycles=0)

RECOVERY_TIMEOUT_S = 12
LOST = ['control-91', 'control-92', 'control-93']


# Failure: no leader, since a running voter used the addresses in its log
# only after a restart.
async def test_running_voter_uses_address_of_added_voter(new_group) -> None:
    """Fault: a voter is replaced, then the leader is lost."""
    group = await new_group(3, desired_voters=3)
    group.network.needs_addresses = True
    await group.propose(b'first')
    leader = await group.leader()
    lost = next(v for v in group.running if v.name != leader.name)
    await lost.crash()
    del group.voters[lost.name]
    group.initial_names = LOST
    await group.add('control-9').start()
    await eventually(lambda: 'control-9' in group.voter_names(), 8)
    await group.propose(b'second')
    await group.settle()
    await leader.crash()
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        assert await group.propose(b'third') == b'3'
