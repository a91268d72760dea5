"""Time sources, injected into components in place of `time`."""

from __future__ import annotations

import time
from typing import Final, Protocol

MS_PER_S: Final = 1000


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds."""
        return time.time_ns() // 1_000_000


class BootClock(SystemClock):
    """Clock that keeps running while the host is suspended.

    Used for the age of data from other hosts: with `SystemClock`, a list
    from before a suspension would still count as fresh.
    """

    def monotonic(self) -> float:
        """Return the time since the host booted, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock that a test or a virtual-time run sets explicitly."""

    def __init__(self, start_s: float = 0) -> None:
        """Initialize with the start time in seconds."""
        self.now_s = start_s

    def monotonic(self) -> float:
        """Return the current time in seconds."""
        return self.now_s

    def wall_ms(self) -> int:
        """Return the current time in milliseconds."""
        return int(self.now_s * MS_PER_S)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now_s += seconds
