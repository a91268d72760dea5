"""Selection of a target for a request; does no I/O."""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Collection, Mapping, Sequence
from typing import Final, NamedTuple

from hornbeamline.costs import (
    KIND_ENGINE,
    KIND_PLAIN,
    AttemptWork,
    Beliefs,
    Candidate,
    RecentEntries,
    RequestFeatures,
    sample,
)
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._types import (
    CallerRequest,
    Target,
    TargetLoad,
)
from hornbeamline.helpers.clock import Clock

# Time constant of the exponential decay of a reported load, which is outdated
# after about a second.
LOAD_DECAY_S: Final = 1.0
# Consecutive failures until a target is ejected, and the time for which it
# then gets requests only if no other target is left.
EJECT_AFTER_FAILURES: Final = 2
EJECT_S: Final = 2.0
# Costs of sending a request to an engine, in seconds of waiting: a running
# request slows the steps of all others by 2 %; the prefill of a token that is
# not cached blocks all others, so it counts twice the time that it takes
# (50 to 60 tokens/ms); inputs from another data centre wait for the link.
_RUNNING_COST_S: Final = 0.005
_TOKEN_COST_S: Final = 1 / 20_000
_REMOTE_BYTE_COST_S: Final = 30e-9
# Number of records of cached prompt parts above which expired records are
# evicted, and the lifetime of a record.
_EVICT_ABOVE_PARTS: Final = 4096
_CACHE_TTL_S: Final = 30.0
_HASH_RANGE: Final = 2**64


class _LoadReport(NamedTuple):
    load: TargetLoad
    at: float


class _Failures(NamedTuple):
    consecutive: int
    at: float


class PickCriteria(NamedTuple):
    """Request properties that the selection of a target depends on."""

    request: CallerRequest
    # Size of the inputs by the data centre that holds them.
    input_bytes_by_data_centre: Mapping[str, int]
    # Ids of targets that must not be selected, such as those already tried.
    excluded: Collection[str]
    route: str = ''
    # Name of the client account; empty if there is none.
    account: str = ''

    @classmethod
    def of_job(cls, job: Job, excluded: Collection[str] = ()) -> PickCriteria:
        """Return the criteria for the request of a job."""
        return cls(
            job.request,
            job.input_bytes_by_data_centre,
            excluded,
            job.route.name,
            '' if job.account is None else job.account.name,
        )

    @property
    def features(self) -> RequestFeatures:
        """Return what the cost of the request depends on."""
        return RequestFeatures(
            self.route,
            self.request.prompt_tokens,
            self.request.max_output_tokens,
            self.account,
        )


