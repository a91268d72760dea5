"""Parser of the request rates that targets state in their answers."""

from __future__ import annotations

import math
from typing import Final

from hornbeamline.telemetry import log_event

# No host reaches this rate at one target, so a higher limit has no effect.
MAX_RATE_PER_S: Final = 10_000.0
_MAX_LOGGED_CHARS: Final = 40


def parse_rate_per_s(text: str | None) -> float | None:
    """Parse the requests per second that a target accepts.

    Returns infinity if the target states no rate or one above
    `MAX_RATE_PER_S`, and None if the rate is negative or unreadable.
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
