"""Expires queued calls of the decision engine in time."""

from __future__ import annotations

import asyncio
from typing import Final

from hornbeamline.core import TaskSet
from hornbeamline.decisions import DecisionEngine

# The engine never sleeps by itself. A call that is queued after a tick is
# looked at after this time at the latest, which delays its refusal.
_MAX_PAUSE_S: Final = 0.05
_MIN_PAUSE_S: Final = 0.001


class DecisionTicker:
    """Calls `tick` of the decision engine as a service."""

    def __init__(self, decisions: DecisionEngine) -> None:
        """Take the engine."""
        self._decisions = decisions
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Begin to tick."""
        self._tasks.spawn(self._tick(), 'decision tick')

    async def stop(self) -> None:
        """End the ticks."""
        await self._tasks.cancel_all()

    async def _tick(self) -> None:
        while True:
            pause_s = self._decisions.tick()
            if pause_s is None:
                pause_s = _MAX_PAUSE_S
            await asyncio.sleep(min(max(pause_s, _MIN_PAUSE_S), _MAX_PAUSE_S))
