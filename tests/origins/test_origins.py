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


# Guards against a record of an attempt that ended before its first event.
@pytest.mark.parametrize('last', ['v1', 'v3'])
async def test_later_record_replaces_the_earlier(new_origins, last) -> None:
    """Fault: the recorded target fails, another one writes the first event."""
    group = await new_origins()
    group.platform.serve('v1', 'v2', 'v3')
    first, second = await group.entry('entry-1'), await group.entry('entry-2')
    stream = await first.begin('r', 'v2')
    assert await first.begin('r', last) == stream
    assert await first.find(stream) == last
    assert await second.find(stream) == last
    await group.restart()
    assert await second.find(stream) == last


# Guards against a lost record that is committed after the one that counts.
async def test_record_without_an_answer_does_not_count(new_origins) -> None:
    """Fault: a record times out; the stream begins at the default then."""
    group = await new_origins()
    group.platform.serve('v1', 'v2')
    first, second = await group.entry('entry-1'), await group.entry('entry-2')
    await first.begin('other', 'v1')
    group.network.isolate('entry-1')
    stream = StreamKey(SERVICE, 'acme', 'r')
    with pytest.raises(OriginUnavailableError):
        await first.origins.record(stream, 'v2', 1.0)
    group.network.heal()
    # The leader is asked, as the host does not know what was stored.
    assert await first.begin('r', 'v1') == stream
    assert await second.find(stream) == 'v1'
    await asyncio.sleep(5)
    assert await second.find(stream) == 'v1'


# Guards against a stream that gets the version of another account's stream.
async def test_accounts_and_services_are_apart(new_origins) -> None:
    """Two accounts and two services use the same request id."""
    group = await new_origins()
    group.platform.serve('v1', 'v2')
    group.platform.serve('w1', service='other')
    await asyncio.sleep(2)
    first, second = await group.entry('entry-1'), await group.entry('entry-2')
    stream = await first.begin('r', 'v2')
    assert await second.find(stream._replace(account='else')) == 'v1'
    assert await second.find(stream._replace(service='other')) == 'w1'
    assert await second.find(stream._replace(service='unknown')) is None


# Guards against five messages and writes where one is enough.
async def test_concurrent_records_share_messages(new_origins) -> None:
    """Measured: messages and proposals of 200 streams at two hosts."""
    group = await new_origins()
    group.platform.serve('v1', 'v2')
    hosts = [await group.entry(f'entry-{number}') for number in (1, 2)]
    for host in hosts:
        await host.begin('before', 'v1')
    proposals = len(origin_proposals(group))
    calls = [len(host.peering.requests) for host in hosts]
    streams = await asyncio.gather(
        *(
            host.begin(f'{host.name}-{number}', 'v2')
            for host in hosts
            for number in range(100)
        )
    )
    assert len(origin_proposals(group)) - proposals <= 3
    for host, before in zip(hosts, calls, strict=True):
        assert len(host.peering.requests) - before <= 3
    third = await group.entry('entry-3')
    found = await asyncio.gather(*(third.find(stream) for stream in streams))
    assert found == ['v2'] * 200
    assert len(third.peering.requests) <= 3


# Guards against a question for each of many streams that begin at once.
async def test_concurrent_streams_share_a_question(new_origins) -> None:
    """Measured: messages of 100 first streams of a host."""
    group = await new_origins()
    host = await group.entry('entry-1')
    await asyncio.gather(*(host.begin(f'r-{n}', 'v1') for n in range(100)))
    # The first question is sent alone, the others share one.
    assert len(host.peering.requests) <= 2
    group.platform.serve('v1', 'v2')
    await asyncio.sleep(30)
    before = len(host.peering.requests)
    for number in range(20):
        await host.begin(f's-{number}', 'v1')
        await asyncio.sleep(0.5)
    # Two versions serve: the default is confirmed each ten seconds.
    assert 1 <= len(host.peering.requests) - before <= 2


