"""How likely a mark is for a part that crashes nothing.

A part is suspicious as far as what was seen at a crash is unlikely for a sound
part: that requests with it wait at just that engine, and that their answers are
at just that point. Both are learned from answers that begin well.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from hornbeamline.quarantine._types import MarkWeight, Phase
from hornbeamline.quarantine.const import (
    GUILTY_PHASE_SHARE,
    MAX_COUNTED_ANSWERS,
    MAX_MARK_SCORE,
    MAX_PRESENCE_SCORE,
    MAX_RECENT_PARTS,
    MAX_SERVICES,
    MIN_MARK_SCORE,
    PRIOR_ANSWERS,
    PRIOR_PART_SHARE,
    PRIOR_PHASE_S,
    RARE_CONTENT_PRESENCE,
    TELLING_PHASE_SHARE,
    WAITING_PER_ENGINE,
)

# Phases before the first event of an answer.
_WAITING_PHASES: Final = (Phase.SENT, Phase.HEAD)


class AnswerTiming(NamedTuple):
    """How long an answer took to begin."""

    service: str
    # Seconds from the start of the attempt to the head of the answer, and from
    # there to the first event.
    to_head_s: float
    to_event_s: float


class SoundTraffic:
    """Counts of answers that have begun, and of their waiting times."""

    def __init__(self) -> None:
        """Start without observations."""
        self._answers: float = 0
        self._answers_by_part: dict[str, float] = {}
        self._completed: float = 0
        self._completed_by_content: dict[str, float] = {}
        # Seconds that answers spent in each phase.
        self._seconds_by_service: dict[str, dict[Phase, float]] = {}

    def record_begun(
        self, parts: Sequence[str], timing: AnswerTiming | None
    ) -> None:
        """Count an answer; `timing` is None if it was not a stream."""
        self._answers += 1
        for part in parts:
            # Keeps the parts in the order of their last answers.
            count = self._answers_by_part.pop(part, 0)
            self._answers_by_part[part] = count + 1
        if timing is not None:
            self._record_timing(timing)
        if self._answers > MAX_COUNTED_ANSWERS:
            self._halve()
        while len(self._answers_by_part) > MAX_RECENT_PARTS:
            self._answers_by_part.pop(next(iter(self._answers_by_part)))

    def record_completed(self, content: str) -> None:
        """Count a complete answer."""
        completed_by_content = self._completed_by_content
        count = completed_by_content.pop(content, 0)
        completed_by_content[content] = count + 1
        self._completed += 1
        if self._completed > MAX_COUNTED_ANSWERS:
            self._completed /= 2
            self._completed_by_content = _halved(completed_by_content)
        while len(self._completed_by_content) > MAX_RECENT_PARTS:
            self._completed_by_content.pop(
                next(iter(self._completed_by_content))
            )

    def is_rare(self, content: str) -> bool:
        """Return whether sound requests with a content hardly ever wait."""
        count = self._completed_by_content.get(content, 0)
        return _presence(count, self._completed) <= RARE_CONTENT_PRESENCE

    def weigh(self, part: str, phase: Phase, service: str) -> MarkWeight:
        """Return how much a mark speaks against a part.

        The log-likelihood ratio compares a part that crashes engines, which
        is always there when one ends, with a sound one.
        """
        presence_score = min(
            -math.log(self._presence(part)), MAX_PRESENCE_SCORE
        )
        phase_share = self._phase_share(phase, service)
        score = presence_score + math.log(GUILTY_PHASE_SHARE / phase_share)
        return MarkWeight(
            round(min(max(score, MIN_MARK_SCORE), MAX_MARK_SCORE), 2),
            phase_share <= TELLING_PHASE_SHARE,
        )

    def _presence(self, part: str) -> float:
        """Return the probability that a sound part waits at an engine."""
        return _presence(self._answers_by_part.get(part, 0), self._answers)

    def _phase_share(self, phase: Phase, service: str) -> float:
        """Return the share of their waiting time that answers are so far."""
        seconds: Mapping[Phase, float] = self._seconds_by_service.get(
            service, {}
        )
        total_s = sum(seconds.values()) + PRIOR_PHASE_S * len(_WAITING_PHASES)
        return (seconds.get(phase, 0) + PRIOR_PHASE_S) / total_s

    def _record_timing(self, timing: AnswerTiming) -> None:
        seconds = self._seconds_by_service.get(timing.service)
        if seconds is None:
            if len(self._seconds_by_service) >= MAX_SERVICES:
                self._seconds_by_service.clear()
            seconds = {}
            self._seconds_by_service[timing.service] = seconds
        for phase, spent_s in (
            (Phase.SENT, timing.to_head_s),
            (Phase.HEAD, timing.to_event_s),
        ):
            seconds[phase] = seconds.get(phase, 0) + max(spent_s, 0)

    def _halve(self) -> None:
        """Give older observations less weight than newer ones."""
        self._answers /= 2
        self._answers_by_part = _halved(self._answers_by_part)
        for seconds in self._seconds_by_service.values():
            for phase, spent_s in tuple(seconds.items()):
                seconds[phase] = spent_s / 2


def _presence(count: float, total: float) -> float:
    """Return the probability that a request of this share waits at a target.

    `count` of `total` sound answers were to such requests.
    """
    share = (count + PRIOR_ANSWERS * PRIOR_PART_SHARE) / (total + PRIOR_ANSWERS)
    return 1 - (1 - min(share, 1)) ** WAITING_PER_ENGINE


def _halved(counts: Mapping[str, float]) -> dict[str, float]:
    return {key: count / 2 for key, count in counts.items() if count > 1}
