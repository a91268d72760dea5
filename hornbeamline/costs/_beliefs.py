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
# An engine with a free slot runs a request beside the others, which only make
# its steps a little longer.
_FREE_SLOT_DELAY: Final = 0.1
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
    uncached_tokens: int
    # Time for inputs from another data centre.
    transfer_s: float
    # Requests that run there as far as is known.
    running: float = 0


class OthersView(NamedTuple):
    """How the reported work of other hosts is taken."""

    # Weight of what was reported for a single target, from 0 to 1.
    weight: float
    # Mean time that the targets need for it.
    mean_s: float


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
        self.work.update_others(work_by_target, self._clock.monotonic())
        self.speeds.update_others(evidence_by_target)

    def option(
        self,
        service: str,
        kind: str,
        candidate: Candidate,
        parts: CostParts,
        view: OthersView,
    ) -> Option:
        """Return the expected times of a request at a candidate.

        `parts` is the cost of the request without any prompt token.
        """
        target = candidate.target
        slowness = self.speeds.slowness_of(target)
        prompt_s = candidate.uncached_tokens * parts.prompt_token_s
        run_s = parts.call_s + parts.output_s + prompt_s
        wait_s = self._wait_s(service, candidate, view)
        if kind == KIND_ENGINE and candidate.running < candidate.slots:
            wait_s *= _FREE_SLOT_DELAY
        # The prefill of a prompt stops the streams that run at the engine.
        delay_s = prompt_s * min(candidate.running, candidate.slots)
        return Option(
            target,
            wait_s * slowness,
            run_s * slowness,
            candidate.transfer_s + delay_s * slowness,
        )

    def view(self, service: str, candidates: Sequence[Candidate]) -> OthersView:
        """Return how the work of other hosts is taken at the candidates.

        A view that is older than a request takes says little of a single
        target; what remains is the mean, which slow targets take longer for.
        """
        mean_s = self._mean_cost_s_by_service.get(service, 0)
        times_s = [
            self.work.others_s(candidate.target)
            * self.speeds.slowness_of(candidate.target)
            / max(candidate.slots, 1)
            for candidate in candidates
        ]
        return OthersView(
            self.work.view_weight(self._clock.monotonic(), mean_s),
            sum(times_s) / len(times_s),
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
        view = self.view(service, candidates)
        options = [
            self.option(service, kind, candidate, parts, view)
            for candidate in candidates
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
        view = self.view(service, [candidate])
        # Work that fits into the free slots causes no wait.
        wait_s = max(self._wait_s(service, candidate, view) - cost_s / 2, 0)
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
        if took_s < MIN_COST_S or not attempt.is_whole:
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

    def _wait_s(
        self, service: str, candidate: Candidate, view: OthersView
    ) -> float:
        """Return the wait for earlier work, at the usual speed."""
        target = candidate.target
        slots = max(candidate.slots, 1)
        typical_s = view.mean_s * slots / self.speeds.slowness_of(target)
        others_s = self.work.others_s(target)
        others_s = typical_s + (others_s - typical_s) * view.weight
        mean_s = self._mean_cost_s_by_service.get(service, 0)
        reported_s = candidate.reported * mean_s * _REPORTED_SHARE
        return max(self.work.own_s(target) + others_s, reported_s) / slots
