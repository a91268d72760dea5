"""Streams of engines that run several software versions side by side."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Final, NamedTuple

import aiohttp
import pytest

from tests.common import failed_exits
from tests.soak.platform.clients import Clients
from tests.soak.platform.fleet import (
    API_KEY,
    FRONT_PORT,
    HOST_NAME,
    START_S,
    TENANT,
    PlatformFleet,
    platform_fleet,
    put_until_acknowledged,
)
from tests.soak.platform.standins.server import StandinServer
from tests.soak.platform.test_platform_soak import RECOVERY_S, until_served
from tests.soak.platform.world import SentRequest, event_count, versions_in

STREAMS: Final = 24
DEADLINE_S: Final = 20.0
# A stream of 12 events takes some seconds.
SLOWNESS: Final = 30.0
SLOW_STREAM: Final = 'f9'
# Time after which all streams have begun and none has ended.
BEGUN_S: Final = 1.2
# Time after which hosts have a changed list of targets.
LIST_S: Final = 2.5
# Time in which a stream that cannot go on is refused.
REFUSED_S: Final = 5.0
_TIMEOUT: Final = aiohttp.ClientTimeout(total=DEADLINE_S)


class Part(NamedTuple):
    """What one attempt brought of a stream; status 0 without an answer."""

    status: int
    body: bytes
    took_s: float


class StreamClient:
    """Reads streams, and goes on with broken ones as callers do."""

    def __init__(self, fleet: PlatformFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self.session = aiohttp.ClientSession(timeout=_TIMEOUT)

    def new_stream(self) -> str:
        """Return the id of the first attempt at a long stream."""
        return f'{SLOW_STREAM}{self._rng.getrandbits(56):014x}'

    async def read(self, stream: str, *, after: int = 0) -> Part:
        """Read a stream at any host, from its start or after an event."""
        request_id = stream
        headers = {
            'Host': HOST_NAME,
            'X-Api-Key': API_KEY,
            'X-Deadline-Ms': str(int(DEADLINE_S * 1000)),
            'X-Model': 'm',
            'X-Token-Count': '1460,80',
            'X-Prompt-Prefix': f'{stream[-4:]}:800,{stream}:250',
        }
        if after:
            request_id = f'{self._rng.getrandbits(64):016x}'
            headers['Last-Event-Id'] = str(after)
            headers['Resumes'] = stream
        headers['X-Request-Id'] = request_id
        path = f'/ask/{stream}'
        self._fleet.world.sent_by_id[request_id] = SentRequest(
            'POST', path, b'x', TENANT, may_repeat=True, resumes=stream
        )
        entry = self._rng.choice(self._fleet.entries)
        url = f'http://{self._fleet.ip(entry)}:{FRONT_PORT}{path}'
        began = asyncio.get_running_loop().time()
        body = bytearray()
        status = 0
        try:
            async with self.session.post(
                url, headers=headers, data=b'x'
            ) as reply:
                status = reply.status
                async for chunk in reply.content.iter_any():
                    body += chunk
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        took_s = asyncio.get_running_loop().time() - began
        events = bytes(body) if status == 200 else b''
        return Part(status, events[: events.rfind(b'\n\n') + 2], took_s)


class Began(NamedTuple):
    """A broken stream: its id and the events that have come."""

    stream: str
    body: bytes

    @property
    def version(self) -> str:
        """Return the version that wrote the events so far."""
        return versions_in(self.stream, self.body)[0]


async def replace_engines(
    fleet: PlatformFleet, count: int, version: str
) -> list[StandinServer]:
    """Add engines of a version, and return those that were there before."""
    old = [server for server in fleet.servers if server.service == 'llm']
    for _ in range(count):
        server = await fleet.add_server('llm')
        server.version = version
    for server in fleet.servers:
        if server.service == 'llm':
            server.faults.slowness = SLOWNESS
    await asyncio.sleep(LIST_S)
    return old


async def begin_streams(
    fleet: PlatformFleet, client: StreamClient
) -> list[Began]:
    """Begin streams, and lose the power of all hosts while they run."""
    streams = [client.new_stream() for _ in range(STREAMS)]
    reading = [asyncio.create_task(client.read(stream)) for stream in streams]
    await asyncio.sleep(BEGUN_S)
    await asyncio.gather(
        *(
            asyncio.to_thread(fleet.group.kill, name)
            for name in (*fleet.entries, *fleet.controls)
        )
    )
    parts = await asyncio.gather(*reading)
    return [
        Began(stream, part.body)
        for stream, part in zip(streams, parts, strict=True)
        if part.body
    ]


async def restart(fleet: PlatformFleet) -> None:
    """Start all processes again and wait until they serve."""
    for server in fleet.servers:
        server.faults.slowness = 1
    for entry in fleet.entries:
        fleet.start(entry)
    await asyncio.gather(
        *(fleet.start_control(control) for control in fleet.controls)
    )
    await until_served(fleet, Clients(fleet, 1), RECOVERY_S)


# Failure: a stream that its server broke off went on at a server of another
# software version, inside one answer (ORDER).
@pytest.mark.parametrize('seed', [1])
async def test_broken_stream_goes_on_at_its_version(
    tmp_path: Path, seed: int
) -> None:
    """Fault: engines of two versions break off half of their streams."""
    rng = random.Random(seed)
    async with platform_fleet(tmp_path, rng) as fleet:
        client = StreamClient(fleet, rng)
        await put_until_acknowledged(fleet, client.session, 1, START_S)
        await until_served(fleet, Clients(fleet, seed), START_S)
        await replace_engines(fleet, 3, 'v2')
        for server in fleet.servers:
            if server.service == 'llm':
                server.faults.slowness = 1
                server.faults.lose = 0.5
        streams = [client.new_stream() for _ in range(STREAMS)]
        parts = await asyncio.gather(*(client.read(each) for each in streams))
        await client.session.close()
    versions = [
        versions_in(stream, part.body)
        for stream, part in zip(streams, parts, strict=True)
    ]
    joined = [each for each in versions if len(set(each)) > 1]
    assert not joined
    ended = [
        stream
        for stream, each in zip(streams, versions, strict=True)
        if len(each) == event_count(stream)
    ]
    assert len(ended) * 2 >= STREAMS
    assert {each[0] for each in versions if each} == {'v1', 'v2'}


# Failure: all hosts lost power, and streams that their callers took up again
# went on at servers of another software version (ORDER).
@pytest.mark.parametrize('are_old_gone', [False, True])
async def test_resumed_streams_keep_their_version_after_loss_of_power(
    tmp_path: Path, *, are_old_gone: bool
) -> None:
    """Fault: all processes end while engines of two versions serve."""
    rng = random.Random(1)
    async with platform_fleet(tmp_path, rng) as fleet:
        client = StreamClient(fleet, rng)
        await put_until_acknowledged(fleet, client.session, 1, START_S)
        await until_served(fleet, Clients(fleet, 1), START_S)
        old = await replace_engines(fleet, 3, 'v2')
        began = await begin_streams(fleet, client)
        if are_old_gone:
            for server in old:
                fleet.servers.remove(server)
                await server.crash()
        await restart(fleet)
        parts = await asyncio.gather(
            *(
                client.read(
                    each.stream,
                    after=len(versions_in(each.stream, each.body)),
                )
                for each in began
            )
        )
        await client.session.close()
        codes = await asyncio.to_thread(
            fleet.group.stop, [*fleet.entries, *fleet.controls]
        )
    assert {each.version for each in began} == {'v1', 'v2'}
    gone = {'v1'} if are_old_gone else set()
    joined = []
    went_on = []
    for each, part in zip(began, parts, strict=True):
        versions = versions_in(each.stream, each.body + part.body)
        if len(set(versions)) > 1:
            joined.append((each.stream, versions))
        if each.version in gone:
            assert part.status != 200 or joined, each.stream
            assert part.took_s < REFUSED_S
        else:
            went_on.append(len(versions) == event_count(each.stream))
    assert not joined
    assert sum(went_on) * 2 >= len(went_on)
    violations = fleet.world.violations + failed_exits(fleet.group, codes)
    assert not violations, '\n'.join(violations)
