"""Requests that crash each target that begins to run them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest

from hornbeamline.gateway import RouteKind
from hornbeamline.gateway.errors import (
    AnswerBrokenError,
    MayHaveRunError,
    TargetGoneError,
)
from hornbeamline.quarantine.const import VERDICT_S
from tests.gateway.builders import make_route, make_table, make_target
from tests.gateway.engines import EngineResponse
from tests.gateway.test_start import StartingApp

pytestmark = pytest.mark.looptime(noop_cycles=0)

DEADLY = b'deadly'
SHARED_PART = 'shared'
# Targets that may end under one request before it is recognised.
MAX_ENDED = 3
RESTART_S = 2.0


class PlainResponse(EngineResponse):
    """Complete answer of a target that serves plain requests."""

    async def body(self) -> bytes:
        """Return the answer, unless the target has ended."""
        if self._breaks:
            raise MayHaveRunError('connection was lost')
        return b'answer'


class CrashingTargets:
    """HTTP client of targets in memory that end under the deadly body."""

    def __init__(self, count: int) -> None:
        self.targets = [
            make_target(f't{number}', address=f'10.0.0.{number}:1', slots=64)
            for number in range(count)
        ]
        # Addresses of the targets that ended, in order.
        self.ended: list[str] = []
        self._down: set[str] = set()
        self.deadly = DEADLY

    @contextlib.asynccontextmanager
    async def send(
        self,
        address: str,
        method: str,
        raw_target: str,
        headers: list[tuple[str, str]],
        body: bytes | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> AsyncIterator[EngineResponse]:
        """Answer, or end if the body is deadly."""
        if address in self._down:
            raise TargetGoneError('connection refused')
        if on_sent is not None:
            on_sent()
        is_deadly = body == self.deadly
        if is_deadly:
            self.ended.append(address)
            self._down.add(address)
            asyncio.get_running_loop().call_later(
                RESTART_S, self._down.discard, address
            )
        yield PlainResponse(dict(headers)['x-request-id'], 2, breaks=is_deadly)

    async def is_listening(self, address: str) -> bool:
        """Return whether a target accepts connections."""
        return address not in self._down


class Host(StartingApp):
    """Entry host in front of targets that end under the deadly body."""

    def __init__(self, targets: CrashingTargets, **route: Any) -> None:
        super().__init__(targets)
        self.app.update_table(make_table(make_route(**route)))
        self.targets.replace_list(targets.targets)
        self._requests = 0

    async def send(self, body: bytes, part: str = '') -> int:
        """Send a request under an id of its own; return its status.

        Return 0 if the answer breaks off.
        """
        self._requests += 1
        headers = [
            (b'host', b'host.example'),
            (b'x-request-id', b'r%d' % self._requests),
            (b'x-deadline-ms', b'10000'),
        ]
        if part:
            prompt = f'{part}:100,own-{body.decode()}:100'
            headers.append((b'x-prompt-prefix', prompt.encode()))
        try:
            caller, _ = await self.request(body, headers)
        except AnswerBrokenError:
            return 0
        return caller.status or 0


KINDS = (
    {'kind': RouteKind.IDEMPOTENT, 'max_attempts': 3},
    {'kind': RouteKind.NON_IDEMPOTENT, 'max_attempts': 1},
    {'kind': RouteKind.STREAM, 'max_attempts': 3, 'can_resume': True},
    {'kind': RouteKind.STREAM, 'max_attempts': 1},
)


# Guards against one request that ends target after target (BUDGET).
@pytest.mark.parametrize('route', KINDS)
@pytest.mark.parametrize('part', ['', SHARED_PART])
async def test_request_that_comes_again_ends_few_targets(route, part) -> None:
    """Fault: a request ends each target; its caller sends it again."""
    targets = CrashingTargets(40)
    host = Host(targets, **route)
    statuses = []
    for number in range(20):
        statuses.append(await host.send(DEADLY, part))
        assert await host.send(b'sound %d' % number) == 200
        await asyncio.sleep(RESTART_S)
    assert len(targets.ended) <= MAX_ENDED
    # Once it is known it is refused as not run, since it is not sent.
    assert statuses[-1] == 503


# Failure: the part that a deadly request shared with sound ones was named, and
# all requests with the part were refused.
async def test_sound_requests_with_the_same_part_are_served() -> None:
    """Guards against a verdict on a sound part of a deadly request."""
    targets = CrashingTargets(40)
    host = Host(targets, kind=RouteKind.STREAM)
    for _ in range(8):
        await host.send(DEADLY, SHARED_PART)
    for number in range(8):
        assert await host.send(b'sound %d' % number, SHARED_PART) == 200
    assert len(targets.ended) <= MAX_ENDED


async def test_request_is_served_again_once_it_is_sound() -> None:
    """A verdict ends by itself, and an answer clears the request."""
    targets = CrashingTargets(40)
    host = Host(targets, kind=RouteKind.IDEMPOTENT)
    for _ in range(4):
        assert await host.send(DEADLY) != 200
    # The targets have been repaired.
    targets.deadly = b''
    await asyncio.sleep(VERDICT_S + 1)
    assert await host.send(DEADLY) == 200
    # One more crash, of another cause, is no reason to refuse it.
    targets.deadly = DEADLY
    await host.send(DEADLY)
    targets.deadly = b''
    assert await host.send(DEADLY) == 200
