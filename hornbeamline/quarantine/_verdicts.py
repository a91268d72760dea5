"""Duration of verdicts."""

from __future__ import annotations

from hornbeamline.quarantine._attribution import Finding
from hornbeamline.quarantine._types import Verdict
from hornbeamline.quarantine.const import (
    MAX_VERDICT_S,
    VERDICT_GROWTH,
    VERDICT_MIN_CRASHES,
    VERDICT_S,
)


def verdict_of(finding: Finding) -> Verdict:
    """Return the verdict on a named part.

    It ends by itself, since parts may be repaired. If the part then crashes
    another engine, it is named again at once and for longer.
    """
    further = max(finding.crashes - VERDICT_MIN_CRASHES, 0)
    # The exponent is bounded, since the power could overflow.
    growth = VERDICT_GROWTH ** min(further, MAX_VERDICT_S)
    duration_s = min(VERDICT_S * growth, MAX_VERDICT_S)
    return Verdict(
        finding.part,
        finding.score,
        finding.crashes,
        finding.last_at + duration_s,
    )
