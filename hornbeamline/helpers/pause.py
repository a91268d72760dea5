"""Parser of the `Retry-After` header of targets."""

from __future__ import annotations

import math
from typing import Final

from hornbeamline.telemetry import log_event

_MAX_LOGGED_CHARS: Final = 40


def parse_retry_after_s(text: str | None) -> float | None:
    """Parse a `Retry-After` in seconds; return None without a valid one.

    Dates, negative numbers and unreadable texts are not valid.
    """
    if text is None:
        return None
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = math.nan
    if pause_s >= 0:
        return pause_s
    log_event('targets.pause_unreadable', retry_after=text[:_MAX_LOGGED_CHARS])
    return None
