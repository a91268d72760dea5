"""Sources of the list of targets and their poller."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from aiohttp import web

from hornbeamline.helpers.clock import SystemClock
from hornbeamline.helpers.codec import encode_json
from hornbeamline.helpers.files import write_atomic
from hornbeamline.inventory import MembershipRules, MembershipSource
from hornbeamline.membership import (
    MembershipPoller,
    MembershipView,
    SourceFailedError,
    UnknownSourceError,
    make_source,
)
from hornbeamline.membership.const import MAX_LIST_BYTES
from tests.common import free_address

RULES = MembershipRules(poll_interval_s=0.05, leaving_hold_s=0.2)
WAIT_S = 5

Answer = Callable[[web.Request], Awaitable[web.Response]]


def listed(version: int, **targets: str) -> bytes:
    """Return a list encoded as JSON."""
    return encode_json({'version': version, 'targets': targets})


class ListServer:
    """HTTP server that plays the platform's part."""

    def __init__(self) -> None:
        """Initialize with an empty list."""
        self.address = free_address()
        self.content = listed(1)
        self.status = 200
        self.silent = False
        self.requests = 0

    async def answer(self, _request: web.Request) -> web.Response:
        """Respond to a poll, or leave it hanging if `silent`."""
        self.requests += 1
        if self.silent:
            await asyncio.Event().wait()
        return web.Response(body=self.content, status=self.status)


@pytest.fixture
async def platform():
    """Yield a running server."""
    server = ListServer()
    app = web.Application()
    app.router.add_get('/targets', server.answer)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = server.address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    yield server
    await runner.cleanup()


class Changes:
    """Queue of the changes that a view reports."""

    def __init__(self, view: MembershipView) -> None:
        """Register for the changes of a view."""
        self.queue: asyncio.Queue[frozenset[str]] = asyncio.Queue()
        view.on_change(self.queue.put_nowait)

    async def next(self) -> frozenset[str]:
        """Return the next change."""
        return await asyncio.wait_for(self.queue.get(), WAIT_S)


@pytest.fixture
def view() -> MembershipView:
    """Return an empty view."""
    return MembershipView(lambda: RULES, SystemClock())


def poller(
    kind: str,
    location: str,
    view: MembershipView,
) -> MembershipPoller:
    """Return a poller of one source."""
    settings = MembershipSource(kind=kind, location=location)
    rng = random.Random(1)
    return MembershipPoller(settings, view, lambda: RULES, SystemClock(), rng)


async def test_http_list_takes_effect_and_is_withdrawn(
    platform: ListServer,
    view: MembershipView,
) -> None:
    """Guards against a poller that misses a change in either direction."""
    changes = Changes(view)
    service = poller('http', f'http://{platform.address}/targets', view)
    await service.start()
    platform.content = listed(2, t1='leaving')
    assert await changes.next() == {'t1'}
    platform.content = listed(3, t1='live')
    assert await changes.next() == frozenset()
    await service.stop()


async def test_silent_source_keeps_the_view(
    platform: ListServer,
    view: MembershipView,
) -> None:
    """Guards against a failed poll that clears the view or stops polling."""
    changes = Changes(view)
    platform.content = listed(2, t1='leaving')
    service = poller('http', f'http://{platform.address}/targets', view)
    await service.start()
    assert await changes.next() == {'t1'}
    for platform.silent, platform.status, platform.content in (
        (True, 200, b''),
        (False, 500, listed(9, t1='live')),
        (False, 200, b'{"version": "x"}'),
        (False, 200, b'{"version": 9, "targets": {"t1": "gone"}}'),
        (False, 200, b' ' * (MAX_LIST_BYTES + 1)),
    ):
        seen = platform.requests
        async with asyncio.timeout(WAIT_S):
            # The server counts requests but sets no event to wait for.
            while platform.requests < seen + 3:  # noqa: ASYNC110 - no event is set.
                await asyncio.sleep(0.01)
        assert view.unavailable() == {'t1'}
    platform.content = listed(9, t2='leaving')
    assert await changes.next() == {'t1', 't2'}
    await service.stop()


async def test_file_source(tmp_path: Path, view: MembershipView) -> None:
    """Guards against a missing file that stops the poller."""
    changes = Changes(view)
    path = tmp_path / 'targets.json'
    service = poller('file', str(path), view)
    await service.start()
    await asyncio.sleep(0.1)
    write_atomic(path, listed(4, t1='leaving', t2='live'))
    assert await changes.next() == {'t1'}
    await service.stop()


async def test_no_source_and_unknown_kinds(view: MembershipView) -> None:
    """Guards against an unknown kind that is accepted and has no effect."""
    service = poller('none', '', view)
    await service.poll()
    view.note_leaving('t1')
    await service.poll()
    assert view.unavailable() == {'t1'}
    with pytest.raises(UnknownSourceError, match='gossip'):
        poller('gossip', '', view)


async def test_unreachable_source_is_an_error() -> None:
    """Guards against a refused connection that is taken for an empty list."""
    location = f'http://{free_address()}/targets'
    source = make_source(MembershipSource(kind='http', location=location))
    with pytest.raises(SourceFailedError):
        await source.fetch(1)
    await source.close()