# Guards against a default that changes while its streams may go on.
async def test_default_follows_the_versions(new_origins) -> None:
    """Releases: v1 to v2, back to v1, then five versions at once."""
    group = await new_origins()
    host = await group.entry('entry-1')
    assert await group.default() == 'v1'
    old = await host.begin('old', 'v1')
    group.platform.serve('v1', 'v2')
    await asyncio.sleep(100)
    group.platform.serve('v2')
    await asyncio.sleep(50)
    assert await group.default() == 'v1'
    assert await (await group.entry('entry-2')).find(old) == 'v1'
    middle = await host.begin('middle', 'v2')
    await asyncio.sleep(15)
    assert await group.default() == 'v2'
    assert await (await group.entry('entry-2')).find(middle) == 'v2'
    group.platform.serve('v1', 'v2', 'v3', 'v4', 'v5')
    await asyncio.sleep(2)
    others = [
        await host.begin(f'last-{version}', version)
        for version in ('v1', 'v2', 'v3', 'v4', 'v5')
    ]
    await group.restart()
    again = await group.entry('entry-1')
    found = [await again.find(stream) for stream in others]
    assert found == ['v1', 'v2', 'v3', 'v4', 'v5']


# Guards against a default that a new leader changes too early.
async def test_change_of_leader_starts_the_count_anew(new_origins) -> None:
    """Fault: the leader is lost 5 s before the default would change."""
    group = await new_origins()
    group.platform.serve('v2')
    await asyncio.sleep(55)
    await (await group.leader()).crash()
    await group.leader()
    await asyncio.sleep(55)
    assert await group.default() == 'v1'
    await asyncio.sleep(15)
    assert await group.default() == 'v2'


# Guards against decisions by a leader whose list is old.
async def test_old_list_changes_no_default(new_origins) -> None:
    """Fault: the control processes can't read the list of targets."""
    group = await new_origins()
    group.list_age_s_by_voter = dict.fromkeys(group.voters, 60.0)
    group.platform.serve('v2')
    await asyncio.sleep(200)
    assert await group.default() == 'v1'


# Guards against a host that trusts what it heard before it was cut off.
@pytest.mark.parametrize('listed_s', [0, 2])
@pytest.mark.parametrize('away_s', [30, 75, 300])
async def test_host_that_returns_asks_again(
    new_origins, away_s, listed_s
) -> None:
    """Fault: a host without list and control misses two releases."""
    group = await new_origins()
    host = await group.entry('entry-1')
    await host.begin('before', 'v1')
    host.sees_list = False
    group.network.isolate('entry-1')
    group.platform.serve('v2')
    await asyncio.sleep(away_s)
    group.platform.serve('v1')
    group.network.heal()
    host.sees_list = True
    # The host has seen lists with its believed default only.
    await asyncio.sleep(listed_s)
    stream = await host.begin('r', 'v1')
    assert await (await group.entry('entry-2')).find(stream) == 'v1'
    await asyncio.sleep(2)
    stream = await host.begin('s', 'v1')
    assert await (await group.entry('entry-2')).find(stream) == 'v1'


# Guards against a version that is gone and back between two lists of a host.
async def test_host_sees_a_version_go_and_come_back(new_origins) -> None:
    """The belief is confirmed again after a list without the version."""
    group = await new_origins()
    host = await group.entry('entry-1')
    await host.begin('before', 'v1')
    group.platform.serve('v2')
    await asyncio.sleep(70)
    group.platform.serve('v1')
    await asyncio.sleep(2)
    stream = await host.begin('r', 'v1')
    assert await (await group.entry('entry-2')).find(stream) == 'v1'


# Guards against a change of the default that a confirmed use overtakes.
async def test_use_of_an_unlisted_version_keeps_the_default(
    new_origins,
) -> None:
    """Fault: the list lacks a version whose targets still begin streams."""
    group = await new_origins()
    host = await group.entry('entry-1')
    group.platform.serve('v2')
    streams = []
    for number in range(120):
        streams.append(await host.begin(f'r-{number}', 'v1'))
        await asyncio.sleep(1)
    other = await group.entry('entry-2')
    assert {await other.find(stream) for stream in streams[-20:]} == {'v1'}
    assert await group.default() == 'v1'


# Guards against streams that wait at each first event without a leader.
async def test_default_is_used_without_control(new_origins) -> None:
    """Fault: the control processes are lost while two versions serve."""
    group = await new_origins()
    group.platform.serve('v1', 'v2')
    host = await group.entry('entry-1')
    await host.begin('before', 'v1')
    for voter in list(group.running):
        await voter.crash()
    await asyncio.sleep(20)
    loop = asyncio.get_running_loop()
    began = loop.time()
    for number in range(20):
        await host.begin(f'r-{number}', 'v1')
        await asyncio.sleep(0.1)
    # 2 s of pauses, and half a second for each attempt to ask.
    assert loop.time() - began <= 3.1


