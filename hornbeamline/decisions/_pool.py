"""The targets of one service with everything this host knows of them."""

from __future__ import annotations

import random
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
# Above this load per limit, extra attempts would only lengthen queues.
_SPARE_LOAD: Final = 0.8
# Bounds the search for a probe that suits a call.
_PROBE_TRIES: Final = 4


class Pool:
    """One service: its queue, estimates, budgets and targets."""

    def __init__(self, name: str, fleet: Fleet, rng: random.Random) -> None:
        """Take the service's name and the first fleet."""
        self.name = name
        self.rng = rng
        self.backlog = Backlog()
        self.tags = FairTags()
        self.own = Candidates()
        self.others = Candidates()
        # Targets to try with the next suitable call.
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
        self.decisions = 0
        self.next_review_at: float = 0
        self._take_rules(fleet)
        self.forget()

    def forget(self) -> None:
        """Drop the estimates, for example after a change of model."""
        self.estimates = ServiceEstimates(self.entry, self.usual_tokens)
        self.idle = IdleDuration(self.entry.expected_ms / _MS_PER_S)

    def update(
        self,
        fleet: Fleet,
        records_by_name: dict[str, TargetRecord],
        now: float,
    ) -> None:
        """Take a new revision and the service's targets."""
        self._take_rules(fleet)
        self.queue.length = fleet.rules.admission.queue_length
        self.retry_budget.fraction = fleet.rules.retry.budget
        self.hedge_budget.fraction = fleet.rules.hedge.budget
        self.records_by_name = records_by_name
        self.own.clear()
        self.others.clear()
        self.probes.clear()
        self.affinity.update_targets(frozenset(records_by_name))
        self.measure(now)

    def sync(self, record: TargetRecord) -> None:
        """Let a target take calls or not, after any change of its state."""
        candidates = self.own if record.is_own else self.others
        is_member = self.records_by_name.get(record.name) is record
        if is_member and record.has_room and record.is_usable:
            candidates.add(record)
        else:
            candidates.discard(record)

    def measure(self, now: float) -> None:
        """Recompute which targets have room, and the sums over them."""
        records = self.records_by_name.values()
        for each in records:
            each.limit.review(now)
            self.sync(each)
        live = [record for record in records if record.is_live]
        # When all live targets are ejected, their probes are all there is.
        usable = [record for record in live if record.is_usable] or live
        self.usable_count = len(usable)
        self.limit_sum = sum(record.slots for record in usable)
        self.served_per_s = self.served.per_s(now)
        loads = [relative_load(record, now) for record in usable]
        self.average_load = sum(loads) / len(loads) if loads else 0

    def note_demand(self) -> None:
        """Average the calls in progress and in the queue, per dispatch."""
        needed = self.in_flight + len(self.queue)
        self.demand += _DEMAND_GAIN * (needed - self.demand)

    @property
    def per_s(self) -> float:
        """Return the calls per second that this host can get through.

        Limits and durations lag behind each other when the load changes;
        the rate that targets did serve is a lower bound.
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
        """Return a target with room for a call, or None.

        `spare_s` is the time that the call may take on top of its usual
        duration; a probe of a slow target needs it.
        """
        probe = self._due_probe(call, spare_s, now)
        if probe is not None:
            return probe
        if not self.own.records and not self.others.records:
            return None
        self.decisions += 1
        view = RoutingView(
            self.own,
            self.others,
            self.affinity if self._uses_prefixes else None,
            self.records_by_name,
            self.rules.routing,
            self.average_load,
            self.decisions,
            now,
            self.rng,
        )
        return self._algorithm(view, call)

    def has_spare(self) -> bool:
        """Return whether targets are idle enough for extra attempts."""
        if self.queue or not (self.own.records or self.others.records):
            return False
        return self.average_load < _SPARE_LOAD

    def rest_can_carry(self, record: TargetRecord) -> bool:
        """Return whether the load fits on the other usable targets."""
        rest = self.limit_sum
        if record.is_usable:
            rest -= record.slots
        return rest > 0 and rest >= self.demand

    def has_others(self, record: TargetRecord) -> bool:
        """Return whether any other target is usable."""
        return any(
            other.is_usable
            for other in self.records_by_name.values()
            if other is not record
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

    def _take_rules(self, fleet: Fleet) -> None:
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
