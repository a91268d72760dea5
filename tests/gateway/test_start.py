"""Requests that arrive while a process is starting."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any

import pytest

from hornbeamline.gateway import (
    BudgetSettings,
    Forwarder,
    GatewayApp,
    GatewayServices,
    Placement,
    RetryBudget,
    RouteKind,
    StageRunner,
    StreamVersions,
    TargetDirectory,
    TargetPicker,
)
from hornbeamline.gateway._app import START_WAIT_SHARE, START_WINDOW_S
from hornbeamline.platform._wire import PlatformWire
from hornbeamline.quarantine import PartQuarantine
from tests.gateway.builders import (
    KnownOrigins,
    make_gate,
    make_route,
    make_table,
    make_target,
)
from tests.gateway.test_forwarder import Caller, FakeHttp, Script
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)

MAX_WAIT_S = 10.0
HEADERS = [
    (b'host', b'host.example'),
    (b'x-request-id', b'r1'),
    (b'x-deadline-ms', b'10000'),
]


class StartingApp:
    """Application of a process without a configuration."""

    def __init__(self, http: Any = None) -> None:
        clock = LoopClock()
        self.targets = TargetDirectory(clock)
        self.http = http or FakeHttp(Script())
        self.quarantine = PartQuarantine('host', clock)
        rng = random.Random(1)
        budget = RetryBudget(BudgetSettings(0.2, 10, 64), clock)
        wire = PlatformWire()
        picker = TargetPicker('dc-1', clock, rng)
        forwarder = Forwarder(
            self.http,
            wire,
            picker,
            self.targets,
            make_gate(self.targets),
            budget,
            clock,
        )
        # Routes without stages need no owner of a stage service.
        batching: Any = None
        stages = StageRunner(
            batching,
            lambda _rank: {},
            Placement(wire, self.targets, picker),
            clock,
        )
        services = GatewayServices(
            self.targets,
            forwarder,
            stages,
            budget,
            self.quarantine,
            StreamVersions(KnownOrigins(), self.targets),
        )
        self.app = GatewayApp(wire, services, clock, rng)

    async def request(
        self,
        body: bytes = b'',
        headers: Sequence[tuple[bytes, bytes]] = HEADERS,
    ) -> tuple[Caller, float]:
        """Send a request; return its response and the seconds it took."""
        caller = Caller()
        self.last_caller = caller
        loop = asyncio.get_running_loop()
        began = loop.time()
        sent = [{'type': 'http.request', 'body': body}]

        async def receive() -> Any:
            if sent:
                return sent.pop()
            return await asyncio.Event().wait()

        scope = {
            'type': 'http',
            'method': 'POST',
            'headers': headers,
            'query_string': b'',
            'raw_path': b'/p/1',
        }
        await self.app(scope, receive, caller.send)
        return caller, loop.time() - began


# Failure: after all processes had been lost, callers got 503 for 1.5 s, and
# their only retry reached another process that had just started.
@pytest.mark.parametrize('first', ['table', 'targets'])
async def test_request_waits_for_the_configuration_of_a_start(first) -> None:
    """Load: callers reconnect immediately when all processes restart."""
    starting = StartingApp()
    answer = asyncio.ensure_future(starting.request())
    steps = [
        lambda: starting.app.update_table(
            make_table(make_route(kind=RouteKind.IDEMPOTENT)),
        ),
        lambda: starting.targets.replace_list([make_target('t1')]),
    ]
    for step in steps if first == 'table' else reversed(steps):
        await asyncio.sleep(0.3)
        step()
    caller, took_s = await answer
    assert caller.status == 200
    assert took_s == pytest.approx(0.6, abs=0.05)


async def test_request_is_refused_while_the_caller_can_retry() -> None:
    """Fault: the core does not respond, so no configuration arrives."""
    starting = StartingApp()
    caller, took_s = await starting.request()
    assert caller.status == 503
    assert took_s <= MAX_WAIT_S * START_WAIT_SHARE + 0.01
    await asyncio.sleep(START_WINDOW_S)
    caller, took_s = await starting.request()
    assert (caller.status, took_s) == (503, 0)
