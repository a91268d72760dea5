"""Builders of crash marks."""

from __future__ import annotations

from typing import Any

from hornbeamline.quarantine import (
    CrashMark,
    EngineCrash,
    MarkWeight,
    Phase,
)

# Weight of a mark of a rare part, by how far the answer was: engines send the
# head of an answer with its first event.
WEIGHTS = {
    Phase.HEAD: MarkWeight(7.0, is_telling=True),
    Phase.SENT: MarkWeight(4.6, is_telling=False),
}


def make_mark(part: str, target: str, **changes: Any) -> CrashMark:
    """Return a mark of a request whose answer had a head and no event.

    Each engine ends under a request of its own.
    """
    phase = changes.get('phase', Phase.HEAD)
    fields: dict[str, Any] = {
        'phase': phase,
        'following': 0,
        'at': 1000.0,
        'request': f'r-{target}',
        'waited_s': 0.2,
        'weight': WEIGHTS[phase],
    }
    return CrashMark(part, target, **{**fields, **changes})


def make_crash(target: str, phase: Phase = Phase.HEAD) -> EngineCrash:
    """Return the end of an engine under a request that was just sent."""
    return EngineCrash(target, 'service', phase, 0.0)
