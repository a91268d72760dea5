"""Requests, stage calls and retries to cold targets need a permit."""

from __future__ import annotations

import asyncio
import hashlib
import math
import random
from typing import Any

import pytest

from hornbeamline.batching import CallDeferredError, CallRefusedError
from hornbeamline.daemons._gateway_services import StageCaller
from hornbeamline.gateway import (
    BudgetSettings,
    Forwarder,
    RefusedError,
    RetryBudget,
    RouteKind,
    TargetDirectory,
    TargetGate,
    TargetPicker,
    VersionBinding,
    WarmupLimits,
)
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._reply import Reply
from hornbeamline.gateway.errors import ConnectionDeniedError
from hornbeamline.helpers.codec import encode
from hornbeamline.limits import LimitService
from hornbeamline.limits.const import LIST_LAG_S, WARMUP_TAKEOVER_WAIT_S
from hornbeamline.platform._wire import PlatformWire
from tests.gateway.builders import (
    OneGranter,
    make_request,
    make_route,
    make_target,
    open_guard,
    service_lookup,
)
from tests.gateway.test_forwarder import SIGNED, Caller, FakeHttp, Script
from tests.local_network import LocalNetwork
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)

RATE_PER_S = 10.0
WARMUP_S = 3.0
DEADLINE_S = 5.0
LIST_READ_S = 0.7


class Entry:
    """Entry host that is the granter of its service."""

    def __init__(self, *scripts: Script) -> None:
        clock = LoopClock()
        self.http: Any = FakeHttp(*scripts)
        self.targets = TargetDirectory(clock)
        self.granters = OneGranter()
        limits = LimitService(
            LocalNetwork(random.Random(1)).endpoint('host'),
            clock,
            self.targets.limits,
            self.granters,
            service_lookup(self.targets),
        )
        self.limits = limits
        self.gate = TargetGate(self.targets, limits)
        self.picker = TargetPicker('dc-1', clock, random.Random(1))
        budget = RetryBudget(BudgetSettings(0.2, 10, 64), clock)
        budget.note_hosts(1)
        self._forwarder = Forwarder(
            self.http,
            PlatformWire(),
            self.picker,
            self.targets,
            self.gate,
            budget,
            clock,
        )
        self._clock = clock

    async def list_targets(self, **is_cold: bool) -> None:
        """Apply two lists, as a host that has run for long has them."""
        self.targets.update_warmups(
            {'service': WarmupLimits(WARMUP_S, RATE_PER_S)}
        )
        self.limits.warmup.granted()
        for _ in range(2):
            self.targets.replace_list(
                make_target(name, is_cold=cold)
                for name, cold in is_cold.items()
            )
            await asyncio.sleep(LIST_READ_S)
        await asyncio.sleep(WARMUP_TAKEOVER_WAIT_S - LIST_READ_S)

    async def request(self, **route: Any) -> Caller:
        """Forward a request and return its caller."""
        now = self._clock.monotonic()
        job = Job(
            make_request(received_at=now, headers=(('x-request-id', 'r1'),)),
            b'',
            make_route(**route),
            'service',
            None,
            0,
            now + DEADLINE_S,
            [],
            {},
            lambda: None,
            open_guard(),
            VersionBinding(),
        )
        caller = Caller()
        reply = Reply(caller.send, self._clock, closes=lambda: False)
        await self._forwarder.forward(job, reply)
        return caller

    def sent_to(self) -> list[str]:
        """Return the targets of the requests that were sent."""
        return [sent['X-Expect-Instance'] for sent in self.http.sent]


def answers(count: int) -> list[Script]:
    """Return scripts of complete answers."""
    return [Script(parts=(b'id: 0\ndata: x\n\n',)) for _ in range(count)]


# Guards against requests that wait for the granter of a cold target while a
# warm one is idle, and against targets that are sent everything when cold.
@pytest.mark.parametrize('kind', list(RouteKind))
async def test_warm_target_with_a_free_slot_takes_the_requests(kind) -> None:
    """One of three targets is warm."""
    entry = Entry(*answers(20))
    await entry.list_targets(cold=True, warm=False, other=True)
    began = asyncio.get_running_loop().time()
    for _ in range(20):
        assert (await entry.request(kind=kind)).status == 200
    assert set(entry.sent_to()) == {'warm'}
    assert asyncio.get_running_loop().time() == began


async def test_full_warm_target_shares_with_cold_ones_without_a_wait() -> None:
    """Load: all slots of the warm target are in use."""
    entry = Entry(*answers(30))
    await entry.list_targets(cold=True, warm=False)
    warm = entry.targets.listed('warm')
    for _ in range(warm.slots * 4):
        entry.picker.attempt_started(warm)
    began = asyncio.get_running_loop().time()
    for _ in range(30):
        assert (await entry.request()).status == 200
    # One permit and the burst; then the warm target serves, however full.
    assert 1 <= entry.sent_to().count('cold') <= 3
    assert asyncio.get_running_loop().time() == began


