"""Versions of streams across entry hosts, restarts and changes of leader."""

from __future__ import annotations

import asyncio

import pytest

from hornbeamline.origins import OriginUnavailableError, StreamKey
from tests.origins.group import SERVICE, origin_proposals

pytestmark = pytest.mark.looptime(noop_cycles=0)


# Guards against a stream that goes on at another version at another host.
async def test_version_is_found_at_another_host(new_origins) -> None:
    """Fault: the caller returns elsewhere while two versions serve."""
    group = await new_origins()
    group.platform.serve('v1', 'v2')
    first, second = await group.entry('entry-1'), await group.entry('entry-2')
    for version in ('v1', 'v2'):
        stream = await first.begin(f'r-{version}', version)
        assert await second.find(stream) == version
        assert await first.find(stream) == version


# Guards against a version that is forgotten when all hosts lose power.
async def test_version_survives_a_power_loss_of_all(new_origins) -> None:
    """Fault: all control processes and entry hosts stop at once."""
    group = await new_origins()
    group.platform.serve('v1', 'v2')
    first = await group.entry('entry-1')
    streams = {
        version: await first.begin(f'r-{version}', version)
        for version in ('v1', 'v2')
    }
    await first.crash()
    await group.restart()
    again = await group.entry('entry-1')
    for version, stream in streams.items():
        assert await again.find(stream) == version


# Guards against a record that is lost with the leader that stored it.
async def test_version_survives_the_loss_of_the_leader(new_origins) -> None:
    """Fault: the leader dies between the record and the question."""
    group = await new_origins()
    group.platform.serve('v1', 'v2')
    first, second = await group.entry('entry-1'), await group.entry('entry-2')
    stream = await first.begin('r', 'v2')
    await (await group.leader()).crash()
    assert await second.find(stream) == 'v2'
    other = await second.begin('s', 'v2')
    assert await first.find(other) == 'v2'


# Guards against a wrong answer in place of an error without a leader.
async def test_no_leader_raises(new_origins) -> None:
    """Fault: two of three control processes are lost."""
    group = await new_origins()
    group.platform.serve('v1', 'v2')
    first, second = await group.entry('entry-1'), await group.entry('entry-2')
    stream = await first.begin('r', 'v2')
    for voter in list(group.running)[:2]:
        await voter.crash()
    began = asyncio.get_running_loop().time()
    with pytest.raises(OriginUnavailableError):
        await second.origins.find(stream, 2.0)
    with pytest.raises(OriginUnavailableError):
        await first.origins.record(StreamKey(SERVICE, '', 's'), 'v2', 2.0)
    with pytest.raises(OriginUnavailableError):
        await second.origins.record(StreamKey(SERVICE, '', 's'), 'v1', 2.0)
    assert asyncio.get_running_loop().time() - began == pytest.approx(6.0)
    # The host that stored the record knows it still.
    assert await first.find(stream) == 'v2'


# Guards against disk writes and messages for streams of the only version.
async def test_one_version_costs_no_message_and_no_write(new_origins) -> None:
    """Measured: calls and proposals after the first belief."""
    group = await new_origins()
    host = await group.entry('entry-1')
    await host.begin('first', 'v1')
    calls, proposals = len(host.peering.requests), len(origin_proposals(group))
    for number in range(100):
        await host.begin(f'r-{number}', 'v1')
        await asyncio.sleep(1)
    assert len(host.peering.requests) == calls
    assert len(origin_proposals(group)) == proposals
    # Only the default of the service has been written.
    assert proposals == 1
