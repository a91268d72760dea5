"""Set of background tasks that are cancelled together."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from hornbeamline.telemetry import log_event


class TaskSet:
    """Holds strong references to tasks and logs those that fail."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(
        self,
        coroutine: Coroutine[Any, Any, Any],
        name: str,
    ) -> asyncio.Task[Any]:
        """Run a coroutine as a named task of this set."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def cancel_all(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log_event('task.failed', task=task.get_name(), error=repr(error))
