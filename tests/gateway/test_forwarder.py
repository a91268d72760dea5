"""Retries, error responses and relayed responses of the forwarder."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

import pytest

from hornbeamline.gateway import (
    Forwarder,
    RefusedError,
    RetryBudget,
    RouteKind,
    TargetDirectory,
    TargetGate,
    TargetPicker,
    VersionBinding,
)
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._reply import Reply
from hornbeamline.gateway.errors import (
    AnswerBrokenError,
    InputsGoneError,
    MayHaveRunError,
    TargetGoneError,
)
from hornbeamline.helpers.budget import BudgetSettings
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.platform._wire import PlatformWire
from tests.gateway.builders import (
    make_gate,
    make_request,
    make_route,
    make_target,
    open_guard,
)

SIGNED = [(b'X-Request-Id', b'r1'), (b'X-Server-Stamp', b's')]
NOT_RUN = [*SIGNED, (b'X-Not-Executed', b'1')]


class Script(NamedTuple):
    """Scripted response of a target; an error in `parts` aborts it there."""

    status: int = 200
    headers: list[tuple[bytes, bytes]] = SIGNED
    parts: tuple[Any, ...] = (b'body',)
    send_error: Exception | None = None
    # Called while the connection is being opened.
    on_connect: Callable[[], None] | None = None


class FakeResponse:
    """Response of a target according to a script."""

    def __init__(self, script: Script) -> None:
        self.status = script.status
        self.headers = script.headers
        self._parts = script.parts

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts."""
        for part in self._parts:
            if isinstance(part, Exception):
                raise part
            yield part

    async def body(self) -> bytes:
        """Return all parts."""
        return b''.join([part async for part in self.chunks()])


class FakeHttp:
    """Client that applies one script per attempt, in order."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts)
        self.sent: list[dict[str, str]] = []

    @contextlib.asynccontextmanager
    async def send(
        self,
        address: str,
        method: str,
        raw_target: str,
        headers: list[tuple[str, str]],
        body: bytes | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> AsyncIterator[FakeResponse]:
        """Respond according to the next script."""
        self.sent.append(dict(headers))
        script = self.scripts.pop(0)
        if script.send_error is not None:
            raise script.send_error
        if script.on_connect is not None:
            script.on_connect()
        if on_sent is not None:
            on_sent()
        yield FakeResponse(script)


class Caller:
    """ASGI peer that records the response to a caller."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b''
        self.is_complete = False

    async def send(self, message: Any) -> None:
        """Record an ASGI message."""
        if message['type'] == 'http.response.start':
            self.status = message['status']
            return
        self.body += message.get('body', b'')
        self.is_complete = not message.get('more_body', False)


def make_targets(count: int = 4) -> TargetDirectory:
    """Return a directory with targets of one service."""
    targets = TargetDirectory(SystemClock())
    targets.replace_list([make_target(f't{number}') for number in range(count)])
    return targets


async def forward(
    http: FakeHttp,
    targets: TargetDirectory | None = None,
    gate: TargetGate | None = None,
    picker: TargetPicker | None = None,
    **route: Any,
) -> Caller:
    """Forward a request and return its caller with the response."""
    clock = SystemClock()
    targets = make_targets() if targets is None else targets
    budget = RetryBudget(BudgetSettings(0.2, 10, 64), clock)
    budget.note_hosts(1)
    forwarder = Forwarder(
        http,
        PlatformWire(),
        picker or TargetPicker('dc-1', clock, random.Random(1)),
        targets,
        make_gate(targets) if gate is None else gate,
        budget,
        clock,
    )
    now = clock.monotonic()
    job = Job(
        make_request(received_at=now, headers=(('x-request-id', 'r1'),)),
        b'',
        make_route(**route),
        'service',
        None,
        0,
        now + 5,
        [],
        {},
        lambda: None,
        open_guard(),
        VersionBinding(),
    )
    caller = Caller()
    reply = Reply(caller.send, clock, closes=lambda: False)
    await forwarder.forward(job, reply)
    return caller


UNSAFE = {'kind': RouteKind.NON_IDEMPOTENT, 'max_attempts': 3}
SAFE = {'kind': RouteKind.IDEMPOTENT, 'max_attempts': 3}
STREAM = {'kind': RouteKind.STREAM, 'max_attempts': 3}
RESUMABLE = {**STREAM, 'can_resume': True}