# Guards against records that end before their streams, or never.
async def test_records_last_for_one_to_two_retentions(new_origins) -> None:
    """The longest stream takes 20 s, so that the retention is 60 s."""
    group = await new_origins()
    group.platform.serve('v1', 'v2')
    host, other = await group.entry('entry-1'), await group.entry('entry-2')
    stream = await host.begin('r', 'v2')
    await asyncio.sleep(59)
    assert await other.find(stream) == 'v2'
    await asyncio.sleep(65)
    leader = await group.leader()
    assert not len(leader.machine)
    proposals = len(origin_proposals(group))
    await asyncio.sleep(200)
    assert len(origin_proposals(group)) == proposals


# Guards against a stream that counts as begun at the default when full.
async def test_full_records_raise(new_origins) -> None:
    """Fault: more streams than the bound while two versions serve."""
    group = await new_origins(max_records=10)
    group.platform.serve('v1', 'v2')
    host, other = await group.entry('entry-1'), await group.entry('entry-2')
    streams = [await host.begin(f'r-{number}', 'v2') for number in range(10)]
    refused = StreamKey(SERVICE, 'acme', 'r-10')
    with pytest.raises(OriginUnavailableError):
        await host.origins.record(refused, 'v2', 2.0)
    # Streams at the default begin as before, and the known ones are kept.
    await host.begin('s', 'v1')
    assert {await other.find(stream) for stream in streams} == {'v2'}
    await host.begin('r-3', 'v3')
    assert await other.find(streams[3]) == 'v3'


# Guards against a fallback to a version that is not the only one.
async def test_sole_version_needs_a_minute_of_lists(new_origins) -> None:
    """A second version, an interruption of the lists, a service without."""
    group = await new_origins()
    host = await group.entry('entry-1')
    assert host.origins.sole_version(SERVICE, 0) is None
    await asyncio.sleep(61)
    assert host.origins.sole_version(SERVICE, 0) == 'v1'
    assert host.origins.sole_version('unknown', 0) is None
    group.platform.serve('v1', 'v2')
    await asyncio.sleep(2)
    assert host.origins.sole_version(SERVICE, 0) is None
    group.platform.serve('v1')
    await asyncio.sleep(50)
    assert host.origins.sole_version(SERVICE, 0) is None
    await asyncio.sleep(13)
    assert host.origins.sole_version(SERVICE, 0) == 'v1'
    host.sees_list = False
    await asyncio.sleep(15)
    assert host.origins.sole_version(SERVICE, 0) is None
    host.sees_list = True
    await asyncio.sleep(50)
    assert host.origins.sole_version(SERVICE, 0) is None


# Guards against a version that is not found since it has no name.
async def test_empty_version_is_a_version(new_origins) -> None:
    """The list has no version for some targets."""
    group = await new_origins()
    group.platform.serve('', 'v1')
    host, other = await group.entry('entry-1'), await group.entry('entry-2')
    assert await other.find(await host.begin('r', '')) == ''
    with pytest.raises(OriginUnavailableError):
        await host.begin('s', 'x' * 1000)


# Guards against the answer of a leader that has been replaced.
async def test_replaced_leader_answers_nothing(new_origins) -> None:
    """Fault: the leader is cut off from the voters, not from a host."""
    group = await new_origins()
    group.platform.serve('v1', 'v2')
    first, second = await group.entry('entry-1'), await group.entry('entry-2')
    old = await group.leader()
    others = [voter for voter in group.running if voter is not old]
    # The second host prefers the leader from now on.
    await second.find(StreamKey(SERVICE, 'acme', 'other'))
    for voter in others:
        group.network.cut(old.name, voter.name)
    group.network.cut('entry-1', old.name)
    # Until the old leader steps down, both believe that they lead.
    stream = await first.begin('r', 'v2')
    assert await second.find(stream) == 'v2'
    assert await second.begin('s', 'v2') != stream


# Guards against a default that was replaced while a host heard nothing of it.
async def test_unsteady_default_is_not_used_without_control(
    new_origins,
) -> None:
    """Fault: a version is gone and back; the host never reaches control."""
    group = await new_origins()
    host = await group.entry('entry-1')
    await host.begin('before', 'v1')
    group.network.isolate('entry-1')
    group.platform.serve('v2')
    await asyncio.sleep(70)
    group.platform.serve('v1', 'v2')
    await asyncio.sleep(2)
    assert await group.default() == 'v2'
    with pytest.raises(OriginUnavailableError):
        await host.begin('r', 'v1')
    group.network.heal()
    stream = await host.begin('r', 'v1')
    assert await (await group.entry('entry-2')).find(stream) == 'v1'
