"""Time sources that components take instead of calling `time`."""

from __future__ import annotations

import time
from typing import Final, Protocol

MS_PER_S: Final = 1000


class Clock(Protocol):
    """Source of elapsed and calendar time."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return the calendar clock in milliseconds."""
        return time.time_ns() // 1_000_000


class BootClock(SystemClock):
    """Clock that goes on while the host is suspended.

    For ages of what other hosts tell: a monotonic clock would take a list
    from before the suspension for a fresh one.
    """

    def monotonic(self) -> float:
        """Return the time since the host was started in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock that a test or a virtual-time run moves by hand."""

    def __init__(self, start_s: float = 0) -> None:
        """Take the first reading in seconds."""
        self.now_s = start_s

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self.now_s

    def wall_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return int(self.now_s * MS_PER_S)

    def advance(self, seconds: float) -> None:
        """Move the reading forward."""
        self.now_s += seconds