def events(*numbers: int) -> bytes:
    """Return events of a stream."""
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


async def test_non_idempotent_request_is_not_retried_after_a_lost_answer() -> (
    None
):
    """Guards against running a request twice; it may have run, so 502."""
    http = FakeHttp(Script(send_error=MayHaveRunError('reset')), Script())
    with pytest.raises(RefusedError) as caught:
        await forward(http, **UNSAFE)
    assert caught.value.refusal.status == 502
    assert len(http.sent) == 1


@pytest.mark.parametrize(
    'first',
    [
        Script(send_error=TargetGoneError('refused')),
        Script(503, NOT_RUN),
        Script(421, []),
    ],
)
async def test_request_that_did_not_run_is_retried_elsewhere(first) -> None:
    """An attempt that did not run may be retried at another target."""
    http = FakeHttp(first, Script())
    caller = await forward(http, **UNSAFE)
    assert (caller.status, caller.body) == (200, b'body')
    assert len({sent['X-Expect-Instance'] for sent in http.sent}) == 2


async def test_refusals_by_all_targets_are_reported_as_not_run() -> None:
    """The caller gets 503 with a retry delay."""
    http = FakeHttp(*[Script(503, NOT_RUN)] * 3)
    with pytest.raises(RefusedError) as caught:
        await forward(http, **UNSAFE)
    assert caught.value.refusal.status == 503
    assert caught.value.refusal.retry_after_s is not None


async def test_idempotent_request_is_retried_after_a_failure() -> None:
    """An idempotent request is retried at a second target."""
    http = FakeHttp(Script(500), Script())
    assert (await forward(http, **SAFE)).status == 200


async def test_failure_of_the_last_target_is_passed_on_unchanged() -> None:
    """A signed error response comes from the target itself."""
    http = FakeHttp(Script(500, SIGNED, (b'no',)), Script(502), Script(500))
    caller = await forward(http, **SAFE)
    assert caller.status in {500, 502}
    assert caller.is_complete


@pytest.mark.parametrize(
    'headers',
    [
        [(b'X-Request-Id', b'other'), (b'X-Server-Stamp', b's')],
        [(b'X-Request-Id', b'r1')],
        [*SIGNED, (b'Content-Encoding', b'gzip')],
    ],
)
async def test_answer_of_another_request_is_not_relayed(headers) -> None:
    """Late, unsigned and encoded responses are discarded."""
    http = FakeHttp(Script(200, headers), Script())
    with pytest.raises(RefusedError) as caught:
        await forward(http, **UNSAFE)
    assert caught.value.refusal.status == 502


# Reported by operators: a target wrote an earlier refusal once more; the
# request, which it ran, was run again elsewhere or refused as not run.
@pytest.mark.parametrize('status', [503, 429, 421, 409, 400])
@pytest.mark.parametrize('route', ['unsafe', 'stream'])
async def test_refusal_of_another_request_proves_nothing(status, route) -> None:
    """Guards against 'not run' for a request that a target runs."""
    headers = [
        (b'X-Request-Id', b'earlier'),
        (b'X-Server-Stamp', b's'),
        (b'X-Not-Executed', b'1'),
        (b'Retry-After', b'5'),
    ]
    targets = make_targets(2)
    http = FakeHttp(Script(status, headers), Script())
    with pytest.raises(RefusedError) as caught:
        await forward(
            http, targets, **(UNSAFE if route == 'unsafe' else STREAM)
        )
    assert caught.value.refusal.status == 502
    assert len(http.sent) == 1
    assert len(targets.available_targets('service')) == 2


async def test_truncated_answer_is_not_relayed() -> None:
    """A truncated response must not look complete."""
    http = FakeHttp(Script(parts=(b'bo', MayHaveRunError('cut'))))
    with pytest.raises(RefusedError):
        await forward(http, **UNSAFE)


async def test_broken_stream_without_resumption_is_aborted() -> None:
    """Only complete events are relayed, and the stream is aborted."""
    parts = (events(1, 2), b'id: 3\nda', MayHaveRunError('cut'))
    with pytest.raises(AnswerBrokenError):
        await forward(FakeHttp(Script(parts=parts)), **STREAM)


