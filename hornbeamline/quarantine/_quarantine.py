"""Quarantine of one entry host: evidence, verdicts and guarded requests."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Iterable, Sequence

from hornbeamline.helpers.clock import Clock
from hornbeamline.quarantine._attribution import Finding
from hornbeamline.quarantine._contents import find_crashing, is_content
from hornbeamline.quarantine._evidence import EvidenceTable
from hornbeamline.quarantine._guard import RequestGuard
from hornbeamline.quarantine._likelihood import AnswerTiming, SoundTraffic
from hornbeamline.quarantine._messages import EvidenceReport
from hornbeamline.quarantine._metrics import (
    CRASHES,
    INTERRUPTED,
    QUARANTINED,
    VERDICTS,
)
from hornbeamline.quarantine._types import (
    CrashMark,
    EngineCrash,
    MarkWeight,
    Phase,
    Verdict,
)
from hornbeamline.quarantine._verdicts import verdict_of
from hornbeamline.quarantine.const import (
    MAX_PART_ID,
    MAX_PARTS_PER_REQUEST,
    MAX_RECENT_PARTS,
    RECENT_TTL_S,
    SUSPECT_SCORE,
    URGENT_SCORE,
)
from hornbeamline.quarantine.errors import PartQuarantinedError
from hornbeamline.telemetry import log_event


class PartQuarantine:
    """Collect evidence at this host and refuse requests with named parts."""

    def __init__(self, host: str, clock: Clock) -> None:
        """Create a quarantine without evidence."""
        self._host = host
        self._clock = clock
        self._table = EvidenceTable(clock)
        self._traffic = SoundTraffic()
        self._findings_by_part: dict[str, Finding] = {}
        self._verdicts_by_part: dict[str, Verdict] = {}
        self._guards: set[RequestGuard] = set()
        # When an answer with a part last began, the oldest first.
        self._begun_at_by_part: dict[str, float] = {}
        # Called when other hosts should soon know the evidence of this one.
        self.on_evidence: Callable[[], None] = _ignore

    @property
    def digest(self) -> bytes:
        """Return the digest of the evidence."""
        return self._table.digest

    def export(self) -> EvidenceReport:
        """Return the evidence of this host and of those that it knows of."""
        return self._table.export()

    def verdicts(self) -> list[Verdict]:
        """Return the verdicts in force."""
        now = self._clock.monotonic()
        return [
            verdict
            for verdict in self._verdicts_by_part.values()
            if verdict.until > now
        ]

    def guard(
        self, request_id: str, part_ids: Iterable[str], content: str = ''
    ) -> RequestGuard:
        """Return the guard of a request, given the ids of its shared parts.

        `content` is the key of the request's content, see `content_of`.

        Of more than `MAX_PARTS_PER_REQUEST` parts the last ones are watched:
        the first ones are those that most requests share.
        """
        parts = [_key(part_id) for part_id in part_ids]
        return RequestGuard(
            self, request_id, tuple(parts[-MAX_PARTS_PER_REQUEST:]), content
        )

    def check(self, keys: Sequence[str]) -> None:
        """Raise `PartQuarantinedError` if a part or content is quarantined."""
        if not self._verdicts_by_part:
            return
        for key in keys:
            verdict = self._verdicts_by_part.get(key)
            if verdict is None:
                continue
            left_s = verdict.until - self._clock.monotonic()
            if left_s > 0:
                raise PartQuarantinedError(key, left_s)

    def is_suspect(self, parts: Sequence[str]) -> bool:
        """Return whether a part may have crashed an engine."""
        return any(self._score_of(part) >= SUSPECT_SCORE for part in parts)

    def enter(self, guard: RequestGuard) -> None:
        """Watch a request until its answer begins."""
        self._guards.add(guard)

    def leave(self, guard: RequestGuard) -> None:
        """Stop watching a request."""
        self._guards.discard(guard)

    def record_begun(
        self, guard: RequestGuard, timing: AnswerTiming | None
    ) -> None:
        """Record that the answer to a request has begun."""
        self._traffic.record_begun(guard.parts, timing)
        cleared = [part for part in guard.parts if self._table.clear(part)]
        self._remember_begun(guard.parts, self._clock.monotonic())
        if not cleared:
            return
        is_urgent = any(
            self._score_of(part) >= URGENT_SCORE for part in cleared
        )
        log_event('quarantine.cleared', parts=','.join(cleared))
        self._judge()
        if is_urgent:
            self.on_evidence()

    def record_completed(self, guard: RequestGuard) -> None:
        """Clear the content of a request whose answer is complete."""
        self._traffic.record_completed(guard.content)
        if not self._table.clear(guard.content):
            return
        log_event('quarantine.cleared', content=guard.content)
        self._judge()
        self.on_evidence()

    def record_crash(self, guard: RequestGuard, crash: EngineCrash) -> None:
        """Record that a target ended while it answered a request."""
        CRASHES.labels(crash.phase.name.lower()).inc()
        now = self._clock.monotonic()
        # Crashes under a common content have as many causes as under any.
        content = guard.content if self._traffic.is_rare(guard.content) else ''
        marks = [
            CrashMark(
                part,
                crash.target,
                crash.phase,
                following,
                now,
                guard.request_id,
                crash.waited_s,
                self._traffic.weigh(part, crash.phase, crash.service),
                content=content,
            )
            for following, part in enumerate(reversed(guard.parts))
            if crash.phase is not Phase.BEGUN
        ]
        changes = [self._table.add_mark(mark) for mark in marks]
        if content:
            changes.append(
                self._table.add_mark(_content_mark(guard, crash, now))
            )
        log_event(
            'quarantine.crash',
            request=guard.request_id,
            content=content,
            target=crash.target,
            phase=crash.phase.name.lower(),
            parts=','.join(mark.part for mark in marks),
            scores=','.join(str(mark.weight.score) for mark in marks),
            waited_s=crash.waited_s,
        )
        if any(changes):
            self._add_earlier_begun()
            self._judge()
            self.on_evidence()

    def merge(self, report: EvidenceReport) -> None:
        """Merge the evidence of other hosts."""
        if not self._table.merge(report):
            return
        has_begun = self._add_earlier_begun()
        self._judge()
        if has_begun:
            self.on_evidence()

    def expire(self) -> None:
        """Remove evidence that is too old and verdicts that have ended."""
        has_expired = self._table.expire()
        now = self._clock.monotonic()
        if has_expired or any(
            verdict.until <= now for verdict in self._verdicts_by_part.values()
        ):
            self._judge()

    def _remember_begun(self, parts: Sequence[str], now: float) -> None:
        begun_at_by_part = self._begun_at_by_part
        for part in parts:
            begun_at_by_part.pop(part, None)
            begun_at_by_part[part] = now
        while len(begun_at_by_part) > MAX_RECENT_PARTS:
            begun_at_by_part.pop(next(iter(begun_at_by_part)))

    def _score_of(self, part: str) -> float:
        finding = self._findings_by_part.get(part)
        return -math.inf if finding is None else finding.score

    def _add_earlier_begun(self) -> bool:
        """Record the marked parts whose answers began at this host before."""
        oldest = self._clock.monotonic() - RECENT_TTL_S
        changes = [
            self._table.add_begun(part)
            for part in self._table.marked_parts()
            if self._begun_at_by_part.get(part, oldest) > oldest
        ]
        return any(changes)

    def _judge(self) -> None:
        """Derive findings and verdicts, and end requests with named parts."""
        now = self._clock.monotonic()
        self._findings_by_part = find_crashing(
            self._table.marks, self._table.begun_parts
        )
        verdicts_by_part = {
            part: verdict_of(finding)
            for part, finding in self._findings_by_part.items()
            if finding.is_named
        }
        previous = self._verdicts_by_part
        self._verdicts_by_part = {
            part: verdict
            for part, verdict in verdicts_by_part.items()
            if verdict.until > now
        }
        QUARANTINED.set(len(self._verdicts_by_part))
        for part, verdict in self._verdicts_by_part.items():
            if part not in previous:
                self._enforce(verdict, now)
        for ended in previous.keys() - self._verdicts_by_part.keys():
            log_event('quarantine.ended', part=ended)

    def _enforce(self, verdict: Verdict, now: float) -> None:
        VERDICTS.inc()
        has_begun = verdict.part in self._table.begun_parts
        # If the part was sound before, the requests that are at engines go on:
        # their answers are the quickest way to clear it.
        interrupted = [
            guard
            for guard in self._guards
            if verdict.part in guard.keys
            and not (has_begun and guard.may_have_run)
        ]
        log_event(
            'quarantine.verdict',
            part=verdict.part,
            score=verdict.score,
            crashes=verdict.crashes,
            has_begun=has_begun,
            left_s=verdict.until - now,
            interrupted=len(interrupted),
        )
        INTERRUPTED.inc(len(interrupted))
        for guard in interrupted:
            guard.interrupt(
                PartQuarantinedError(verdict.part, verdict.until - now)
            )


def _content_mark(
    guard: RequestGuard, crash: EngineCrash, now: float
) -> CrashMark:
    # A target may start again under its id and end under the request again.
    return CrashMark(
        guard.content,
        f'{crash.target}/{guard.request_id}',
        crash.phase,
        0,
        now,
        guard.request_id,
        crash.waited_s,
        MarkWeight(0, is_telling=False),
        content=guard.content,
    )


def _key(part_id: str) -> str:
    """Return a key of bounded size for a part, which a caller has named."""
    if len(part_id) <= MAX_PART_ID and not is_content(part_id):
        return part_id
    return hashlib.blake2b(part_id.encode(), digest_size=16).hexdigest()


def _ignore() -> None:
    """Tell nobody: the placeholder of a host without an exchange."""