async def test_request_waits_for_a_permit_while_all_are_cold() -> None:
    """All targets of a service are cold."""
    entry = Entry(*answers(40))
    await entry.list_targets(a=True, b=True)
    requests = [entry.request() for _ in range(40)]
    outcomes = await asyncio.gather(*requests, return_exceptions=True)
    refused = [each for each in outcomes if isinstance(each, RefusedError)]
    # Two targets in the time for which permits are reserved ahead.
    assert 8 <= 40 - len(refused) <= 18
    for error in refused:
        assert error.refusal.status == 503
        assert 0 < error.refusal.retry_after_s < 1


# Guards against a host without its granter that crashes cold targets.
@pytest.mark.parametrize('is_known', [True, False])
async def test_host_without_a_confirmed_granter_sends_nothing(
    is_known, monkeypatch
) -> None:
    """Fault: no control process answers, or no granter is known."""
    entry = Entry()
    await entry.list_targets(a=True, b=True)
    if is_known:
        monkeypatch.setattr(entry.granters, 'is_confirmed', lambda: False)
    else:
        monkeypatch.setattr(entry.granters, 'granter_of', lambda _: None)
    with pytest.raises(RefusedError):
        await entry.request()
    assert not entry.http.sent


# Guards against retries that pass by the gate.
async def test_retry_goes_to_a_cold_target_with_a_permit_only() -> None:
    """Fault: connections to the only warm target are refused."""
    refused = Script(send_error=ConnectionDeniedError('refused'))
    entry = Entry(refused, *answers(10))
    await entry.list_targets(cold=True, warm=False)
    assert (await entry.request()).status == 200
    assert entry.sent_to() == ['warm', 'cold']
    assert entry.targets.limits.limit_of('warm') == RATE_PER_S
    await asyncio.sleep(WARMUP_S + LIST_LAG_S + 0.1)
    assert entry.targets.limits.limit_of('warm') == math.inf


async def test_target_that_becomes_cold_while_connecting_gets_nothing() -> None:
    """Fault: the news arrive between the choice and the connection."""
    entry = Entry()
    await entry.list_targets(a=False, b=False)

    def reopen() -> None:
        entry.targets.limits.warmup.note_reopened('dc-1')

    entry.http.scripts = [Script(on_connect=reopen), *answers(1)]
    assert (await entry.request()).status == 200
    assert len(set(entry.sent_to())) == 2


@pytest.mark.parametrize(
    ('status', 'text', 'is_cold'),
    [
        (200, b'1500', True),
        (200, b'1e400', True),
        (200, b'0', False),
        (200, b'-5', False),
        (200, b'nan', False),
        (200, b'soon', False),
        (200, b'', False),
        (421, b'1500', False),
    ],
)
async def test_answer_tells_that_its_target_is_cold(
    status, text, is_cold
) -> None:
    """Fault: times that are not numbers; another target at the address."""
    fields = [*SIGNED, (b'X-Warmup-Ms', text)]
    entry = Entry(Script(status, fields), *answers(1))
    await entry.list_targets(a=False, b=False)
    await entry.request()
    first = entry.sent_to()[0]
    assert entry.targets.limits.is_cold(first) is is_cold


class FakeFetch:
    """Client that refuses connections, or counts the calls."""

    def __init__(self, error: Exception | None = None) -> None:
        self.error = error
        self.calls = 0

    async def fetch(self, *_: Any) -> Any:
        """Count the call and raise the error."""
        self.calls += 1
        raise self.error or ConnectionDeniedError('refused')


async def test_stage_calls_use_the_permits_of_their_target() -> None:
    """Load: more stage calls than a cold target takes."""
    entry = Entry()
    await entry.list_targets(a=True)
    http: Any = FakeFetch()
    call = StageCaller(http, PlatformWire(), entry.gate)
    target = entry.targets.listed('a')
    deferred = 0
    for _ in range(10):
        try:
            await call(target, [], [], lambda: None)
        except CallDeferredError:
            deferred += 1
        except CallRefusedError:
            continue
    assert http.calls == 10 - deferred
    assert 1 <= http.calls <= 3
    assert entry.targets.call_rates('service') == [RATE_PER_S]


async def test_refused_stage_call_shows_a_cold_target() -> None:
    """Fault: the target of a stage has crashed."""
    entry = Entry()
    await entry.list_targets(a=False)
    http: Any = FakeFetch()
    call = StageCaller(http, PlatformWire(), entry.gate)
    with pytest.raises(CallRefusedError):
        await call(entry.targets.listed('a'), [], [], lambda: None)
    assert entry.targets.limits.is_cold('a')


# Guards against lists that hosts of an earlier version fetch again and again,
# since they compute another digest.
async def test_digest_changes_with_the_flag_only() -> None:
    """Deployments without warm-ups keep the digests of their lists."""
    entry = Entry()
    entry.targets.replace_list([make_target('b'), make_target('a')])
    known = [
        ('a', 'service', '127.0.0.1:1', 'dc-1', 6, False, ''),
        ('b', 'service', '127.0.0.1:1', 'dc-1', 6, False, ''),
    ]
    expected = hashlib.blake2b(encode(known), digest_size=8).digest()
    assert entry.targets.digest == expected
    entry.targets.replace_list(
        [make_target('b', is_cold=True), make_target('a')]
    )
    assert entry.targets.digest != expected
    # No service of the document warms up.
    assert not entry.targets.limits.is_cold('b')