async def test_stream_that_ends_inside_an_event_is_not_complete() -> None:
    """Guards against a stream whose last event is missing."""
    with pytest.raises(AnswerBrokenError):
        await forward(
            FakeHttp(Script(parts=(events(1), b'id: 2\nda'))),
            **STREAM,
        )


# A response without a length or chunks ends with its connection; an engine that
# ended after the head left a stream that looked complete.
async def test_stream_that_ends_without_an_event_is_not_complete() -> None:
    """Guards against passing on an empty stream as a whole answer."""
    http = FakeHttp(Script(parts=()), Script(parts=(events(0, 1),)))
    caller = await forward(http, **RESUMABLE)
    assert caller.body == events(0, 1)
    assert caller.is_complete


async def test_stream_resumes_at_another_target() -> None:
    """No event is lost or duplicated."""
    http = FakeHttp(
        Script(parts=(events(1, 2), MayHaveRunError('cut'))),
        Script(parts=(events(2, 3, 4),)),
    )
    caller = await forward(http, **RESUMABLE)
    assert caller.body == events(1, 2, 3, 4)
    assert caller.is_complete
    assert http.sent[1]['Last-Event-Id'] == '2'


async def test_gap_after_resumption_is_not_passed_on() -> None:
    """A target that resumes too late would skip an event."""
    http = FakeHttp(
        Script(parts=(events(1), MayHaveRunError('cut'))),
        Script(parts=(events(3),)),
        Script(parts=(events(2, 3),)),
    )
    assert (await forward(http, **RESUMABLE)).body == events(1, 2, 3)


async def test_missing_inputs_run_the_stages_again() -> None:
    """The target declares that it did not run the request."""
    with pytest.raises(InputsGoneError):
        await forward(FakeHttp(Script(409, NOT_RUN)), **UNSAFE)


async def test_missing_inputs_after_a_lost_answer_are_answered_502() -> None:
    """The first attempt may have run, so 503 would be wrong."""
    http = FakeHttp(
        Script(send_error=MayHaveRunError('reset')),
        Script(409, NOT_RUN),
    )
    with pytest.raises(RefusedError) as caught:
        await forward(http, **RESUMABLE)
    assert caught.value.refusal.status == 502


LEAVING = [*SIGNED, (b'Server-Leaving', b'1')]
PAUSE = [*NOT_RUN, (b'Retry-After', b'3.5')]


@pytest.mark.parametrize(
    ('first', 'route'),
    [(Script(200, LEAVING), SAFE), (Script(503, PAUSE), UNSAFE)],
)
async def test_draining_or_paused_target_gets_no_requests(first, route) -> None:
    """A target signals that it drains, or refuses and asks for a pause."""
    targets = make_targets(2)
    http = FakeHttp(first, *[Script()] * 21)
    for _ in range(20):
        await forward(http, targets, **route)
    signalling_target = http.sent[0]['X-Expect-Instance']
    later = {sent['X-Expect-Instance'] for sent in http.sent[1:]}
    assert signalling_target not in later


async def test_pause_of_all_targets_is_reported_to_the_caller() -> None:
    """Requests are refused immediately, with the remaining pause."""
    targets = make_targets(1)
    http = FakeHttp(Script(503, PAUSE))
    for _ in range(2):
        with pytest.raises(RefusedError) as caught:
            await forward(http, targets, **UNSAFE)
        assert 3 < caught.value.refusal.retry_after_s <= 3.5
    assert len(http.sent) == 1


async def test_drain_signal_during_the_connect_stops_the_request() -> None:
    """A target signals that it drains while the connection is opened."""
    targets = make_targets(2)

    def signal_drain() -> None:
        chosen = http.sent[0]['X-Expect-Instance']
        targets.availability.note_leaving(chosen)

    http = FakeHttp(Script(on_connect=signal_drain), Script())
    caller = await forward(http, targets, **UNSAFE)
    assert caller.is_complete
    assert len({sent['X-Expect-Instance'] for sent in http.sent}) == 2


LIMITED = [*SIGNED, (b'Server-Limit', b'1')]


# Failure: an overloaded server that announced a limit got as many requests as
# before (LIMIT at emst-frontera).
async def test_limited_target_leaves_requests_to_others() -> None:
    """One target allows one request per second; the other gets the rest."""
    targets = make_targets(2)
    http = FakeHttp(Script(200, LIMITED), *[Script()] * 20)
    for _ in range(21):
        assert (await forward(http, targets, **SAFE)).status == 200
    signalling_target = http.sent[0]['X-Expect-Instance']
    later = [sent['X-Expect-Instance'] for sent in http.sent[1:]]
    assert later.count(signalling_target) == 0


