"""Evidence of crashes: bounded, and merged without regard to order."""

from __future__ import annotations

import hashlib

from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.codec import encode
from hornbeamline.quarantine._contents import is_content
from hornbeamline.quarantine._messages import (
    EvidenceReport,
    LiftReport,
    MarkReport,
)
from hornbeamline.quarantine._types import CrashMark, MarkWeight
from hornbeamline.quarantine.const import (
    MARK_TTL_S,
    MAX_CONTENT_MARKS,
    MAX_LIFTS,
    MAX_MARKS,
)

# Part and target.
_Crash = tuple[str, str]


class EvidenceTable:
    """Crash marks, marked parts whose answers began before, lifted parts.

    Merging is idempotent and commutative, so that reports may be repeated,
    reordered or lost as long as a later one arrives.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        self._marks_by_crash: dict[_Crash, CrashMark] = {}
        self._crashes_by_part: dict[str, set[_Crash]] = {}
        self._begun_parts: set[str] = set()
        self._lifted_at_by_part: dict[str, float] = {}
        self._digest: bytes | None = None

    @property
    def marks(self) -> list[CrashMark]:
        """Return all crash marks."""
        return list(self._marks_by_crash.values())

    @property
    def begun_parts(self) -> frozenset[str]:
        """Return the marked parts whose answers began before."""
        return frozenset(self._begun_parts)

    @property
    def digest(self) -> bytes:
        """Return a digest that is equal for equal evidence."""
        if self._digest is None:
            content = (
                sorted(
                    (*crash, mark.phase, *mark.weight, mark.is_cleared)
                    for crash, mark in self._marks_by_crash.items()
                ),
                sorted(self._begun_parts),
                sorted(self._lifted_at_by_part),
            )
            self._digest = hashlib.blake2b(
                encode(content), digest_size=8
            ).digest()
        return self._digest

    def marked_parts(self) -> list[str]:
        """Return the parts with crash marks."""
        return list(self._crashes_by_part)

    def add_mark(self, mark: CrashMark) -> bool:
        """Add a mark; return whether the evidence has changed.

        Marks that are older than the lift of their part are ignored.
        """
        if mark.at <= self._lifted_at_by_part.get(mark.part, mark.at - 1):
            return False
        if self._clock.monotonic() - mark.at > MARK_TTL_S:
            return False
        crash = (mark.part, mark.target)
        known = self._marks_by_crash.get(crash)
        merged = mark if known is None else _merge_marks(known, mark)
        if merged == known:
            return False
        self._marks_by_crash[crash] = merged
        self._crashes_by_part.setdefault(mark.part, set()).add(crash)
        self._evict(mark)
        self._digest = None
        return True

    def clear(self, part: str) -> bool:
        """Clear a part of its crashes so far, since an answer has begun.

        Return whether the evidence has changed.
        """
        has_changed = False
        for crash in self._crashes_by_part.get(part, ()):
            mark = self._marks_by_crash[crash]
            if not mark.is_cleared:
                self._marks_by_crash[crash] = mark._replace(is_cleared=True)
                has_changed = True
        if has_changed:
            self._digest = None
        return has_changed

    def add_begun(self, part: str) -> bool:
        """Record that answers with a marked part began before its crashes.

        Return whether the evidence has changed.
        """
        if part not in self._crashes_by_part or part in self._begun_parts:
            return False
        self._begun_parts.add(part)
        self._digest = None
        return True

    def lift(self, part: str, at: float | None = None) -> bool:
        """Remove the evidence on a part up to a time, by default now.

        Return whether the evidence has changed. Repeated reports of a lift
        differ by the delays of messages.
        """
        lifted_at = self._clock.monotonic() if at is None else at
        known_at = self._lifted_at_by_part.get(part)
        if known_at is not None and lifted_at <= known_at + 1:
            return False
        self._lifted_at_by_part.pop(part, None)
        self._lifted_at_by_part[part] = lifted_at
        while len(self._lifted_at_by_part) > MAX_LIFTS:
            self._lifted_at_by_part.pop(next(iter(self._lifted_at_by_part)))
        for crash in tuple(self._crashes_by_part.get(part, ())):
            if self._marks_by_crash[crash].at <= lifted_at:
                self._remove(crash)
        self._digest = None
        return True

    def expire(self) -> bool:
        """Remove marks that are too old; return whether there were any."""
        oldest = self._clock.monotonic() - MARK_TTL_S
        expired = [
            crash
            for crash, mark in self._marks_by_crash.items()
            if mark.at < oldest
        ]
        for crash in expired:
            self._remove(crash)
        return bool(expired)

    def merge(self, report: EvidenceReport) -> bool:
        """Merge the evidence of another process; return whether it is new."""
        now = self._clock.monotonic()
        changes = [
            *(self.lift(lift.part, now - lift.age_s) for lift in report.lifts),
            *(
                self.add_mark(_mark_of(mark, now - mark.age_s))
                for mark in report.marks
            ),
            *(self.add_begun(part) for part in report.begun),
        ]
        return any(changes)

    def export(self) -> EvidenceReport:
        """Return all evidence, with ages in place of times."""
        now = self._clock.monotonic()
        return EvidenceReport(
            [
                MarkReport(
                    mark.part,
                    mark.target,
                    mark.phase,
                    mark.following,
                    now - mark.at,
                    mark.request,
                    mark.waited_s,
                    *mark.weight,
                    mark.is_cleared,
                    mark.content,
                )
                for mark in self._marks_by_crash.values()
            ],
            sorted(self._begun_parts),
            [
                LiftReport(part, now - lifted_at)
                for part, lifted_at in self._lifted_at_by_part.items()
            ],
        )

    def _evict(self, added: CrashMark) -> None:
        """Remove the oldest marks beyond the bound of their kind.

        Each lost request has a content of its own, so that contents must not
        displace prompt parts.
        """
        has_content = is_content(added.part)
        kind = [
            crash
            for crash in self._marks_by_crash
            if is_content(crash[0]) is has_content
        ]
        excess = len(kind) - (MAX_CONTENT_MARKS if has_content else MAX_MARKS)
        for crash in sorted(kind, key=self._time_of)[: max(excess, 0)]:
            self._remove(crash)

    def _time_of(self, crash: _Crash) -> float:
        return self._marks_by_crash[crash].at

    def _remove(self, crash: _Crash) -> None:
        part = self._marks_by_crash.pop(crash).part
        crashes = self._crashes_by_part[part]
        crashes.discard(crash)
        if not crashes:
            self._crashes_by_part.pop(part)
            self._begun_parts.discard(part)
        self._digest = None


def _merge_marks(known: CrashMark, other: CrashMark) -> CrashMark:
    """Join marks of several requests; the one that says most is kept."""
    weight, request, waited_s, content = max(
        (mark.weight, mark.request, mark.waited_s, mark.content)
        for mark in (known, other)
    )
    return known._replace(
        phase=max(known.phase, other.phase),
        request=request,
        waited_s=waited_s,
        weight=weight,
        following=max(known.following, other.following),
        is_cleared=known.is_cleared or other.is_cleared,
        content=content,
    )


def _mark_of(report: MarkReport, at: float) -> CrashMark:
    return CrashMark(
        report.part,
        report.target,
        report.phase,
        report.following,
        at,
        report.request,
        report.waited_s,
        MarkWeight(report.score, report.is_telling),
        report.is_cleared,
        report.content,
    )
