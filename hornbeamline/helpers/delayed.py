"""A call that is scheduled by one event and cancelled by another."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class DelayedCall:
    """Calls a function some time after it is scheduled."""

    def __init__(self, delay_s: float, function: Callable[[], None]) -> None:
        """Take the delay in seconds and the function."""
        self._delay_s = delay_s
        self._function = function
        self._handle: asyncio.TimerHandle | None = None

    def schedule(self) -> None:
        """Start the delay."""
        self._handle = asyncio.get_running_loop().call_later(
            self._delay_s,
            self._function,
        )

    def cancel(self) -> None:
        """Do not call the function, unless that has happened."""
        if self._handle is not None:
            self._handle.cancel()
