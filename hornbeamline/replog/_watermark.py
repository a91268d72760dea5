"""A rising number that tasks wait for."""

from __future__ import annotations

import asyncio
import heapq
import itertools


class Watermark:
    """Holds a number and wakes the waiters that it has reached."""

    def __init__(self, position: int = 0) -> None:
        """Take the first position."""
        self.position = position
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        # Makes heap elements of equal position comparable.
        self._order = itertools.count()
        self._error: Exception | None = None

    def advance(self, position: int) -> None:
        """Raise the position; a lower one changes nothing."""
        if position > self.position:
            self.move(position)

    def move(self, position: int) -> None:
        """Set the position, which may be lower."""
        self.position = position
        while self._waiting and self._waiting[0][0] <= position:
            future = heapq.heappop(self._waiting)[2]
            if not future.done():
                future.set_result(None)

    async def wait(self, position: int) -> None:
        """Return once the position is reached; raises what `fail` got."""
        if self._error is not None:
            raise self._error
        if position <= self.position:
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (position, next(self._order), future))
        await future

    def fail(self, error: Exception) -> None:
        """End all present and later waits with an error."""
        self._error = error
        for _, _, future in self._waiting:
            if not future.done():
                future.set_exception(error)
        self._waiting.clear()
