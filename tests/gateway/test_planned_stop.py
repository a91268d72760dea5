"""Requests that arrive while an entry process stops."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from hornbeamline.daemons._gateway_services import BALANCER_WAIT_S, GatewayDrain
from hornbeamline.gateway import RouteKind
from tests.gateway.builders import make_route, make_table, make_target
from tests.gateway.test_forwarder import Script
from tests.gateway.test_start import StartingApp

pytestmark = pytest.mark.looptime(noop_cycles=0)

STOP_TIMEOUT_S = 7.0
# Time limit of the requests.
TIMEOUT_S = 2.0


class StoppingApp(StartingApp):
    """Application of a ready process, and its drain."""

    def __init__(self, kind: RouteKind) -> None:
        super().__init__()
        self.app.update_table(
            make_table(make_route(kind=kind, timeout_s=TIMEOUT_S))
        )
        self.targets.replace_list([make_target('t1')])
        self.http.scripts = [Script() for _ in range(4)]
        batching = SimpleNamespace(
            ownership=SimpleNamespace(is_leaving=False),
            stages_in_progress_for_others=0,
        )
        self.drain = GatewayDrain(self.app, batching, STOP_TIMEOUT_S)

    async def is_sent(self) -> bool:
        """Send a request; return whether it reached a target."""
        before = len(self.http.sent)
        caller, took_s = await self.request()
        is_sent = len(self.http.sent) > before
        assert caller.status == (200 if is_sent else 503)
        # What is not sent is refused at once, so that another host serves it.
        assert is_sent or took_s == 0
        return is_sent


# Guards against requests that are sent late in a stop and cut off by its end.
@pytest.mark.parametrize(
    'kind', [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT]
)
async def test_late_request_is_sent_only_if_it_can_end(kind) -> None:
    """Planned stop: requests still arrive on kept connections."""
    stopping = StoppingApp(kind)
    stopping.app.in_progress += 1
    stop = asyncio.ensure_future(stopping.drain.stop())
    await asyncio.sleep(0.1)
    assert await stopping.is_sent()
    # The load balancer has seen that the host is not ready.
    await asyncio.sleep(BALANCER_WAIT_S)
    assert await stopping.is_sent()
    await asyncio.sleep(STOP_TIMEOUT_S - BALANCER_WAIT_S - TIMEOUT_S - 0.1)
    assert not await stopping.is_sent()
    stopping.app.in_progress -= 1
    await stop
    assert not await stopping.is_sent()


# Guards against requests cut off by the listener, which waits for a second.
async def test_idle_host_sends_nothing_that_outlasts_its_listener() -> None:
    """Planned stop: the drain ends early, and a request arrives after it."""
    stopping = StoppingApp(RouteKind.NON_IDEMPOTENT)
    await stopping.drain.stop()
    assert not await stopping.is_sent()
