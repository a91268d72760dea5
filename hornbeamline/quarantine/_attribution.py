"""Attribution of crashes to prompt parts; a pure function of the evidence.

A part is present at crashes that it causes, but so are the parts that all
requests have. Parts are named one after the other, the most likely one first,
and the crashes that a named part explains no longer count against others.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from hornbeamline.quarantine._types import CrashMark, Phase
from hornbeamline.quarantine.const import (
    BEGUN_SCORE,
    COMMON_PART_SCORE,
    HEAD_SCORE,
    PRIOR_SCORE,
    SAME_MOMENT_S,
    SENT_SCORE,
    VERDICT_SCORE,
)


class Finding(NamedTuple):
    """What the evidence says about one part."""

    part: str
    # Log-odds that the part crashes engines.
    score: float
    # Engines that ended under the part, and the last time that one did.
    crashes: int
    last_at: float
    # Largest number of shared parts that follow the part in a prompt.
    following: int
    is_named: bool


def attribute(
    marks: Iterable[CrashMark],
    begun_parts: Collection[str],
) -> dict[str, Finding]:
    """Return the findings by part.

    Answers to requests with `begun_parts` began well before the crashes. The
    score of a part that is not named leaves out the crashes that a named part
    explains, and all scores those of which the part is cleared.
    """
    marks_by_part: dict[str, list[CrashMark]] = {}
    for mark in marks:
        if not mark.is_cleared:
            marks_by_part.setdefault(mark.part, []).append(mark)
    found: dict[str, Finding] = {}
    while marks_by_part:
        findings = [
            _find(part, part_marks, has_begun=part in begun_parts)
            for part, part_marks in marks_by_part.items()
        ]
        best = max(findings, key=_likelihood)
        if best.score < VERDICT_SCORE:
            found.update((finding.part, finding) for finding in findings)
            break
        found[best.part] = best._replace(is_named=True)
        marks_by_part = _unexplained(
            marks_by_part, marks_by_part.pop(best.part)
        )
    return found


def _likelihood(finding: Finding) -> tuple[float, int, str]:
    """Order findings; of equal ones, the part that the fewest have is last."""
    return finding.score, -finding.following, finding.part


def _find(part: str, marks: list[CrashMark], *, has_begun: bool) -> Finding:
    following = max(mark.following for mark in marks)
    score = PRIOR_SCORE
    if following:
        score += COMMON_PART_SCORE
    if has_begun:
        score += BEGUN_SCORE
    score += sum(HEAD_SCORE for mark in marks if mark.phase == Phase.HEAD)
    score += SENT_SCORE * _moments(
        mark.at for mark in marks if mark.phase == Phase.SENT
    )
    last_at = max(mark.at for mark in marks)
    return Finding(part, score, len(marks), last_at, following, is_named=False)


def _moments(times: Iterable[float]) -> int:
    """Return the number of groups of times that are close together."""
    count = 0
    last_at = -math.inf
    for at in sorted(times):
        if at - last_at > SAME_MOMENT_S:
            count += 1
            last_at = at
    return count


def _unexplained(
    marks_by_part: Mapping[str, list[CrashMark]],
    explaining: Iterable[CrashMark],
) -> dict[str, list[CrashMark]]:
    """Return the marks of crashes that the marks of a named part leave."""
    phase_by_target = {mark.target: mark.phase for mark in explaining}
    left: dict[str, list[CrashMark]] = {}
    for part, marks in marks_by_part.items():
        kept = [
            mark
            for mark in marks
            if phase_by_target.get(mark.target, 0) < mark.phase
        ]
        if kept:
            left[part] = kept
    return left
