"""Bounded queue of token events between an engine and a caller."""

from __future__ import annotations

import asyncio
from typing import Final

# About 4,000 token events, which covers short pauses of a caller.
MAX_PENDING_BYTES: Final = 262_144
# A caller that reads no events for this long is treated as disconnected.
STALL_TIMEOUT_S: Final = 5.0


class CallerStalledError(Exception):
    """The caller has stopped reading its token events."""


class TokenEvents:
    """Queue between a token stream and one caller.

    The consumer takes all pending events at once, so the work per token
    falls when tokens arrive faster than the caller's connection can send.
    """

    def __init__(
        self,
        max_pending_bytes: int = MAX_PENDING_BYTES,
        stall_timeout_s: float = STALL_TIMEOUT_S,
    ) -> None:
        """Create an empty queue.

        A producer has to wait while more than `max_pending_bytes` are
        pending; the queue closes after `stall_timeout_s` of waiting.
        """
        self._max_pending_bytes = max_pending_bytes
        self._stall_timeout_s = stall_timeout_s
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._ready: asyncio.Future[None] | None = None
        self._space: asyncio.Future[None] | None = None
        self.closed = False

    def offer(self, events: bytes) -> bool:
        """Add events; return False if the queue now exceeds its bound."""
        if self.closed:
            return True
        self._pending.append(events)
        self._pending_bytes += len(events)
        self.wake()
        return self._pending_bytes <= self._max_pending_bytes

    async def wait_space(self) -> None:
        """Wait until the queue is within its bound or closed.

        Raises `CallerStalledError` after the stall timeout.
        """
        while not self.closed and self._pending_bytes > self._max_pending_bytes:
            self._space = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(self._stall_timeout_s):
                    await self._space
            except TimeoutError as error:
                self.close()
                raise CallerStalledError from error

    def wake(self) -> None:
        """Wake up a pending `wait_ready`."""
        if self._ready is not None and not self._ready.done():
            self._ready.set_result(None)

    async def wait_ready(self) -> None:
        """Wait for pending events or a call of `wake`."""
        if not self._pending:
            self._ready = asyncio.get_running_loop().create_future()
            await self._ready
            self._ready = None

    def take(self) -> bytes:
        """Remove and return all pending events."""
        events = b''.join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        if self._space is not None and not self._space.done():
            self._space.set_result(None)
        return events

    def close(self) -> None:
        """Discard pending and future events after a disconnect."""
        self.closed = True
        self._pending.clear()
        self._pending_bytes = 0
        if self._space is not None and not self._space.done():
            self._space.set_result(None)
