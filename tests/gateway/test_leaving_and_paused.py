"""Targets that leave or ask for a pause, against an oracle of both rules.

Requests, retries, news, lists, restarts and freezes come in any order, in
virtual time. The oracle knows only what the targets have answered to this host.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamline.gateway import (
    BudgetSettings,
    Forwarder,
    RefusedError,
    RetryBudget,
    RouteKind,
    Target,
    TargetDirectory,
    TargetPicker,
    VersionBinding,
)
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._reply import Reply
from hornbeamline.helpers.clock import ManualClock
from hornbeamline.membership.const import MAX_PAUSE_S, MIN_RESTART_ABSENCE_S
from hornbeamline.platform._wire import PlatformWire
from tests.gateway.builders import (
    make_gate,
    make_request,
    make_route,
    make_target,
    open_guard,
)
from tests.gateway.test_forwarder import Caller, FakeResponse, Script

COUNT = 3
# Sums of times differ by less than this.
ROUNDING_S = 1e-6
SIGNED = [(b'X-Request-Id', b'r1'), (b'X-Server-Stamp', b's')]
ROUTES: dict[str, dict[str, Any]] = {
    'unsafe': {'kind': RouteKind.NON_IDEMPOTENT, 'max_attempts': 3},
    'safe': {'kind': RouteKind.IDEMPOTENT, 'max_attempts': 3},
    'stream': {'kind': RouteKind.STREAM, 'max_attempts': 3},
}
# Texts of `Retry-After` and the pauses that they mean, None for no pause.
PAUSES: dict[bytes, float | None] = {
    b'0.75': 0.75,
    b'2': 2,
    b'40': 40,
    b'0': 0,
    b'1e9': MAX_PAUSE_S,
    b'inf': MAX_PAUSE_S,
    b'-3': None,
    b'soon': None,
    b'nan': None,
}


class Arrival(NamedTuple):
    """A request that reached a target."""

    target: str
    at: float


class World:
    """Targets, this host, and what the targets have told it."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000)
        self.directory = TargetDirectory(self.clock)
        rng = random.Random(1)
        budget = RetryBudget(BudgetSettings(0.2, 10, 64), self.clock)
        budget.note_hosts(1)
        http: Any = self
        self._forwarder = Forwarder(
            http,
            PlatformWire(),
            TargetPicker('dc-1', self.clock, rng),
            self.directory,
            make_gate(self.directory),
            budget,
            self.clock,
        )
        self.targets = {f't{number}': f't{number}' for number in range(COUNT)}
        self.leaving: set[str] = set()
        self.pause_texts: dict[str, bytes] = {}
        # What this host has been told: the oracle.
        self.told_leaving: set[str] = set()
        self.told_pause_until: dict[str, float] = {}
        self.unlisted_since: dict[str, float] = {}
        self.violations: list[str] = []
        # Run once, while the next connection is opened.
        self.on_connect: Callable[[], None] | None = None
        self.list_targets(set(self.targets))

    @contextlib.asynccontextmanager
    async def send(
        self,
        address: str,
        _method: str,
        _raw_target: str,
        headers: list[tuple[str, str]],
        _body: bytes | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> AsyncIterator[FakeResponse]:
        """Open a connection, receive the request and answer it."""
        name = dict(headers)['X-Expect-Instance']
        news = self.on_connect
        self.on_connect = None
        if news is not None:
            news()
        if on_sent is not None:
            on_sent()
        self._check_arrival(name)
        yield FakeResponse(self._answer(name))

    async def is_listening(self, _address: str) -> bool:
        """Return that all targets listen."""
        return True

    async def request(self, route: str) -> None:
        """Send a request of a caller."""
        now = self.clock.monotonic()
        job = Job(
            make_request(received_at=now, headers=(('x-request-id', 'r1'),)),
            b'',
            make_route(**ROUTES[route]),
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
        reply = Reply(Caller().send, self.clock, closes=lambda: False)
        try:
            await self._forwarder.forward(job, reply)
        except RefusedError as error:
            # Never parked until the deadline, and with an honest time.
            retry_s = error.refusal.retry_after_s
            assert retry_s is not None
            assert 0 <= retry_s <= MAX_PAUSE_S + ROUNDING_S
        assert self.clock.monotonic() == now

    def list_targets(self, listed: set[str]) -> None:
        """Apply a list of these targets, some of them as leaving."""
        now = self.clock.monotonic()
        for name in self.targets:
            if name not in listed:
                self.unlisted_since.setdefault(name, now)
                continue
            since = self.unlisted_since.pop(name, now)
            if now - since > MIN_RESTART_ABSENCE_S:
                self._restart(name)
        self.directory.replace_list(self._entry(name) for name in listed)

    def tell_from_elsewhere(self, name: str) -> None:
        """Let an answer to another request of this host say that it leaves."""
        self.leaving.add(name)
        self.told_leaving.add(name)
        self.directory.availability.note_leaving(name)

    def _restart(self, name: str) -> None:
        """Start a target again: it knows nothing of before."""
        self.leaving.discard(name)
        self.pause_texts.pop(name, None)
        self.told_leaving.discard(name)
        self.told_pause_until.pop(name, None)

    def _entry(self, name: str) -> Target:
        return make_target(name)

    def _check_arrival(self, name: str) -> None:
        now = self.clock.monotonic()
        if name in self.told_leaving:
            self.violations.append(f'{name} is leaving')
        if now < self.told_pause_until.get(name, -math.inf):
            self.violations.append(f'{name} has asked for a pause')

    def _answer(self, name: str) -> Script:
        fields = list(SIGNED)
        if name in self.leaving:
            fields.append((b'Server-Leaving', b'1'))
            self.told_leaving.add(name)
        text = self.pause_texts.get(name)
        if text is None:
            return Script(200, fields, (b'id: 0\ndata: x\n\n',))
        pause_s = PAUSES[text]
        if pause_s is not None:
            until = self.clock.monotonic() + pause_s
            known = self.told_pause_until.get(name, -math.inf)
            self.told_pause_until[name] = max(known, until)
        fields = [*fields, (b'X-Not-Executed', b'1'), (b'Retry-After', text)]
        return Script(503, fields, ())


NAMES = st.sampled_from([f't{number}' for number in range(COUNT)])
STEPS = st.one_of(
    st.tuples(st.just('request'), st.sampled_from(sorted(ROUTES))),
    st.tuples(st.just('leave'), NAMES),
    st.tuples(
        st.just('pause'), st.tuples(NAMES, st.sampled_from(sorted(PAUSES)))
    ),
    st.tuples(st.just('resume'), NAMES),
    st.tuples(st.just('news'), NAMES),
    st.tuples(st.just('list'), st.sets(NAMES)),
    # Also as long as a freeze of the host.
    st.tuples(st.just('wait'), st.sampled_from([0.1, 0.4, 1.0, 3.5, 30.0])),
)


async def play(steps: list[tuple[str, Any]]) -> World:
    """Play steps and return the world at their end."""
    world = World()
    for kind, detail in steps:
        if kind == 'request':
            await world.request(detail)
        elif kind == 'leave':
            world.leaving.add(detail)
        elif kind == 'pause':
            name, text = detail
            world.pause_texts[name] = text
        elif kind == 'resume':
            world.pause_texts.pop(detail, None)
        elif kind == 'news':
            world.on_connect = lambda name=detail: world.tell_from_elsewhere(
                name
            )
        elif kind == 'list':
            world.list_targets(detail)
        else:
            world.clock.advance(detail)
    return world


@settings(deadline=None, max_examples=300)
@given(st.lists(STEPS, max_size=30))
def test_leaving_and_paused_targets_get_nothing(steps) -> None:
    """Guards against requests to targets that have said that they want none."""
    world = asyncio.run(play(steps))
    assert not world.violations


def test_oracle_sees_a_request_to_a_leaving_target() -> None:
    """Guards against an oracle that accepts everything."""
    world = World()
    world.told_leaving.add('t0')
    world.told_pause_until['t1'] = world.clock.monotonic() + 1
    for name in world.targets:
        world._check_arrival(name)
    assert len(world.violations) == 2


def test_targets_serve_again_after_their_pauses() -> None:
    """Guards against a host that sends nothing at all."""
    pauses = [('pause', (f't{number}', b'2')) for number in range(COUNT)]
    resumes = [('resume', f't{number}') for number in range(COUNT)]
    requests = [('request', 'safe')] * COUNT
    steps = [*pauses, *requests, *resumes, ('wait', 3.5), ('request', 'safe')]
    world = asyncio.run(play(steps))
    assert not world.violations
    assert world.directory.available_targets('service')
