"""Streams of targets that run several software versions side by side."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Final

import pytest

from hornbeamline.gateway import RouteKind, Target
from hornbeamline.gateway._targets import LINGER_S
from hornbeamline.gateway.errors import AnswerBrokenError, MayHaveRunError
from hornbeamline.origins import StreamKey
from tests.gateway.builders import (
    KnownOrigins,
    make_route,
    make_table,
    make_target,
)
from tests.gateway.test_start import StartingApp

EVENTS: Final = 6
# Events after which a target breaks off its stream.
BROKEN_AFTER: Final = 2


class VersionedResponse:
    """Stream whose events name the version that wrote them."""

    status = 200

    def __init__(self, headers: dict[str, str], target: Target) -> None:
        self.headers = [
            (b'X-Request-Id', headers['x-request-id'].encode()),
            (b'X-Server-Stamp', target.id.encode()),
        ]
        self.first = int(headers.get('Last-Event-Id', '-1')) + 1
        self.version = target.version
        self.is_broken = False
        self.is_lost = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the events that are left."""
        if self.is_lost:
            raise MayHaveRunError('connection was lost')
        for number in range(self.first, EVENTS):
            if self.is_broken and number == BROKEN_AFTER:
                raise MayHaveRunError('connection was lost')
            yield b'id: %d\ndata: %s\n\n' % (number, self.version.encode())


