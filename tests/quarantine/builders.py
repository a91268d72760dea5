"""Builders of crash marks, and a clock that tests move."""

from __future__ import annotations

from typing import Any

from hornbeamline.quarantine import CrashMark, Phase


class ManualClock:
    """Clock that stands still between calls of `advance`."""

    def __init__(self) -> None:
        self._now = 1000.0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self._now

    def wall_ms(self) -> int:
        """Return the time of day in ms."""
        return int(self._now * 1000)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self._now += seconds


def make_mark(part: str, target: str, **changes: Any) -> CrashMark:
    """Return a mark of a request whose answer had a head and no event."""
    fields: dict[str, Any] = {
        'phase': Phase.HEAD,
        'following': 0,
        'at': 1000.0,
    }
    return CrashMark(part, target, **{**fields, **changes})
