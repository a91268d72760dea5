"""Resumptions of streams in less common situations."""

from __future__ import annotations

import asyncio
from typing import Final

import pytest

from hornbeamline.gateway import RefusedError, RouteKind, VersionBinding
from hornbeamline.gateway.const import REASON_VERSION_GONE
from hornbeamline.origins import StreamKey
from tests.gateway.builders import (
    KnownOrigins,
    make_request,
    make_route,
    make_table,
    make_target,
)
from tests.gateway.test_stream_versions import (
    BROKEN_AFTER,
    EVENTS,
    VersionedHost,
    VersionedTargets,
)

ATTEMPTS: Final = 20


class SplitOrigins(KnownOrigins):
    """Records of two services with different defaults."""

    async def find(self, stream: StreamKey, _timeout_s: float) -> str | None:
        """Return the version that began a stream."""
        default = {'service': 'v1', 'other': 'w1'}[stream.service]
        return self.version_by_stream.get(stream, default)


def make_split_host(http: VersionedTargets) -> VersionedHost:
    """Return a host whose route is split among two services."""
    host = VersionedHost(http, SplitOrigins())
    route = make_route(
        kind=RouteKind.STREAM,
        can_resume=True,
        max_attempts=4,
        weight_by_service={'service': 1, 'other': 1},
    )
    host.app.update_table(make_table(route))
    return host


# Failure: a resumption chose one of the services of its route anew: it was
# refused although its version served (LOST), or joined to another service.
async def test_resumed_stream_goes_on_at_its_service() -> None:
    """Load: a route with two services; one of them has been released."""
    http = VersionedTargets('v1', 'v1', 'w2', 'w2')
    http.targets[2:] = [
        target._replace(service='other') for target in http.targets[2:]
    ]
    host = make_split_host(http)
    http.on_use = lambda: http.broken.update(t.id for t in http.targets)
    begun: list[tuple[str, str]] = []
    for number in range(ATTEMPTS):
        _, written, _ = await host.stream(f'r{number}')
        begun.append((f'r{number}', written[0]))
    http.on_use = None
    http.broken.clear()
    astray = []
    for request_id, version in begun:
        status, written, _ = await host.stream(
            f'{request_id}-2',
            resumes=request_id,
            last_event_id=str(BROKEN_AFTER - 1),
        )
        if written != [version] * (EVENTS - BROKEN_AFTER):
            astray.append((request_id, status, version, written))
    assert not astray


# Failure: an attempt that names a stream but no event brought the first event,
# and its own origin was not recorded (ORDER).
@pytest.mark.parametrize('last_event', [{}, {'last_event_id': 'none'}])
async def test_origin_of_an_attempt_without_an_event_is_recorded(
    last_event,
) -> None:
    """Bad input: `Resumes` without a usable `Last-Event-Id`."""
    http = VersionedTargets('v1', 'v2')
    host = VersionedHost(http)
    host.origins.default = 'v1'
    first = StreamKey('service', '', 'r1')
    host.origins.version_by_stream[first] = 'v2'
    http.on_use = lambda: http.broken.update(t.id for t in http.targets)
    _, begun, _ = await host.stream('r2', resumes='r1', **last_event)
    http.on_use = None
    http.broken.clear()
    assert len(begun) == BROKEN_AFTER
    _, written, _ = await host.stream(
        'r3', resumes='r2', last_event_id=str(BROKEN_AFTER - 1)
    )
    assert len({*begun, *written}) == 1


# Failure: a resumption that names no attempt went on at the only version that
# was left, right after the one that began the stream had gone (ORDER).
async def test_unnamed_resumption_after_a_version_has_gone() -> None:
    """Fault: all targets of a version leave while its streams are broken."""
    http = VersionedTargets('v1', 'v2')
    host = VersionedHost(http)
    host.origins.default = 'v1'
    host.targets.replace_list(http.targets[1:])
    http.on_use = lambda: http.broken.update(t.id for t in http.targets)
    _, begun, _ = await host.stream('r1')
    http.on_use = None
    http.broken.clear()
    host.targets.replace_list(http.targets[:1])
    _, written, _ = await host.stream('r2', last_event_id=str(BROKEN_AFTER - 1))
    assert len({*begun, *written}) == 1


# Failure: a resumption was told that its version is gone, without a time to
# retry, while all targets of that version only paused (LOST).
async def test_resumption_at_paused_targets_may_be_retried() -> None:
    """Load: the targets of one of two versions ask for a pause."""
    http = VersionedTargets('v1', 'v2')
    host = VersionedHost(http)
    host.origins.default = 'v1'
    host.targets.availability.note_pause('t0', 0.5)
    request = make_request(resumes='r1', last_event_id=1)
    route = make_route(kind=RouteKind.STREAM, can_resume=True)
    with pytest.raises(RefusedError) as refused:
        await host.app._versions.bind_request(
            request, route, 'service', None, 10
        )
    refusal = refused.value.refusal
    assert refusal.reason != REASON_VERSION_GONE
    assert refusal.retry_after_s is not None
    assert 0 < refusal.retry_after_s <= 0.5


# Failure: a target that restarted under its id with another version began a
# stream as the version in the old list, and another target of that went on.
async def test_writer_has_another_version_in_the_next_list() -> None:
    """Fault: the list of targets lags behind a restart."""
    http = VersionedTargets('v2', 'v1')
    host = VersionedHost(http)
    host.targets.replace_list([http.targets[0]._replace(version='v1')])

    def break_and_list() -> None:
        http.broken.add('t0')
        host.targets.replace_list(http.targets)

    http.on_use = break_and_list
    _, written, _ = await host.stream('r1')
    assert written[0] == 'v2'
    assert len(set(written)) == 1


class EndlessOrigins(KnownOrigins):
    """Records that no leader answers."""

    async def record(
        self, _stream: StreamKey, _version: str, _timeout_s: float
    ) -> None:
        """Wait until the caller gives up."""
        await asyncio.Event().wait()


# Failure: a caller that left while an earlier record was being stopped was
# not noticed, and its attempt went on.
async def test_cancellation_while_a_record_is_stopped() -> None:
    """Fault: the caller disconnects between two attempts."""
    stream = StreamKey('service', '', 'r1')
    async with VersionBinding(EndlessOrigins(), stream) as binding:
        await binding.attempt_started(make_target('t1', version='v1'))
        await asyncio.sleep(0)
        attempt = asyncio.ensure_future(
            binding.attempt_started(make_target('t2', version='v2'))
        )
        await asyncio.sleep(0)
        assert not attempt.done()
        attempt.cancel()
        await asyncio.wait({attempt})
        assert attempt.cancelled()
