"""Periodic task that runs the timers of the decision engine."""

from __future__ import annotations

import asyncio
from typing import Final

from hornbeamline.core import TaskSet
from hornbeamline.decisions import DecisionEngine

# The engine has no timer of its own. A call that is queued between two ticks
# is first checked for expiry at the next tick, so its refusal may be late by
# up to this interval.
_MAX_TICK_INTERVAL_S: Final = 0.05
_MIN_TICK_INTERVAL_S: Final = 0.001


class DecisionTicker:
    """Service that calls `tick` of the decision engine periodically."""

    def __init__(self, decisions: DecisionEngine) -> None:
        """Create a ticker for `decisions`; it does not run yet."""
        self._decisions = decisions
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Start the periodic task."""
        self._tasks.keep_running(self._run_ticks, 'decision tick')

    async def stop(self) -> None:
        """Cancel the periodic task."""
        await self._tasks.cancel_all()

    async def _run_ticks(self) -> None:
        while True:
            interval_s = self._decisions.tick()
            if interval_s is None:
                interval_s = _MAX_TICK_INTERVAL_S
            await asyncio.sleep(
                min(
                    max(interval_s, _MIN_TICK_INTERVAL_S), _MAX_TICK_INTERVAL_S
                ),
            )
