"""Delayed call that can be cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class DelayedCall:
    """Calls a function a fixed delay after it is scheduled."""

    def __init__(self, delay_s: float, function: Callable[[], None]) -> None:
        """Initialize with the delay in seconds and the function."""
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
        """Cancel the call, unless the function has been called already."""
        if self._handle is not None:
            self._handle.cancel()
