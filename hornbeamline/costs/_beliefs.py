"""What a host believes of costs, speeds and work, for services that use it."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from hornbeamline.costs._choice import Option, choose
from hornbeamline.costs._metrics import ACTUAL_TO_EXPECTED, CHOICES
from hornbeamline.costs._model import CostModel, CostParts, RequestFeatures
from hornbeamline.costs._speeds import SpeedEvidence, TargetSpeeds
from hornbeamline.costs._work import AttemptWork, WorkLeft
from hornbeamline.costs.const import MIN_COST_S
from hornbeamline.helpers.clock import Clock
from hornbeamline.telemetry import log_event

KIND_PLAIN: Final = 'plain'
KIND_ENGINE: Final = 'engine'
# Share of its cost that a request that a target reports has left on average.
_REPORTED_SHARE: Final = 0.5
# A response is not taken to have waited for more than this share of its time.
_MAX_WAIT_SHARE: Final = 0.7
# Gain of the mean cost of the requests of a service.
_MEAN_GAIN: Final = 0.05


class Candidate(NamedTuple):
    """A target that may get a request."""

    target: str
    slots: int
    # Requests that it has reported, discounted by age.
    reported: float
    # Requests that run there as far as is known.
    running: float
    uncached_tokens: int
    # Time for inputs from another data centre.
    transfer_s: float


class Beliefs:
    """Costs, speeds and work left, for the services that need them.

    A service becomes active when one of its targets has reported how long
    work takes there. Nothing is recorded for other services.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Create beliefs without an active service."""
        self._clock = clock
        self._rng = rng
        self.model = CostModel(clock)
        self.speeds = TargetSpeeds(clock)
        self.work = WorkLeft()
        self._mean_cost_s_by_service: dict[str, float] = {}

    @property
    def has_active_services(self) -> bool:
        """Return whether a target has reported how long work takes."""
        return bool(self._mean_cost_s_by_service)

    def is_active(self, service: str) -> bool:
        """Return whether targets of a service are chosen by cost."""
        return service in self._mean_cost_s_by_service

    def note_report(self, service: str, target: str, slowness: float) -> None:
        """Note how long work takes at a target now, 1.0 as usual."""
        if service not in self._mean_cost_s_by_service:
            self._mean_cost_s_by_service[service] = 0
            log_event('costs.active', service=service, target=target)
        self.speeds.note_report(target, slowness)

    def update_others(
        self,
        work_by_target: Mapping[str, float],
        evidence_by_target: Mapping[str, SpeedEvidence],
    ) -> None:
        """Replace the work and the observations of all other hosts."""
        self.work.update_others(work_by_target)
        self.speeds.update_others(evidence_by_target)

    def option(
        self,
        service: str,
        candidate: Candidate,
        parts: CostParts,
    ) -> Option:
        """Return the expected times of a request at a candidate.

        `parts` is the cost of the request without any prompt token.
        """
        target = candidate.target
        slowness = self.speeds.slowness_of(target)
        prompt_s = candidate.uncached_tokens * parts.prompt_token_s
        run_s = parts.call_s + parts.output_s + prompt_s
        # The prefill of a prompt stops the streams that run at the engine.
        delay_s = prompt_s * min(candidate.running, candidate.slots)
        return Option(
            target,
            self._wait_s(service, candidate) * slowness,
            (run_s + delay_s) * slowness,
            candidate.transfer_s,
        )

    def choose(
        self,
        service: str,
        kind: str,
        candidates: Sequence[Candidate],
        features: RequestFeatures,
    ) -> Option:
        """Return the candidate where a request is expected to end first.

        The prompt tokens of `features` are ignored, since those that are not
        cached depend on the candidate.
        """
        parts = self.model.parts(features._replace(uncached_tokens=0))
        options = [
            self.option(service, candidate, parts) for candidate in candidates
        ]
        CHOICES.labels(kind).inc()
        return choose(options, self._rng)

    def started(
        self, service: str, candidate: Candidate, features: RequestFeatures
    ) -> AttemptWork:
        """Record an attempt that starts at a target."""
        parts = self.model.parts(
            features._replace(uncached_tokens=candidate.uncached_tokens)
        )
        mean_s = self._mean_cost_s_by_service[service]
        cost_s = parts.total_s
        self._mean_cost_s_by_service[service] = (
            mean_s + (cost_s - mean_s) * _MEAN_GAIN if mean_s else cost_s
        )
        # Work that fits into the free slots causes no wait.
        wait_s = max(self._wait_s(service, candidate) - cost_s / 2, 0)
        attempt = AttemptWork(
            candidate.target,
            features._replace(uncached_tokens=candidate.uncached_tokens),
            parts,
            self.speeds.slowness_of(candidate.target),
            wait_s,
            self._clock.monotonic(),
        )
        self.work.started(attempt)
        return attempt

    def progressed(self, attempt: AttemptWork) -> None:
        """Record an event of the response of an attempt."""
        self.work.progressed(attempt, self._clock.monotonic())

    def ended(self, attempt: AttemptWork) -> None:
        """Record the end of an attempt, whatever its outcome."""
        self.work.ended(attempt)

    def completed(self, attempt: AttemptWork) -> None:
        """Learn from a complete response."""
        took_s = self._clock.monotonic() - attempt.started_at
        if took_s < MIN_COST_S:
            return
        expected_s = attempt.parts.total_s * attempt.slowness
        waited_s = min(
            attempt.wait_s * attempt.slowness, took_s * _MAX_WAIT_SHARE
        )
        ACTUAL_TO_EXPECTED.observe(took_s / (expected_s + waited_s))
        ran_s = took_s - waited_s
        confidence = self.model.confidence(attempt.features)
        self.speeds.observe(
            attempt.target, ran_s / attempt.parts.total_s, confidence
        )
        first_s = None
        if attempt.first_at is not None:
            until_first_s = attempt.first_at - attempt.started_at - waited_s
            first_s = max(until_first_s, 0) / attempt.slowness
        self.model.observe(attempt.features, ran_s / attempt.slowness, first_s)

    def _wait_s(self, service: str, candidate: Candidate) -> float:
        """Return the wait for earlier work, at the usual speed."""
        mean_s = self._mean_cost_s_by_service.get(service, 0)
        left_s = max(
            self.work.left_s(candidate.target),
            candidate.reported * mean_s * _REPORTED_SHARE,
        )
        return left_s / max(candidate.slots, 1)