async def test_request_waits_for_a_permit_or_is_refused_at_once() -> None:
    """Load: the limit of the only target is far below the request rate."""
    targets = make_targets(1)
    gate = make_gate(targets)
    http = FakeHttp(*[Script(200, LIMITED)] * 9)
    await forward(http, targets, gate, **UNSAFE)
    results = await asyncio.gather(
        *(forward(http, targets, gate, **UNSAFE) for _ in range(8)),
        return_exceptions=True,
    )
    refused = [
        result.refusal for result in results if isinstance(result, RefusedError)
    ]
    assert 1 <= len(results) - len(refused) == len(http.sent) - 1
    for refusal in refused:
        assert (refusal.status, refusal.reason) == (503, 'targets_limited')
        assert 0 < refusal.retry_after_s < 5


async def test_signals_of_another_target_at_the_address_are_ignored() -> None:
    """Fault: the address belongs to another target, which is draining."""
    targets = make_targets(1)
    signals = [*LIMITED, (b'Server-Leaving', b'1')]
    with pytest.raises(RefusedError):
        await forward(FakeHttp(Script(421, signals)), targets, **UNSAFE)
    assert not targets.limits.is_limited('t0')
    assert not targets.availability.leaving()


async def test_permit_ends_while_a_connection_is_opened() -> None:
    """Fault: after a slow connect, a request would arrive with later ones.

    Together they would exceed the limit.
    """
    targets = make_targets(2)

    def announce_limit() -> None:
        targets.limits.record_stated_limit(
            http.sent[0]['X-Expect-Instance'], 1.0
        )

    http = FakeHttp(Script(on_connect=announce_limit), Script())
    caller = await forward(http, targets, **UNSAFE)
    assert caller.is_complete
    assert len({sent['X-Expect-Instance'] for sent in http.sent}) == 2


# Failure: endless bytes in place of events ended the request with an internal
# error of the gateway, without another attempt and without a response.
@pytest.mark.parametrize('junk', [b'x', b'data: x\n'])
async def test_stream_of_endless_bytes_is_resumed_elsewhere(junk) -> None:
    """Fault: a target sends endless bytes that contain no events."""
    part = junk * 65_536
    http = FakeHttp(
        Script(parts=(events(1), *[part] * 64)),
        Script(parts=(events(2, 3),)),
    )
    caller = await forward(http, **RESUMABLE)
    assert caller.body == events(1, 2, 3)


async def test_stream_of_endless_bytes_without_resumption_is_refused() -> None:
    """Fault: as above, for a request that must not run twice."""
    http = FakeHttp(Script(parts=[b'x' * 65_536] * 64))
    with pytest.raises(RefusedError) as caught:
        await forward(http, **STREAM)
    assert caught.value.refusal.status == 502


REPORTING = [*SIGNED, (b'X-Server-Load', b'1,0,6,100')]


def reporting(*parts: Any, status: int = 200) -> Script:
    """Return a response after 2 ms, with a load of four figures."""
    return Script(
        status, REPORTING, parts, on_connect=lambda: time.sleep(0.002)
    )


@pytest.mark.parametrize(
    ('scripts', 'learned'),
    [
        ((reporting(events(1), events(2)),), 1),
        ((Script(503, NOT_RUN), reporting(events(1))), 1),
        (
            (
                reporting(events(1), MayHaveRunError('cut')),
                reporting(events(2)),
            ),
            0,
        ),
        ((reporting(b'missing', status=404),), 0),
    ],
)
async def test_work_of_ended_attempts_is_not_left(scripts, learned) -> None:
    """Guards against work left, or learned, of failed and resumed attempts."""
    picker = TargetPicker('dc-1', SystemClock(), random.Random(1))
    picker.beliefs.note_report('service', 't0', 1)
    with contextlib.suppress(AnswerBrokenError):
        await forward(FakeHttp(*scripts), picker=picker, **RESUMABLE)
    assert picker.beliefs.work.own_by_target() == {}
    assert picker.in_flight_by_target == {}
    assert len(picker.beliefs.model) == learned
