"""Pools and targets of the fleet in force."""

from __future__ import annotations

import random
from typing import Final

from hornbeamline.decisions._health import HealthReview
from hornbeamline.decisions._plan import DeadlinePlanner, StagePlan
from hornbeamline.decisions._pool import Pool
from hornbeamline.decisions._targets import TargetRecord, entry_host_count
from hornbeamline.decisions._types import DecisionSettings, StageCall
from hornbeamline.inventory import Fleet, Stage

_NOWHERE: Final = ''


class FleetState:
    """Keeps measurements across revisions of the inventory."""

    def __init__(self, settings: DecisionSettings, rng: random.Random) -> None:
        """Take the host's place and a random source."""
        self._settings = settings
        self._rng = rng
        self._unavailable: frozenset[str] = frozenset()
        self.fleet: Fleet | None = None
        self.pools_by_name: dict[str, Pool] = {}
        # Also holds removed targets until their last call ends.
        self.records_by_name: dict[str, TargetRecord] = {}

    def update(self, fleet: Fleet, now: float) -> list[Pool]:
        """Take a new revision; return the pools of removed services."""
        changed_models = _changed_models(self.fleet, fleet)
        self.fleet = fleet
        removed = [
            pool
            for name, pool in self.pools_by_name.items()
            if name not in fleet.services_by_name
        ]
        pools_by_name: dict[str, Pool] = {}
        for service in fleet.services_by_name:
            old = self.pools_by_name.get(service)
            pools_by_name[service] = old or Pool(service, fleet, self._rng)
        self.pools_by_name = pools_by_name
        self._update_records(fleet, changed_models)
        for service, pool in pools_by_name.items():
            members = {
                name: self.records_by_name[name]
                for name in fleet.targets_of(service)
            }
            pool.update(fleet, members, now)
            if _models_of(fleet, service) & changed_models:
                pool.forget()
        self.planner = DeadlinePlanner(fleet, pools_by_name)
        return removed

    def update_unavailable(self, targets: frozenset[str], now: float) -> None:
        """Take the targets that get no new work."""
        self._unavailable = targets
        for name, record in self.records_by_name.items():
            record.is_unavailable = name in targets
        for pool in self.pools_by_name.values():
            pool.measure(now)

    def pool_of(self, call: StageCall) -> Pool | None:
        """Return the pool of a call's stage, None if it is gone."""
        stages = self.stages_of(call)
        return self.pools_by_name.get(stages[0].service) if stages else None

    def stages_of(self, call: StageCall) -> tuple[Stage, ...]:
        """Return a call's stage and those after it, empty if unknown."""
        if call.stages or self.fleet is None:
            return call.stages
        pipeline = self.fleet.pipelines_by_name.get(call.request.pipeline)
        return tuple(pipeline.stages[call.stage_index :]) if pipeline else ()

    def may_repeat(self, call: StageCall) -> bool:
        """Return whether a call's stage is idempotent."""
        stages = self.stages_of(call)
        if self.fleet is None or not stages:
            return False
        if stages[0].service not in self.fleet.services_by_name:
            return False
        return self.fleet.stage_may_repeat(stages[0])

    def plan(self, call: StageCall, now: float) -> StagePlan:
        """Return the expected durations of a call and the later stages."""
        return self.planner.plan(self.stages_of(call), call.max_tokens, now)

    def tokens_of(self, call: StageCall) -> int:
        """Return the tokens that a call may produce."""
        stages = self.stages_of(call)
        if call.max_tokens or not stages:
            return call.max_tokens
        return stages[0].max_tokens

    def review(self, pipeline: str, now: float) -> None:
        """Review the targets of all stages of a pipeline."""
        if self.fleet is None or pipeline not in self.fleet.pipelines_by_name:
            return
        for stage in self.fleet.pipelines_by_name[pipeline].stages:
            self.review_pool(self.pools_by_name[stage.service], now)

    def review_pool(self, pool: Pool, now: float) -> None:
        """Review the targets of one service if that is due."""
        if now >= pool.next_review_at:
            HealthReview(pool, self._rng).review(now)

    def has_target(self, pool: Pool, excluded: frozenset[str]) -> bool:
        """Return whether any target may ever take such a call."""
        if not excluded:
            return pool.usable_count > 0
        return any(
            record.is_live and name not in excluded
            for name, record in pool.records_by_name.items()
        )

    def _update_records(self, fleet: Fleet, changed_models: set[str]) -> None:
        host_count = entry_host_count(fleet)
        for name, entry in fleet.targets_by_name.items():
            is_own = entry.data_centre == self._settings.data_centre
            record = self.records_by_name.get(name)
            if record is None:
                record = TargetRecord(
                    name,
                    entry,
                    fleet.rules,
                    host_count,
                    is_own=is_own,
                )
                self.records_by_name[name] = record
            old = record.entry
            record.is_own = is_own
            record.is_unavailable = name in self._unavailable
            record.take_entry(entry, fleet.rules, host_count)
            is_other = (old.address, old.service) != (
                entry.address,
                entry.service,
            )
            models = {*entry.engine.models, *_models_of(fleet, entry.service)}
            if is_other or models & changed_models:
                record.forget()
        for name, record in list(self.records_by_name.items()):
            if name not in fleet.targets_by_name and not record.in_flight:
                self.records_by_name.pop(name)


def _models_of(fleet: Fleet, service: str) -> set[str]:
    return {
        stage.model
        for pipeline in fleet.pipelines_by_name.values()
        for stage in pipeline.stages
        if stage.service == service and stage.model
    }


def _changed_models(old: Fleet | None, new: Fleet) -> set[str]:
    if old is None:
        return set()
    return {
        name
        for name, model in new.models_by_name.items()
        if name in old.models_by_name
        and old.models_by_name[name].version != model.version
    }
