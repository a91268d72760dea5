"""Set of background tasks that are cancelled together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from prometheus_client import Counter

from hornbeamline.telemetry import log_event, registry

# Delay before a long-lived task that failed is started again; doubled with
# each failure, until it has run for `STEADY_S` without one.
MIN_RESTART_DELAY_S: Final = 0.1
MAX_RESTART_DELAY_S: Final = 2.0
STEADY_S: Final = 10.0

FAILED_TASKS: Final = Counter(
    'hornbeamline_core_failed_tasks',
    'Background tasks that ended by an error.',
    registry=registry,
)


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

    def keep_running(
        self,
        run: Callable[[], Coroutine[Any, Any, None]],
        name: str,
    ) -> asyncio.Task[Any]:
        """Run a long-lived task; start it again whenever it fails.

        A process whose long-lived task has ended would look healthy without
        being so. `run` returns a new coroutine for each start.
        """
        return self.spawn(_keep_running(run, name), name)

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
            FAILED_TASKS.inc()
            log_event('task.failed', task=task.get_name(), error=repr(error))


async def _keep_running(
    run: Callable[[], Coroutine[Any, Any, None]],
    name: str,
) -> None:
    clock = asyncio.get_running_loop().time
    delay_s = MIN_RESTART_DELAY_S
    while True:
        began = clock()
        try:
            await run()
        except Exception as error:
            if clock() - began > STEADY_S:
                delay_s = MIN_RESTART_DELAY_S
            FAILED_TASKS.inc()
            log_event(
                'task.restarted',
                task=name,
                error=repr(error),
                delay_s=delay_s,
            )
        else:
            return
        await asyncio.sleep(delay_s)
        delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)
