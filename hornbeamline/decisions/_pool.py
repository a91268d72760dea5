"""State of one service and its targets on this host."""

from __future__ import annotations

import random
from collections import Counter
from typing import Final

from hornbeamline.decisions._affinity import PrefixAffinity
from hornbeamline.decisions._backlog import Backlog
from hornbeamline.decisions._budgets import AttemptBudget
from hornbeamline.decisions._candidates import Candidates
from hornbeamline.decisions._estimates import ServiceEstimates
from hornbeamline.decisions._limits import IdleDuration
from hornbeamline.decisions._queue import FairQueue, FairTags
from hornbeamline.decisions._rates import RateMeter
from hornbeamline.decisions._routing import (
    RoutingView,
    algorithm_of,
    relative_load,
)
from hornbeamline.decisions._targets import TargetRecord
from hornbeamline.decisions._types import StageCall
from hornbeamline.inventory import Fleet, ServiceKind

_MS_PER_S: Final = 1000
_DEMAND_GAIN: Final = 0.1
_DEFAULT_TOKENS: Final = 64
# Above this load relative to the limits, hedges would only lengthen queues.
_HEDGE_MAX_LOAD: Final = 0.8
# Maximum number of due probes that are considered per call.
_PROBE_TRIES: Final = 4


class Pool:
    """Queue, estimates, budgets and targets of one service."""

    def __init__(self, name: str, fleet: Fleet, rng: random.Random) -> None:
        """Initialize with the service's name and the current fleet."""
        self.name = name
        self.rng = rng
        self.backlog = Backlog()
        self.tags = FairTags()
        self.local_candidates = Candidates()
        self.remote_candidates = Candidates()
        # Targets that are due for a probe by the next suitable call.
        self.probes: list[TargetRecord] = []
        self.records_by_name: dict[str, TargetRecord] = {}
        self.queue = FairQueue(fleet.rules.admission.queue_length)
        self.retry_budget = AttemptBudget(fleet.rules.retry.budget)
        self.hedge_budget = AttemptBudget(fleet.rules.hedge.budget)
        self.affinity = PrefixAffinity()
        self.usable_count = 0
        self.in_flight = 0
        self.demand: float = 0
        self.limit_sum = 0
        self.average_load: float = 0
        self.served = RateMeter()
        self.served_per_s: float = 0
        self.decision_count = 0
        self.next_review_at: float = 0
        self._update_rules(fleet)
        self.reset_estimates()

    def reset_estimates(self) -> None:
        """Discard the estimates, for example after a change of model."""
        self.estimates = ServiceEstimates(self.entry, self.usual_tokens)
        self.idle_duration = IdleDuration(self.entry.expected_ms / _MS_PER_S)

    def update(
        self,
        fleet: Fleet,
        records_by_name: dict[str, TargetRecord],
        now: float,
    ) -> None:
        """Apply a new revision and the service's targets."""
        self._update_rules(fleet)
        self.queue.max_length = fleet.rules.admission.queue_length
        self.retry_budget.fraction = fleet.rules.retry.budget
        self.hedge_budget.fraction = fleet.rules.hedge.budget
        self.records_by_name = records_by_name
        self.local_candidates.clear()
        self.remote_candidates.clear()
        self.probes.clear()
        self.affinity.update_targets(frozenset(records_by_name))
        self.refresh(now)

    def update_candidacy(self, record: TargetRecord) -> None:
        """Add or remove a target as a candidate after a change of its state."""
        candidates = (
            self.local_candidates if record.is_local else self.remote_candidates
        )
        is_member = self.records_by_name.get(record.name) is record
        if is_member and record.has_room and record.is_usable:
            candidates.add(record)
        else:
            candidates.discard(record)

    def refresh(self, now: float) -> None:
        """Recompute the candidates and the totals over usable targets."""
        records = self.records_by_name.values()
        for each in records:
            each.limit.review(now)
            self.update_candidacy(each)
        live = [record for record in records if record.is_live]
        # If all live targets are ejected, only their probe slots count.
        usable = [record for record in live if record.is_usable] or live
        self.usable_count = len(usable)
        self.limit_sum = sum(record.slots for record in usable)
        self.served_per_s = self.served.per_s(now)
        loads = [relative_load(record, now) for record in usable]
        self.average_load = sum(loads) / len(loads) if loads else 0

    def update_demand(self) -> None:
        """Update the average of calls in flight and queued at a dispatch."""
        needed = self.in_flight + len(self.queue)
        self.demand += _DEMAND_GAIN * (needed - self.demand)

    @property
    def capacity_per_s(self) -> float:
        """Return the calls per second that this host can complete.

        Limits and durations adapt at different speeds when the load changes,
        so the measured throughput serves as a lower bound.
        """
        if not self.limit_sum:
            return 0
        return max(self.served_per_s, self.limit_sum / self.estimates.mean_s)

    def choose(
        self,
        call: StageCall,
        spare_s: float,
        now: float,
    ) -> TargetRecord | None:
        """Return a target with free capacity for a call, or None.

        `spare_s` is the time by which the call may exceed its usual duration.
        It must cover the extra time of a probe of a slow target.
        """
        probe = self._due_probe(call, spare_s, now)
        if probe is not None:
            return probe
        if call.software_version is not None:
            excluded = self.excluded_targets(call)
            call = call._replace(excluded=excluded)
            last_resort = self._last_resort(call)
            if last_resort is not None:
                return last_resort
        if (
            not self.local_candidates.records
            and not self.remote_candidates.records
        ):
            return None
        self.decision_count += 1
        view = RoutingView(
            self.local_candidates,
            self.remote_candidates,
            self.affinity if self._uses_prefixes else None,
            self.records_by_name,
            self.rules.routing,
            self.average_load,
            self.decision_count,
            now,
            self.rng,
        )
        return self._algorithm(view, call)

    def excluded_targets(self, call: StageCall) -> frozenset[str]:
        """Return the targets that must not get a call.

        For a call that requires a version, these include all targets of other
        versions. Targets that have been tried may be tried again when no
        other target of the version accepts work, except by a hedge.
        """
        if call.software_version is None:
            return call.excluded
        same_version = {
            name: record
            for name, record in self.records_by_name.items()
            if record.software_version == call.software_version
        }
        others = self.records_by_name.keys() - same_version.keys()
        is_any_untried = any(
            record.accepts_resumption and name not in call.excluded
            for name, record in same_version.items()
        )
        if is_any_untried or call.is_hedge:
            return call.excluded.union(others)
        return frozenset(others)

    def has_target(self, call: StageCall) -> bool:
        """Return whether any target may take a call, now or later."""
        excluded = self.excluded_targets(call)
        if not excluded:
            return self.usable_count > 0
        is_bound = call.software_version is not None
        return any(
            record.accepts_resumption if is_bound else record.is_live
            for name, record in self.records_by_name.items()
            if name not in excluded
        )

    def live_by_version(self) -> dict[str, int]:
        """Return the number of live targets by software version."""
        return Counter(
            record.software_version
            for record in self.records_by_name.values()
            if record.is_live
        )

    def has_spare_capacity(self) -> bool:
        """Return whether the load is low enough for hedges."""
        if self.queue or not (
            self.local_candidates.records or self.remote_candidates.records
        ):
            return False
        return self.average_load < _HEDGE_MAX_LOAD

    def has_capacity_without(self, record: TargetRecord) -> bool:
        """Return whether the other usable targets can carry the demand."""
        rest = self.limit_sum
        if record.is_usable:
            rest -= record.slots
        return rest > 0 and rest >= self.demand

    def has_other_usable(self, record: TargetRecord) -> bool:
        """Return whether any other target is usable."""
        return any(
            other.is_usable
            for other in self.records_by_name.values()
            if other is not record
        )

    def _last_resort(self, call: StageCall) -> TargetRecord | None:
        """Return the best ejected target with room if none is usable."""
        if call.is_hedge:
            return None
        live = [
            record
            for name, record in self.records_by_name.items()
            if record.is_live and name not in call.excluded
        ]
        if any(record.is_usable for record in live):
            return None
        return min(
            (record for record in live if record.has_room),
            key=_ejection_order,
            default=None,
        )

    def _due_probe(
        self,
        call: StageCall,
        spare_s: float,
        now: float,
    ) -> TargetRecord | None:
        if not self.probes or call.is_hedge or call.attempt > 1:
            return None
        for record in self.probes[:_PROBE_TRIES]:
            extra_s = (record.slowness - 1) * self.estimates.mean_s
            is_allowed = record.is_live and record.name not in call.excluded
            if is_allowed and record.has_room and extra_s <= spare_s:
                self.probes.remove(record)
                return record
        return None

    def _update_rules(self, fleet: Fleet) -> None:
        self.entry = fleet.services_by_name[self.name]
        self.rules = fleet.rules
        self._algorithm = algorithm_of(fleet.rules.routing.algorithm)
        self._uses_prefixes = (
            self.entry.kind is ServiceKind.generation
            and fleet.rules.routing.prefix_affinity
        )
        self.usual_tokens = next(
            (
                stage.max_tokens
                for pipeline in fleet.pipelines_by_name.values()
                for stage in pipeline.stages
                if stage.service == self.name
            ),
            _DEFAULT_TOKENS,
        )


def _ejection_order(record: TargetRecord) -> tuple[bool, float]:
    """Sort slow targets before failing ones."""
    return record.breaker.is_open, record.slowness
