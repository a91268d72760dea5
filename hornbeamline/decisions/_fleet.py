"""Pools and target records of the current fleet."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Final

from hornbeamline.decisions._health import HealthReview
from hornbeamline.decisions._plan import DeadlinePlanner, StagePlan
from hornbeamline.decisions._pool import Pool
from hornbeamline.decisions._targets import TargetRecord, entry_host_count
from hornbeamline.decisions._types import DecisionSettings, StageCall
from hornbeamline.inventory import Fleet, Stage, Target

# Sections of a fleet that pools depend on, apart from the targets.
_POOL_SECTIONS: Final = (
    'rules',
    'hosts_by_name',
    'services_by_name',
    'models_by_name',
    'pipelines_by_name',
)


class FleetState:
    """Pools and targets, whose measurements survive inventory revisions."""

    def __init__(self, settings: DecisionSettings, rng: random.Random) -> None:
        """Initialize with the host's settings and a random source."""
        self._settings = settings
        self._rng = rng
        self._unavailable: frozenset[str] = frozenset()
        self.fleet: Fleet | None = None
        self.pools_by_name: dict[str, Pool] = {}
        # Includes removed targets until their last call has ended.
        self.records_by_name: dict[str, TargetRecord] = {}

    def update(self, fleet: Fleet, now: float) -> list[Pool]:
        """Apply a new revision; return the pools of removed services."""
        old_fleet = self.fleet
        self.fleet = fleet
        if old_fleet is not None and _differs_in_targets_only(old_fleet, fleet):
            self._update_changed_targets(old_fleet, fleet, now)
            return []
        changed_models = _changed_models(old_fleet, fleet)
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
        self._update_records(fleet, fleet.targets_by_name, changed_models)
        for service, pool in pools_by_name.items():
            self._update_pool(pool, fleet, now)
            if _models_of(fleet, service) & changed_models:
                pool.reset_estimates()
        self.planner = DeadlinePlanner(fleet, pools_by_name)
        return removed

    def update_unavailable(self, targets: frozenset[str], now: float) -> None:
        """Set the targets that get no new work."""
        self._unavailable = targets
        for name, record in self.records_by_name.items():
            record.is_unavailable = name in targets
        for pool in self.pools_by_name.values():
            pool.refresh(now)

    def pool_of(self, call: StageCall) -> Pool | None:
        """Return the pool of a call's stage, or None if it was removed."""
        stages = self.stages_of(call)
        return self.pools_by_name.get(stages[0].service) if stages else None

    def stages_of(self, call: StageCall) -> tuple[Stage, ...]:
        """Return a call's stage and the later ones; empty if unknown."""
        if call.stages or self.fleet is None:
            return call.stages
        pipeline = self.fleet.pipelines_by_name.get(call.request.pipeline)
        return tuple(pipeline.stages[call.stage_index :]) if pipeline else ()

    def is_idempotent(self, call: StageCall) -> bool:
        """Return whether a call's stage is idempotent."""
        stages = self.stages_of(call)
        if self.fleet is None or not stages:
            return False
        if stages[0].service not in self.fleet.services_by_name:
            return False
        return self.fleet.stage_may_repeat(stages[0])

    def plan(self, call: StageCall, now: float) -> StagePlan:
        """Return the expected durations of a call and of later stages."""
        return self.planner.plan(self.stages_of(call), call.max_tokens, now)

    def tokens_of(self, call: StageCall) -> int:
        """Return the maximum number of tokens of a call."""
        stages = self.stages_of(call)
        if call.max_tokens or not stages:
            return call.max_tokens
        return stages[0].max_tokens

    def review(self, pipeline: str, now: float) -> None:
        """Review target health for all stages of a pipeline, if due."""
        if self.fleet is None or pipeline not in self.fleet.pipelines_by_name:
            return
        for stage in self.fleet.pipelines_by_name[pipeline].stages:
            self.review_pool(self.pools_by_name[stage.service], now)

    def review_pool(self, pool: Pool, now: float) -> None:
        """Review the health of one service's targets, if due."""
        if now >= pool.next_review_at:
            HealthReview(pool, self._rng).review(now)

    def _update_changed_targets(
        self, old: Fleet, new: Fleet, now: float
    ) -> None:
        """Apply a revision that differs from the old one in targets only."""
        before = old.targets_by_name
        after = new.targets_by_name
        changed = {
            name: entry
            for name, entry in after.items()
            if before.get(name) is not entry
        }
        services = {entry.service for entry in changed.values()}
        for name, known in before.items():
            if after.get(name) is not known:
                services.add(known.service)
        self._update_records(new, changed, set())
        for service in services:
            self._update_pool(self.pools_by_name[service], new, now)

    def _update_pool(self, pool: Pool, fleet: Fleet, now: float) -> None:
        members = {
            name: self.records_by_name[name]
            for name in fleet.targets_of(pool.name)
        }
        pool.update(fleet, members, now)

    def _update_records(
        self,
        fleet: Fleet,
        entries: Mapping[str, Target],
        changed_models: set[str],
    ) -> None:
        host_count = entry_host_count(fleet)
        models_by_service = {
            service: _models_of(fleet, service)
            for service in fleet.services_by_name
        }
        for name, entry in entries.items():
            is_local = entry.data_centre == self._settings.data_centre
            record = self.records_by_name.get(name)
            if record is None:
                record = TargetRecord(
                    name,
                    entry,
                    fleet.rules,
                    host_count,
                    is_local=is_local,
                )
                self.records_by_name[name] = record
            old = record.entry
            record.is_local = is_local
            record.is_unavailable = name in self._unavailable
            record.update_entry(entry, fleet.rules, host_count)
            has_moved = (old.address, old.service) != (
                entry.address,
                entry.service,
            )
            models = {*entry.engine.models, *models_by_service[entry.service]}
            if has_moved or models & changed_models:
                record.reset_measurements()
        for name, record in list(self.records_by_name.items()):
            if name not in fleet.targets_by_name and not record.in_flight:
                self.records_by_name.pop(name)


def _differs_in_targets_only(old: Fleet, new: Fleet) -> bool:
    """Return whether all sections that pools depend on are the same objects.

    `fleet_after` reuses the objects of unchanged sections.
    """
    return all(
        getattr(old, section) is getattr(new, section)
        for section in _POOL_SECTIONS
    )


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
