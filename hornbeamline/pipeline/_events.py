"""Token events on their way to the caller, in a bounded queue."""

from __future__ import annotations

import asyncio
from typing import Final

# About 4,000 token events; enough for a caller that pauses for a moment.
MAX_PENDING_BYTES: Final = 262_144
# A caller that takes nothing for this long is considered gone.
STALL_TIMEOUT_S: Final = 5.0


class CallerStalledError(Exception):
    """The caller does not take its events."""


class TokenEvents:
    """Queue between a token stream and one caller.

    The caller's side takes everything that is pending at once, so the work
    per token falls when tokens come faster than the caller's connection.
    """

    def __init__(
        self,
        max_pending_bytes: int = MAX_PENDING_BYTES,
        stall_timeout_s: float = STALL_TIMEOUT_S,
    ) -> None:
        """Take the bound in bytes and the patience in seconds."""
        self._max_pending_bytes = max_pending_bytes
        self._stall_timeout_s = stall_timeout_s
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._ready: asyncio.Future[None] | None = None
        self._space: asyncio.Future[None] | None = None
        self.closed = False

    def offer(self, events: bytes) -> bool:
        """Add events; return False when the queue is now over its bound."""
        if self.closed:
            return True
        self._pending.append(events)
        self._pending_bytes += len(events)
        self.wake()
        return self._pending_bytes <= self._max_pending_bytes

    async def wait_space(self) -> None:
        """Wait until events are taken; raises `CallerStalledError`."""
        while not self.closed and self._pending_bytes > self._max_pending_bytes:
            self._space = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(self._stall_timeout_s):
                    await self._space
            except TimeoutError as error:
                self.close()
                raise CallerStalledError from error

    def wake(self) -> None:
        """Let `wait_ready` return."""
        if self._ready is not None and not self._ready.done():
            self._ready.set_result(None)

    async def wait_ready(self) -> None:
        """Wait for pending events or a wake-up."""
        if not self._pending:
            self._ready = asyncio.get_running_loop().create_future()
            await self._ready
            self._ready = None

    def take(self) -> bytes:
        """Return all pending events."""
        events = b''.join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        if self._space is not None and not self._space.done():
            self._space.set_result(None)
        return events

    def close(self) -> None:
        """Drop all events from now on; the caller is gone."""
        self.closed = True
        self._pending.clear()
        self._pending_bytes = 0
        if self._space is not None and not self._space.done():
            self._space.set_result(None)
