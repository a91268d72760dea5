"""Long-lived tasks that fail."""

from __future__ import annotations

import asyncio

import pytest

from hornbeamline.core import TaskSet
from hornbeamline.core._tasks import (
    FAILED_TASKS,
    MAX_RESTART_DELAY_S,
    MIN_RESTART_DELAY_S,
    STEADY_S,
)

pytestmark = pytest.mark.looptime(noop_cycles=0)


@pytest.fixture
async def tasks():
    """Yield a set whose tasks are cancelled afterwards."""
    task_set = TaskSet()
    yield task_set
    await task_set.cancel_all()


class Loop:
    """Long-lived task that fails after a time, as often as told."""

    def __init__(self, failures: int, run_s: float = 0) -> None:
        self.starts: list[float] = []
        self._failures = failures
        self._run_s = run_s

    async def run(self) -> None:
        """Run, then fail; in the end, run until cancelled."""
        self.starts.append(asyncio.get_running_loop().time())
        if len(self.starts) <= self._failures:
            await asyncio.sleep(self._run_s)
            raise ValueError('figure out of range')
        await asyncio.Event().wait()

    def pauses(self) -> list[float]:
        """Return the time from each end to the next start."""
        return [
            later - earlier - self._run_s
            for earlier, later in zip(
                self.starts[:-1], self.starts[1:], strict=True
            )
        ]


# Failure: a task that enrols ended by an exception, and nothing started it
# again; the process looked ready and was deaf (CONFIG).
async def test_failed_task_is_started_again_with_back_off(tasks) -> None:
    """Fault: a long-lived task fails many times in a row."""
    before = FAILED_TASKS._value.get()
    loop = Loop(failures=8)
    task = tasks.keep_running(loop.run, 'loop')
    await asyncio.sleep(8 * MAX_RESTART_DELAY_S)
    assert not task.done()
    assert len(loop.starts) == 9
    pauses = loop.pauses()
    assert pauses == sorted(pauses)
    assert pauses[0] == pytest.approx(MIN_RESTART_DELAY_S)
    assert pauses[-1] == pytest.approx(MAX_RESTART_DELAY_S)
    assert FAILED_TASKS._value.get() - before == 8


async def test_back_off_starts_anew_after_a_steady_time(tasks) -> None:
    """Guards against a slow restart after failures long ago."""
    loop = Loop(failures=6, run_s=STEADY_S + 1)
    tasks.keep_running(loop.run, 'loop')
    await asyncio.sleep(7 * (STEADY_S + 2))
    assert loop.pauses() == pytest.approx([MIN_RESTART_DELAY_S] * 6)


async def test_task_that_returns_is_not_started_again(tasks) -> None:
    """Guards against work that is done twice."""
    starts = []

    async def finish() -> None:
        starts.append(1)

    await tasks.keep_running(finish, 'once')
    await asyncio.sleep(1)
    assert len(starts) == 1


async def test_cancelled_task_stays_cancelled() -> None:
    """Guards against tasks that outlive their component."""
    task_set = TaskSet()
    loop = Loop(failures=1000)
    task = task_set.keep_running(loop.run, 'loop')
    await asyncio.sleep(1)
    await task_set.cancel_all()
    started = len(loop.starts)
    await asyncio.sleep(10)
    assert task.cancelled()
    assert len(loop.starts) == started
