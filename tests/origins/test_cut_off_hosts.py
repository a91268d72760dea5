"""Entry hosts without a leader, or with an old list of targets."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from hornbeamline.daemons._gateway_services import open_origins
from hornbeamline.gateway import (
    Account,
    RefusedError,
    RouteKind,
    StreamVersions,
    TargetDirectory,
    VersionBinding,
)
from hornbeamline.gateway.const import REASON_ORIGIN_UNKNOWN
from hornbeamline.origins import OriginUnavailableError, StreamKey
from tests.gateway.builders import make_request, make_route, make_target
from tests.origins.group import SERVICE, TIMEOUT_S, EntryHost
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)


# Failure: a host without a leader took a default that it had seen go for the
# present one, so that another host continued the stream at another (ORDER).
@pytest.mark.parametrize('sees_list', [False, True])
async def test_host_that_is_cut_off_does_not_guess(
    new_origins, sees_list
) -> None:
    """Fault: a host reaches no control process while v1 goes and returns."""
    group = await new_origins()
    host = await group.entry('entry-1')
    await host.begin('before', 'v1')
    host.sees_list = sees_list
    group.network.isolate('entry-1')
    group.platform.serve('v2')
    await asyncio.sleep(75)
    assert await group.default() == 'v2'
    group.platform.serve('v1', 'v2')
    host.sees_list = True
    await asyncio.sleep(2)
    begun = []
    for number in range(5):
        stream = StreamKey(SERVICE, 'acme', f'r-{number}')
        try:
            await host.origins.record(stream, 'v1', 2.0)
        except OriginUnavailableError:
            continue
        begun.append(stream)
    other = await group.entry('entry-2')
    assert {await other.find(stream) for stream in begun} <= {'v1'}


# Failure: lists that a control process had read long ago counted as fresh, so
# that a host relied on a default that had changed meanwhile (ORDER).
async def test_old_list_does_not_confirm_a_version(new_origins) -> None:
    """Fault: a host hears of a list only from a control process cut off."""
    group = await new_origins()
    group.longest_stream_s = 20.0
    clock = LoopClock()
    directory = TargetDirectory(clock)
    member: Any = SimpleNamespace(
        answering_controls=lambda: sorted(group.initial_names)
    )
    peering = group.network.endpoint('entry-1')
    origins = open_origins(peering, clock, member, directory)
    directory.replace_list([make_target('t', service=SERVICE, version='v1')])
    read_at = clock.monotonic()
    await asyncio.sleep(0.1)
    await origins.record(StreamKey(SERVICE, 'acme', 'r'), 'v1', TIMEOUT_S)
    group.platform.serve('v2')
    for _ in range(75):
        await asyncio.sleep(1)
        assert directory.confirm(directory.digest, read_at)
    assert directory.age_s >= 75
    assert await group.default() == 'v2'
    stream = StreamKey(SERVICE, 'acme', 's')
    await origins.record(stream, 'v1', TIMEOUT_S)
    other = await group.entry('entry-2')
    assert await other.find(stream) == 'v1'


# Failure: a minute with one listed version counted as proof without a leader,
# although streams of the earlier version last longer (ORDER).
async def test_sole_version_outlasts_the_longest_stream(new_origins) -> None:
    """Fault: a version leaves, then the leader is lost."""
    group = await new_origins()
    group.longest_stream_s = 120.0
    group.platform.serve('v1', 'v2')
    first, second = await group.entry('entry-1'), await group.entry('entry-2')
    await asyncio.sleep(2)
    stream = await first.begin('r', 'v1')
    group.platform.serve('v2')
    await asyncio.sleep(70)
    for voter in list(group.running):
        await voter.crash()
    directory = TargetDirectory(LoopClock())
    directory.replace_list([make_target('t', service=SERVICE, version='v2')])
    with pytest.raises(RefusedError):
        await StreamVersions(second.origins, directory).bind_request(
            make_request(resumes=stream.request_id, last_event_id=1),
            make_route(kind=RouteKind.STREAM, can_resume=True, timeout_s=120.0),
            SERVICE,
            Account('acme', None),
            50.0,
        )


async def resume(host: EntryHost, stream: StreamKey) -> VersionBinding:
    """Resume a stream at a host whose list of targets has v1 only."""
    clock = LoopClock()
    directory = TargetDirectory(clock)
    directory.replace_list([make_target('t', service=SERVICE, version='v1')])
    return await StreamVersions(host.origins, directory, 1.0).bind_request(
        make_request(
            resumes=stream.request_id,
            last_event_id=1,
            received_at=clock.monotonic(),
        ),
        make_route(kind=RouteKind.STREAM, can_resume=True),
        SERVICE,
        Account('acme', None),
        15.0,
    )


# Reported by operators: during a release, a host that was cut off, or stood
# still, went on with streams of the new version at the one that it took for
# the only one (ORDER).
@pytest.mark.parametrize('sees_list', [False, True], ids=['no-list', 'list'])
async def test_outdated_sole_version_does_not_go_on_with_a_stream(
    new_origins, sees_list
) -> None:
    """Fault: a host misses that targets of a new version join."""
    group = await new_origins()
    first, second = await group.entry('entry-1'), await group.entry('entry-2')
    await asyncio.sleep(61)
    group.network.isolate('entry-2')
    second.sees_list = sees_list
    await asyncio.sleep(1)
    group.platform.serve('v1', 'v2')
    stream = await first.begin('r', 'v2')
    with pytest.raises(RefusedError) as caught:
        await resume(second, stream)
    assert caught.value.refusal.reason == REASON_ORIGIN_UNKNOWN


async def test_sole_version_of_a_later_list_goes_on_with_a_stream(
    new_origins,
) -> None:
    """Guards against refusals while a host without a leader reads lists."""
    group = await new_origins()
    first, second = await group.entry('entry-1'), await group.entry('entry-2')
    await asyncio.sleep(61)
    stream = await first.begin('r', 'v1')
    group.network.isolate('entry-2')
    binding = await resume(second, stream)
    assert binding.version == 'v1'
