"""Stand-in for the load balancer in front of the entry hosts."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from typing import Final

import aiohttp

from hornbeamline.core import TaskSet

CHECK_INTERVAL_S: Final = 0.2
CHECK_TIMEOUT_S: Final = 1.0
_HTTP_OK: Final = 200


class Balancer:
    """Picks entry hosts round robin among those ready by `/readyz`."""

    def __init__(self, entries: Sequence[str]) -> None:
        """Initialize with the caller addresses of the entry hosts."""
        self._entries = tuple(entries)
        self._ready = frozenset(entries)
        self._pick_count = 0
        self._checked = asyncio.Event()
        self._tasks = TaskSet()

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Check every entry host, then start the periodic checks."""
        await self._check_all(session)
        self._tasks.spawn(self._check_forever(session), 'balancer checks')

    async def stop(self) -> None:
        """Stop the periodic checks."""
        await self._tasks.cancel_all()

    async def wait_ready(self, count: int, timeout_s: float) -> None:
        """Wait until `count` entry hosts are ready; raises `TimeoutError`."""
        async with asyncio.timeout(timeout_s):
            while len(self._ready) < count:
                self._checked.clear()
                await self._checked.wait()

    def pick(self, avoid: str = '') -> str:
        """Return the next ready entry host.

        `avoid` is only returned when no other entry host is ready. When none
        is ready at all, every entry host is a candidate.
        """
        usable = [entry for entry in self._entries if entry in self._ready]
        if len(usable) > 1 and avoid in usable:
            usable.remove(avoid)
        self._pick_count += 1
        choices = usable or self._entries
        return choices[self._pick_count % len(choices)]

    async def _check_forever(self, session: aiohttp.ClientSession) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self._check_all(session)

    async def _check_all(self, session: aiohttp.ClientSession) -> None:
        ready = await asyncio.gather(
            *(_is_ready(session, entry) for entry in self._entries),
        )
        self._ready = frozenset(
            entry
            for entry, is_ready in zip(self._entries, ready, strict=True)
            if is_ready
        )
        self._checked.set()


async def _is_ready(session: aiohttp.ClientSession, entry: str) -> bool:
    timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S)
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        url = f'http://{entry}/readyz'
        async with session.get(url, timeout=timeout) as response:
            return response.status == _HTTP_OK
    return False
