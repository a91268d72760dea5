"""Rates that a target names in its answers."""

from __future__ import annotations

import math
from typing import Final

from hornbeamline.telemetry import log_event

# No host reaches this rate at one target, so a higher one limits nothing.
MAX_RATE_PER_S: Final = 10_000.0
_MAX_LOGGED_CHARS: Final = 40


def read_rate_per_s(text: str | None) -> float | None:
    """Return the requests a second that a target takes.

    Infinite when the target names no rate or one above `MAX_RATE_PER_S`;
    None when the rate is negative or cannot be read.
    """
    if text is None:
        return math.inf
    try:
        rate_per_s = float(text)
    except ValueError:
        rate_per_s = math.nan
    if rate_per_s >= 0:
        return rate_per_s if rate_per_s <= MAX_RATE_PER_S else math.inf
    log_event('targets.rate_unreadable', rate=text[:_MAX_LOGGED_CHARS])
    return None
