"""Attribution of crashes to prompt parts; a pure function of the evidence.

A part is present at crashes that it causes, but so are the parts that all
requests have. Parts are judged one after the other, the most likely one first,
and the crashes that a suspect part explains no longer count against others.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from hornbeamline.quarantine._types import CrashMark
from hornbeamline.quarantine.const import (
    BEGUN_SCORE,
    COMMON_PART_SCORE,
    PRIOR_SCORE,
    SAME_MOMENT_S,
    SUSPECT_SCORE,
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
    score of a part leaves out the crashes that a likelier suspect explains, and
    those of which the part is cleared. A part whose crashes are all explained
    has no finding.
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
        if best.score < SUSPECT_SCORE:
            found.update((finding.part, finding) for finding in findings)
            break
        is_named = best.score >= VERDICT_SCORE
        found[best.part] = best._replace(is_named=is_named)
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
    score += sum(_scores(marks))
    last_at = max(mark.at for mark in marks)
    return Finding(part, score, len(marks), last_at, following, is_named=False)


class _Occasion:
    """Marks of one part that are not independent of each other."""

    def __init__(self, mark: CrashMark) -> None:
        self.score = mark.weight.score
        self._began_at = mark.at
        self._requests = {mark.request}
        self._contents = {mark.content} - {''}

    def includes(self, mark: CrashMark) -> bool:
        """Return whether a mark may have the cause of this occasion.

        A common cause ends engines at one time, under requests that were sent
        before. A request that is sent again may be the cause itself.
        """
        if mark.request in self._requests or mark.content in self._contents:
            return True
        if mark.weight.is_telling:
            return False
        return _is_same_moment(mark, self._began_at)

    def add(self, mark: CrashMark) -> None:
        """Add a mark; the one that says most counts."""
        self.score = max(self.score, mark.weight.score)
        self._requests.add(mark.request)
        self._contents |= {mark.content} - {''}


def _scores(marks: list[CrashMark]) -> list[float]:
    """Return the scores of the independent occasions.

    Engines that end together, or one after the other under the same request,
    say as much as one: the cause may be a rack, or the request's own content.
    The others are independent, since it is chance which requests wait there.
    """
    occasions: list[_Occasion] = []
    for mark in sorted(marks, key=_time_of):
        known = next(
            (occasion for occasion in occasions if occasion.includes(mark)),
            None,
        )
        if known is None:
            occasions.append(_Occasion(mark))
        else:
            known.add(mark)
    return [occasion.score for occasion in occasions]


def separate_occasions(marks: Iterable[CrashMark]) -> int:
    """Return the number of crashes that cannot have one common cause."""
    count = 0
    began_at = -math.inf
    for mark in sorted(marks, key=_time_of):
        if not _is_same_moment(mark, began_at):
            count += 1
            began_at = mark.at
    return count


def _is_same_moment(mark: CrashMark, began_at: float) -> bool:
    """Return whether a crash may have the cause of an earlier one."""
    is_close = mark.at - began_at <= SAME_MOMENT_S
    return is_close and mark.at - mark.waited_s < began_at


def _time_of(mark: CrashMark) -> tuple[float, str]:
    return mark.at, mark.target


def _unexplained(
    marks_by_part: Mapping[str, list[CrashMark]],
    explaining: Iterable[CrashMark],
) -> dict[str, list[CrashMark]]:
    """Return the marks of crashes that the marks of a likelier part leave."""
    score_by_target = {mark.target: mark.weight.score for mark in explaining}
    left: dict[str, list[CrashMark]] = {}
    for part, marks in marks_by_part.items():
        kept = [
            mark
            for mark in marks
            if score_by_target.get(mark.target, 0) < mark.weight.score
        ]
        if kept:
            left[part] = kept
    return left
