"""Thread pool for the blocking file operations of one node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any


class Threads:
    """Runs blocking functions, so that a sync never blocks the event loop."""

    def __init__(self) -> None:
        """Initialize; threads are created on first use."""
        self._executor: ThreadPoolExecutor | None = None

    async def run(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Run a function in a thread and return its result."""
        if self._executor is None:
            # One thread each for the log, the vote file and the snapshots.
            self._executor = ThreadPoolExecutor(3, 'replog')
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, function, *arguments)

    async def stop(self) -> None:
        """Wait for the operations in progress and end the threads."""
        if self._executor is not None:
            await asyncio.to_thread(self._executor.shutdown)
            self._executor = None
