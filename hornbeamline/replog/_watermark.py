"""Position in the log that tasks can wait for."""

from __future__ import annotations

import asyncio
import heapq
import itertools


class Watermark:
    """Holds a position and wakes the tasks that wait for it."""

    def __init__(self, position: int = 0) -> None:
        """Initialize with the first position."""
        self.position = position
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        # Tie-breaker for heap elements of equal position.
        self._order = itertools.count()
        self._error: Exception | None = None

    def advance(self, position: int) -> None:
        """Raise the position; a lower one is ignored."""
        if position > self.position:
            self.move_to(position)

    def move_to(self, position: int) -> None:
        """Set the position, which may be lower than before."""
        self.position = position
        while self._waiting and self._waiting[0][0] <= position:
            future = heapq.heappop(self._waiting)[2]
            if not future.done():
                future.set_result(None)

    async def wait(self, position: int) -> None:
        """Wait until a position is reached; raises the error of `fail`."""
        if self._error is not None:
            raise self._error
        if position <= self.position:
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (position, next(self._order), future))
        await future

    def fail(self, error: Exception) -> None:
        """Raise an error in all present and later waits."""
        self._error = error
        for _, _, future in self._waiting:
            if not future.done():
                future.set_exception(error)
        self._waiting.clear()
