"""Speeds of targets, learned from the durations of their responses."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple, Protocol, TypeVar

from hornbeamline.costs._bounded import RecentEntries
from hornbeamline.costs.const import MAX_SLOWNESS, MAX_TARGETS, MIN_SLOWNESS
from hornbeamline.helpers.clock import Clock

_MIN_LOG: Final = math.log(MIN_SLOWNESS)
_MAX_LOG: Final = math.log(MAX_SLOWNESS)
# Half-life of an observed duration; speeds of targets change seldom.
_HALF_LIFE_S: Final = 60.0
# Observations that the prior, the usual speed, counts for.
_PRIOR_WEIGHT: Final = 1.0
# Time constant of the reported slowness: the slow spells of a known
# deployment last 0.6 s, so a report is about half a spell old when it comes.
_REPORT_DECAY_S: Final = 0.3
# Reports of which a target's usual report is the mean: a target whose reports
# never change says nothing about the present moment.
_USUAL_GAIN: Final = 0.1
# A target that claims to be fast for the moment is believed less than one that
# claims to be slow: it would attract requests.
_MIN_REPORTED_LOG: Final = -0.7
# A target gets requests only if no other is left while its report says that
# work takes this much longer than usual.
_SPELL_LOG: Final = math.log(1.5)
# Evidence below this weight, in hundredths, is not sent.
_MIN_SENT_WEIGHT: Final = 25
# Targets with the most evidence that a host sends figures of.
_MAX_SENT: Final = 256
# Step of the rounded logarithm of a lasting slowness, about 22 %.
_LOG_STEP: Final = 0.2
_LASTING_TTL_S: Final = 1.0
# Evidence is sent in whole hundredths, which take 1 to 3 bytes.
_SCALE: Final = 100


class _HasId(Protocol):
    @property
    def id(self) -> str:
        """Return the id of a target."""


_Identified = TypeVar('_Identified', bound=_HasId)


class SpeedEvidence(NamedTuple):
    """Observed durations at a target; the sum of several is meaningful."""

    # Hundredths of observations, decayed by age.
    weight: int
    # Hundredths of the sum of the logarithms of the slowness.
    log_sum: int

    def minus(self, other: SpeedEvidence) -> SpeedEvidence:
        """Return what is left without the other observations."""
        return SpeedEvidence(
            self.weight - other.weight, self.log_sum - other.log_sum
        )


class _Speed:
    """What this host has observed of one target."""

    __slots__ = ('at', 'log_sum', 'reported', 'reported_at', 'usual', 'weight')

    def __init__(self, now: float) -> None:
        self.weight: float = 0
        self.log_sum: float = 0
        self.at = now
        self.reported: float = 0
        self.reported_at = -math.inf
        self.usual: float = 0

    def decay(self, now: float) -> float:
        """Return the factor by which the evidence has decayed."""
        return float(0.5 ** (max(now - self.at, 0) / _HALF_LIFE_S))

    def sent(self, now: float) -> SpeedEvidence:
        """Return the evidence as other hosts get it."""
        kept = self.decay(now) * _SCALE
        return SpeedEvidence(
            round(self.weight * kept), round(self.log_sum * kept)
        )

    def present_log(self, now: float) -> float:
        """Return the momentary part of the slowness, as a logarithm."""
        age_s = now - self.reported_at
        if age_s > _REPORT_DECAY_S * 4:
            return 0
        excess = max(self.reported - self.usual, _MIN_REPORTED_LOG)
        return excess * math.exp(-age_s / _REPORT_DECAY_S)


class TargetSpeeds:
    """Slowness by target: the time that work takes relative to the usual one.

    The durations that all hosts observe give the lasting part. The target's
    own report gives the momentary part, which fades within a second.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a belief that all targets have the usual speed."""
        self._clock = clock
        self._speed_by_target: RecentEntries[str, _Speed] = RecentEntries(
            MAX_TARGETS
        )
        self._others_by_target: Mapping[str, SpeedEvidence] = {}
        self._lasting_by_target: dict[str, float] = {}
        self._lasting_until = -math.inf

    def observe(self, target: str, ratio: float, weight: float = 1) -> None:
        """Learn that a response took `ratio` times the expected duration.

        `weight` is below 1 if the expectation is uncertain.
        """
        if not 0 < ratio < math.inf or weight <= 0:
            return
        now = self._clock.monotonic()
        speed = self._speed_of(target, now)
        observed = _bounded(math.log(ratio) - speed.present_log(now))
        kept = speed.decay(now)
        speed.weight = speed.weight * kept + weight
        speed.log_sum = speed.log_sum * kept + weight * observed
        speed.at = now

    def note_report(self, target: str, slowness: float) -> None:
        """Note the slowness that a target reports of this moment."""
        now = self._clock.monotonic()
        speed = self._speed_of(target, now)
        speed.reported = _bounded(math.log(slowness))
        speed.reported_at = now
        speed.usual += (speed.reported - speed.usual) * _USUAL_GAIN

    def slowness_of(self, target: str) -> float:
        """Return the expected slowness of work that begins now."""
        now = self._clock.monotonic()
        speed = self._speed_by_target.peek(target)
        lasting = self._lasting_log(target, speed, now)
        if speed is not None:
            lasting += speed.present_log(now)
        return math.exp(_bounded(lasting))

    def without_slow_spells(
        self, targets: Sequence[_Identified]
    ) -> Sequence[_Identified]:
        """Return the targets that are not slower now than they usually are.

        All of them if there is no other.
        """
        now = self._clock.monotonic()
        calm = []
        for target in targets:
            speed = self._speed_by_target.peek(target.id)
            if speed is None or speed.present_log(now) <= _SPELL_LOG:
                calm.append(target)
        return calm or targets

    def lasting_slowness_of(self, target: str) -> float:
        """Return the slowness without reports of the present moment.

        Rounded, so that hosts with almost the same evidence agree, and
        computed once a second, since a choice needs it of all targets.
        """
        now = self._clock.monotonic()
        if now >= self._lasting_until:
            self._lasting_until = now + _LASTING_TTL_S
            self._lasting_by_target.clear()
        known = self._lasting_by_target.get(target)
        if known is None:
            speed = self._speed_by_target.peek(target)
            lasting = _bounded(self._lasting_log(target, speed, now))
            known = math.exp(round(lasting / _LOG_STEP) * _LOG_STEP)
            self._lasting_by_target[target] = known
        return known

    def evidence_by_target(self) -> dict[str, SpeedEvidence]:
        """Return what this host tells the others."""
        now = self._clock.monotonic()
        evidence = [
            (speed.sent(now), target)
            for target, speed in self._speed_by_target.by_key().items()
        ]
        heaviest = sorted(evidence, reverse=True)[:_MAX_SENT]
        return {
            target: sent
            for sent, target in heaviest
            if sent.weight >= _MIN_SENT_WEIGHT
        }

    def update_others(
        self, evidence_by_target: Mapping[str, SpeedEvidence]
    ) -> None:
        """Replace what all other hosts have observed."""
        self._others_by_target = evidence_by_target

    def _lasting_log(
        self, target: str, speed: _Speed | None, now: float
    ) -> float:
        weight = _PRIOR_WEIGHT
        log_sum: float = 0
        if speed is not None:
            kept = speed.decay(now)
            weight += speed.weight * kept
            log_sum += speed.log_sum * kept
        others = self._others_by_target.get(target)
        if others is not None and others.weight > 0:
            weight += others.weight / _SCALE
            log_sum += others.log_sum / _SCALE
        return log_sum / weight

    def _speed_of(self, target: str, now: float) -> _Speed:
        speed = self._speed_by_target.use(target)
        if speed is None:
            speed = _Speed(now)
            self._speed_by_target.store(target, speed)
        return speed


def _bounded(log_slowness: float) -> float:
    return max(_MIN_LOG, min(log_slowness, _MAX_LOG))