class VersionedTargets:
    """HTTP client of targets in memory."""

    def __init__(self, *versions: str) -> None:
        self.targets = [
            make_target(
                f't{number}', address=f'10.0.0.{number}:1', version=each
            )
            for number, each in enumerate(versions)
        ]
        # Ids of the targets that break off, and of those without any event.
        self.broken: set[str] = set()
        self.lost: set[str] = set()
        self.used: list[Target] = []
        self.on_use: Callable[[], None] | None = None

    @contextlib.asynccontextmanager
    async def send(
        self,
        address: str,
        _method: str,
        _raw_target: str,
        headers: list[tuple[str, str]],
        _body: bytes | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> AsyncIterator[VersionedResponse]:
        """Answer with the stream of a target."""
        fields = dict(headers)
        by_address = {target.address: target for target in self.targets}
        target = by_address[address]
        self.used.append(target)
        if on_sent is not None:
            on_sent()
        if self.on_use is not None:
            self.on_use()
        response = VersionedResponse(fields, target)
        response.is_broken = target.id in self.broken
        response.is_lost = target.id in self.lost
        yield response

    async def is_listening(self, _address: str) -> bool:
        """Return that all targets listen."""
        return True


class VersionedHost(StartingApp):
    """Entry host that serves a route of streams."""

    def __init__(
        self, http: VersionedTargets, origins: KnownOrigins | None = None
    ) -> None:
        super().__init__(http)
        self.origins = origins or KnownOrigins()
        self.app._versions._records = self.origins
        self.app._budget.note_hosts(1)
        self.targets.replace_list(http.targets)
        route = make_route(
            kind=RouteKind.STREAM, can_resume=True, max_attempts=4
        )
        self.app.update_table(make_table(route))

    async def stream(
        self, request_id: str = 'r1', **headers: str
    ) -> tuple[int, list[str], bool]:
        """Return status, the versions of the events, and whether it ended."""
        sent = [
            (b'host', b'host.example'),
            (b'x-request-id', request_id.encode()),
            (b'x-deadline-ms', b'10000'),
            *(
                (name.replace('_', '-').encode(), text.encode())
                for name, text in headers.items()
            ),
        ]
        with contextlib.suppress(AnswerBrokenError):
            await self.request(headers=sent)
        caller = self.last_caller
        return caller.status, _versions(caller.body), caller.is_complete


def _versions(body: bytes) -> list[str]:
    events = [event for event in body.split(b'\n\n') if b'data: ' in event]
    return [event.rpartition(b'data: ')[2].decode() for event in events]


# Failure: a stream that its target broke off went on at a target of another
# version, inside one answer.
@pytest.mark.parametrize('versions', [('v1', 'v2', 'v1', 'v2'), tuple('abcde')])
async def test_broken_stream_goes_on_at_one_version(versions) -> None:
    """Fault: a target breaks off a stream while others of each kind serve."""
    http = VersionedTargets(*versions, *versions)
    host = VersionedHost(http)
    http.on_use = lambda: http.broken.add(http.used[0].id)
    status, written, is_complete = await host.stream()
    assert (status, is_complete) == (200, True)
    assert len(http.used) > 1
    assert len(set(written)) == 1
    assert len(written) == EVENTS


# Failure: the rest of a stream came from another version, since the one that
# had begun it was gone.
async def test_broken_stream_ends_at_once_without_its_version() -> None:
    """Fault: the only target of a version breaks off a stream."""
    http = VersionedTargets('v1', 'v2')
    host = VersionedHost(http)
    http.on_use = lambda: http.broken.add(http.used[0].id)
    status, written, is_complete = await host.stream()
    assert (status, is_complete) == (200, False)
    assert len(written) == BROKEN_AFTER
    assert len(http.used) == 1


# Failure: the version of the first pick counted, not that of the target that
# wrote the first event.
async def test_stream_is_bound_to_the_writer_of_its_first_event() -> None:
    """Fault: the first target loses its answer before the first event."""
    http = VersionedTargets('v1', 'v2')
    host = VersionedHost(http)
    http.on_use = lambda: http.lost.add(http.used[0].id)
    status, written, is_complete = await host.stream()
    assert (status, is_complete) == (200, True)
    assert set(written) == {http.used[1].version}
    key = StreamKey('service', '', 'r1')
    assert host.origins.version_by_stream[key] == http.used[1].version


# Failure: the first event of a stream got out although no other host could
# have known its version.
async def test_no_event_is_sent_before_its_origin_is_recorded() -> None:
    """Fault: no leader stores records."""
    http = VersionedTargets('v1', 'v2')
    host = VersionedHost(http)
    host.origins.is_lost = True
    status, written, _ = await host.stream()
    assert status == 502
    assert not written


# Failure: streams that callers took up at another host went on at another
# version, also if that attempt was broken off again.
async def test_resumed_stream_goes_on_at_its_version_at_any_host() -> None:
    """Fault: the host that began a stream is lost, and so is the next."""
    versions = ('v1', 'v1', 'v2', 'v2')
    http = VersionedTargets(*versions)
    first = VersionedHost(http)
    http.broken.update(target.id for target in http.targets)
    _, begun, _ = await first.stream('r1')
    for order in (versions, versions[::-1]):
        host = VersionedHost(VersionedTargets(*order), first.origins)
        request_id = f'r2-{order[0]}'
        status, written, is_complete = await host.stream(
            request_id, resumes='r1', last_event_id='1'
        )
        assert (status, is_complete) == (200, True)
        assert written == [begun[0]] * (EVENTS - BROKEN_AFTER)


# Failure: streams whose version was gone went on at the one that was left.
async def test_resumption_is_refused_at_once_if_its_version_is_gone() -> None:
    """Fault: all targets of a version are replaced while its streams run."""
    http = VersionedTargets('v2', 'v3')
    host = VersionedHost(http)
    host.origins.default = 'v1'
    status, _, _ = await host.stream('r2', resumes='r1', last_event_id='1')
    assert status == 503
    assert b'version_gone' in host.last_caller.body
    assert not http.used


async def test_resumption_is_refused_while_its_origin_is_not_known() -> None:
    """Fault: no leader tells the version of a stream."""
    http = VersionedTargets('v1', 'v2')
    host = VersionedHost(http)
    host.origins.is_lost = True
    status, _, _ = await host.stream('r2', resumes='r1', last_event_id='1')
    assert status == 503
    assert b'origin_unknown' in host.last_caller.body
    assert not http.used


# Failure: a caller that named the id of another caller's stream, or of none,
# changed where a stream went on.
@pytest.mark.parametrize('resumes', ['', 'r2', 'other', 'r1,r1', '\xe9' * 900])
async def test_odd_names_of_streams_lead_to_the_default(resumes) -> None:
    """Bad input: names of nothing, of the attempt itself, and long ones."""
    http = VersionedTargets('v1', 'v2')
    host = VersionedHost(http)
    host.origins.default = 'v2'
    host.origins.version_by_stream[StreamKey('service', 'a', 'other')] = 'v1'
    status, written, _ = await host.stream(
        'r2', resumes=resumes, last_event_id='1'
    )
    assert status == 200
    assert set(written) == {'v2'}


@pytest.mark.parametrize(('sole', 'status'), [('v1', 200), (None, 503)])
async def test_resumption_without_a_name_needs_a_sole_version(
    sole, status
) -> None:
    """Bad input: a caller goes on after an event and names no attempt."""
    host = VersionedHost(VersionedTargets('v1', 'v1'))
    host.origins.default = 'v1'
    host.origins.sole = sole
    answered, _, _ = await host.stream('r2', last_event_id='1')
    assert answered == status


# Failure: streams ended while targets of their version still served.
async def test_draining_targets_take_streams_of_their_version() -> None:
    """Load: all targets of a version drain while its streams are broken."""
    http = VersionedTargets('v1', 'v2')
    host = VersionedHost(http)
    host.origins.default = 'v1'
    draining = [http.targets[0]._replace(is_leaving=True), http.targets[1]]
    now = host.targets.now()
    host.targets.now = lambda: now  # type: ignore[method-assign]
    host.targets.replace_list(draining)
    status, written, _ = await host.stream(
        'r2', resumes='r1', last_event_id='1'
    )
    assert (status, set(written)) == (200, {'v1'})
    status, written, _ = await host.stream('r3')
    assert (status, set(written)) == (200, {'v2'})
    now += LINGER_S + 0.1
    status, _, _ = await host.stream('r4', resumes='r1', last_event_id='1')
    assert status == 503