class TargetPicker:
    """Select targets by load, recent failures and cached prompt parts."""

    def __init__(
        self,
        data_centre: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a picker for an entry host in `data_centre`."""
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._in_flight_by_target: dict[str, int] = {}
        self._remote_in_flight_by_target: dict[str, int] = {}
        self._reported_by_target: dict[str, _LoadReport] = {}
        self._failures_by_target: dict[str, _Failures] = {}
        self._cached_at_by_part: dict[tuple[str, str], float] = {}
        # Preferred engines of the last choices by cost, by prompt part.
        self._engine_by_part: RecentEntries[str, str] = RecentEntries(
            _EVICT_ABOVE_PARTS
        )
        self.beliefs = Beliefs(clock, rng)

    @property
    def in_flight_by_target(self) -> dict[str, int]:
        """Return the in-flight requests of this host by target id."""
        return {
            target: count
            for target, count in self._in_flight_by_target.items()
            if count
        }

    def update_remote_in_flight(
        self, in_flight_by_target: Mapping[str, int]
    ) -> None:
        """Replace the in-flight requests of all other entry hosts."""
        self._remote_in_flight_by_target = dict(in_flight_by_target)

    def attempt_started(
        self, target: Target, criteria: PickCriteria | None = None
    ) -> AttemptWork | None:
        """Count an attempt as in flight.

        Return the record of its work if targets are chosen by cost.
        """
        work = None
        if criteria is not None and self.beliefs.is_active(target.service):
            candidate = self._cost_candidate(
                target, criteria, self._known_engines(criteria)
            )
            work = self.beliefs.started(
                target.service, candidate, criteria.features
            )
        in_flight = self._in_flight_by_target
        in_flight[target.id] = in_flight.get(target.id, 0) + 1
        return work

    def attempt_ended(
        self, target: Target, work: AttemptWork | None = None
    ) -> None:
        """Stop counting an attempt as in flight."""
        if work is not None:
            self.beliefs.ended(work)
        left = self._in_flight_by_target.get(target.id, 1) - 1
        if left > 0:
            self._in_flight_by_target[target.id] = left
        else:
            self._in_flight_by_target.pop(target.id, None)

    def record_load(self, target: Target, load: TargetLoad) -> None:
        """Record the load that a target reported with a response."""
        self._reported_by_target[target.id] = _LoadReport(
            load,
            self._clock.monotonic(),
        )
        if load.slowness is not None:
            self.beliefs.note_report(target.service, target.id, load.slowness)

    def record_failure(self, target: Target) -> bool:
        """Record a failed attempt; return whether the target is ejected."""
        known = self._failures_by_target.get(target.id)
        count = 1 if known is None else known.consecutive + 1
        self._failures_by_target[target.id] = _Failures(
            count,
            self._clock.monotonic(),
        )
        return count >= EJECT_AFTER_FAILURES

    def eject(self, target: Target) -> None:
        """Eject a target for `EJECT_S` seconds, whatever its failure count."""
        self._failures_by_target[target.id] = _Failures(
            EJECT_AFTER_FAILURES,
            self._clock.monotonic(),
        )

    def record_success(
        self, target: Target, work: AttemptWork | None = None
    ) -> None:
        """Reset the failure count of a target, and learn from its response."""
        self._failures_by_target.pop(target.id, None)
        if work is not None:
            self.beliefs.completed(work)

    def record_prompt(self, target: Target, request: CallerRequest) -> None:
        """Record that a target has cached the shared parts of a prompt."""
        now = self._clock.monotonic()
        for part in request.shared_parts:
            self._cached_at_by_part[(part.id, target.id)] = now
        if len(self._cached_at_by_part) > _EVICT_ABOVE_PARTS:
            oldest = now - _CACHE_TTL_S
            self._cached_at_by_part = {
                key: at
                for key, at in self._cached_at_by_part.items()
                if at >= oldest
            }

    def pick(
        self, targets: Sequence[Target], criteria: PickCriteria
    ) -> Target | None:
        """Return a target for a request that is not a stream, or None.

        Takes the less loaded of two random candidates.
        """
        candidates = self._candidates(targets, criteria.excluded)
        if not candidates:
            return None
        if self.beliefs.is_active(candidates[0].service):
            return self._pick_by_cost(candidates, criteria, KIND_PLAIN)
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=self.load_per_slot)

    def pick_engine(
        self,
        targets: Sequence[Target],
        criteria: PickCriteria,
    ) -> Target | None:
        """Return the engine with the lowest cost for a prompt, or None."""
        candidates = self._candidates(targets, criteria.excluded)
        if not candidates:
            return None
        if self.beliefs.is_active(candidates[0].service):
            return self._pick_by_cost(candidates, criteria, KIND_ENGINE)
        engine_by_part = _preferred_engines(candidates, criteria.request)
        return min(
            candidates,
            key=lambda target: self._engine_cost_s(
                target, criteria, engine_by_part
            ),
        )

    def is_ejected(self, target: Target) -> bool:
        """Return whether a target gets requests only if no other is left."""
        failures = self._failures_by_target.get(target.id)
        if failures is None or failures.consecutive < EJECT_AFTER_FAILURES:
            return False
        return self._clock.monotonic() - failures.at < EJECT_S

    def load_per_slot(self, target: Target) -> float:
        """Return the expected number of requests per slot of a target."""
        return self._expected_load(target) / max(target.slots, 1)

    def _pick_by_cost(
        self,
        targets: Sequence[Target],
        criteria: PickCriteria,
        kind: str,
    ) -> Target:
        """Return the target with the least expected completion time."""
        targets = self.beliefs.speeds.without_slow_spells(targets)
        engine_by_part: dict[str, str] = {}
        holders: set[str] = set()
        parts = criteria.request.shared_parts
        if kind == KIND_ENGINE and parts:
            lasting = self.beliefs.speeds.lasting_slowness_of
            slowness_by_target = {
                target.id: lasting(target.id) for target in targets
            }
            engine_by_part = {
                part.id: _preferred_by_speed(slowness_by_target, part.id)
                for part in parts
            }
            for part_id, engine in engine_by_part.items():
                self._engine_by_part.store(part_id, engine)
            holders = {
                target.id
                for target in targets
                if any(
                    self._is_cached(part.id, target.id, engine_by_part)
                    for part in parts
                )
            }
        always = [target for target in targets if target.id in holders]
        slowness_of = self.beliefs.speeds.slowness_of
        sampled = sample(
            targets, always, lambda target: slowness_of(target.id), self._rng
        )
        chosen = self.beliefs.choose(
            sampled[0].service,
            kind,
            [
                self._cost_candidate(target, criteria, engine_by_part)
                for target in sampled
            ],
            criteria.features,
        )
        return next(target for target in sampled if target.id == chosen.target)

    def _known_engines(self, criteria: PickCriteria) -> dict[str, str]:
        """Return the engines that were preferred by the last choices."""
        return {
            part.id: self._engine_by_part.peek(part.id) or ''
            for part in criteria.request.shared_parts
        }

    def _cost_candidate(
        self,
        target: Target,
        criteria: PickCriteria,
        engine_by_part: Mapping[str, str],
    ) -> Candidate:
        request = criteria.request
        cached_tokens = sum(
            part.tokens
            for part in request.shared_parts
            if self._is_cached(part.id, target.id, engine_by_part)
        )
        remote = remote_bytes(
            criteria.input_bytes_by_data_centre, target.data_centre
        )
        return Candidate(
            target.id,
            target.slots,
            self._reported_load(target),
            max(request.prompt_tokens - cached_tokens, 0),
            remote * _REMOTE_BYTE_COST_S,
            self._expected_load(target),
        )

    def _expected_load(self, target: Target) -> float:
        own = self._in_flight_by_target.get(target.id, 0)
        known = own + self._remote_in_flight_by_target.get(target.id, 0)
        return max(known, self._reported_load(target))

    def _reported_load(self, target: Target) -> float:
        """Return the requests that a target reported, discounted by age."""
        reported = self._reported_by_target.get(target.id)
        if reported is None:
            return 0
        age_s = self._clock.monotonic() - reported.at
        reported_load = reported.load.running + reported.load.waiting
        weight = math.exp(-age_s / LOAD_DECAY_S)
        # Rounding keeps the remainder of an old report from deciding between
        # idle targets.
        return round(reported_load * weight, 1)

    def _engine_cost_s(
        self,
        target: Target,
        criteria: PickCriteria,
        engine_by_part: Mapping[str, str],
    ) -> float:
        uncached_tokens = sum(
            part.tokens
            for part in criteria.request.shared_parts
            if not self._is_cached(part.id, target.id, engine_by_part)
        )
        return (
            self._expected_load(target) * _RUNNING_COST_S
            + uncached_tokens * _TOKEN_COST_S
            + remote_bytes(
                criteria.input_bytes_by_data_centre,
                target.data_centre,
            )
            * _REMOTE_BYTE_COST_S
        )

    def _is_cached(
        self,
        part_id: str,
        target_id: str,
        engine_by_part: Mapping[str, str],
    ) -> bool:
        if engine_by_part.get(part_id) == target_id:
            return True
        cached_at = self._cached_at_by_part.get((part_id, target_id))
        if cached_at is None:
            return False
        return self._clock.monotonic() - cached_at < _CACHE_TTL_S

    def _candidates(
        self,
        targets: Sequence[Target],
        excluded: Collection[str],
    ) -> list[Target]:
        untried = [target for target in targets if target.id not in excluded]
        healthy = [target for target in untried if not self.is_ejected(target)]
        return healthy or untried


def remote_bytes(
    bytes_by_data_centre: Mapping[str, int],
    data_centre: str,
) -> int:
    """Return the number of bytes stored in other data centres."""
    return sum(
        size
        for stored_in, size in bytes_by_data_centre.items()
        if stored_in != data_centre
    )


def _preferred_engines(
    targets: Sequence[Target],
    request: CallerRequest,
) -> dict[str, str]:
    """Return the preferred engine for each shared part of the prompt.

    Rendezvous hashing lets all hosts choose the same engine.
    """
    return {
        part.id: _preferred_engine(targets, part.id)
        for part in request.shared_parts
    }


def _preferred_engine(targets: Sequence[Target], part_id: str) -> str:
    best = max(targets, key=lambda target: _rendezvous_hash(part_id, target.id))
    return best.id


def _preferred_by_speed(
    slowness_by_target: Mapping[str, float], part_id: str
) -> str:
    """Return the preferred engine; slow ones are preferred less often.

    Weighted rendezvous hashing: a hash becomes an exponential variable, of
    which the smallest one after scaling wins in proportion to the speed.
    """
    return min(
        slowness_by_target,
        key=lambda target_id: (
            -math.log(_unit_hash(part_id, target_id))
            * slowness_by_target[target_id]
        ),
    )


def _unit_hash(part_id: str, target_id: str) -> float:
    """Return a hash that is above 0 and at most 1."""
    digest = int.from_bytes(_rendezvous_hash(part_id, target_id))
    return (digest + 1) / _HASH_RANGE


def _rendezvous_hash(part_id: str, target_id: str) -> bytes:
    return hashlib.blake2b(
        f'{part_id}/{target_id}'.encode(),
        digest_size=8,
    ).digest()
