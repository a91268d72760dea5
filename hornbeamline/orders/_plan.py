"""Planning of orders from the wanted and the reported engine state."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from hornbeamline.inventory import Fleet, Target, TargetState
from hornbeamline.orders._messages import EngineReport, Order, OrderKey
from hornbeamline.orders.const import (
    ACTION_CHANGE_ROLE,
    ACTION_LOAD_ADAPTER,
    ACTION_LOAD_MODEL,
    ACTION_UNLOAD_MODEL,
    ADAPTER_SIZE_GB,
)


class EngineView(NamedTuple):
    """Input of a plan: wanted state, reports and pending orders."""

    fleet: Fleet
    # Engines that answered in this round; others count as having no copies.
    reports_by_target: Mapping[str, EngineReport]
    # Targets that get no new work according to membership.
    unavailable: frozenset[str] = frozenset()
    # Target and model of copies that pending orders may interrupt.
    interrupted: frozenset[tuple[str, str]] = frozenset()
    # Orders that are waiting for their effect or for a retry.
    blocked: frozenset[OrderKey] = frozenset()


class Plan(NamedTuple):
    """Orders to send, at most one per target."""

    orders: list[Order]
    # Number of orders held back, because they would leave too few ready copies
    # of a model.
    held: int


def is_managed(target: Target) -> bool:
    """Return whether a target gets orders.

    Targets without models in their `engine` table get none, so that an
    inventory that does not list models does not unload all models.
    """
    return bool(target.engine.models)


def has_effect(key: OrderKey, report: EngineReport) -> bool:
    """Return whether a report shows the effect of an interrupting order."""
    if key.action == ACTION_UNLOAD_MODEL:
        return key.model not in report.models
    if key.action == ACTION_CHANGE_ROLE:
        return report.role == key.role
    return report.models.get(key.model) == key.version


def plan_orders(view: EngineView) -> Plan:
    """Plan the next orders that bring engines to the wanted state."""
    planner = _Planner(view)
    orders = []
    for name in sorted(view.reports_by_target):
        order = planner.next_order(name)
        if order is not None:
            orders.append(order)
    return Plan(orders, planner.held)


class _Planner:
    def __init__(self, view: EngineView) -> None:
        self.held = 0
        self._view = view
        self._fleet = view.fleet
        self._used_models = {
            stage.model
            for pipeline in view.fleet.pipelines_by_name.values()
            for stage in pipeline.stages
            if stage.model
        }
        self._wanted_copies = Counter(
            model
            for name, target in view.fleet.targets_by_name.items()
            if self._accepts_work(name)
            for model in target.engine.models
        )
        self._ready_by_model: dict[str, set[str]] = {}
        for name, report in view.reports_by_target.items():
            if self._accepts_work(name):
                self._add_ready_copies(name, report)

    def next_order(self, name: str) -> Order | None:
        target = self._fleet.targets_by_name.get(name)
        if target is None or not self._accepts_work(name):
            return None
        if not is_managed(target):
            return None
        report = self._view.reports_by_target[name]
        for order in self._candidates(name, target, report):
            if order.key in self._view.blocked:
                continue
            for model in order.interrupts:
                self._ready_by_model.get(model, set()).discard(name)
            return order
        return None

    def _candidates(
        self,
        name: str,
        target: Target,
        report: EngineReport,
    ) -> Iterator[Order]:
        yield from self._role_changes(name, target, report)
        # Unloads come before loads, which may need their memory.
        yield from self._unloads(name, target, report)
        for model in target.engine.models:
            if model not in report.loading:
                yield from self._loads(name, model, report)

    def _role_changes(
        self,
        name: str,
        target: Target,
        report: EngineReport,
    ) -> Iterator[Order]:
        role = target.engine.role
        if report.role == role:
            return
        if all(
            self._may_interrupt(name, model, min_ready=1)
            for model in report.models
        ):
            key = OrderKey(name, ACTION_CHANGE_ROLE, role=role)
            yield Order(key, interrupts=frozenset(report.models))
        else:
            self.held += 1

    def _unloads(
        self,
        name: str,
        target: Target,
        report: EngineReport,
    ) -> Iterator[Order]:
        for model, version in sorted(report.models.items()):
            if model in target.engine.models:
                continue
            if self._may_unload(name, model):
                key = OrderKey(
                    name,
                    ACTION_UNLOAD_MODEL,
                    model,
                    version=version,
                )
                yield Order(key, interrupts=frozenset((model,)))
            else:
                self.held += 1

    def _loads(
        self,
        name: str,
        model: str,
        report: EngineReport,
    ) -> Iterator[Order]:
        entry = self._fleet.models_by_name[model]
        version = entry.version
        if report.models.get(model) != version:
            key = OrderKey(name, ACTION_LOAD_MODEL, model, version=version)
            if model not in report.models:
                yield Order(key, entry.size_gb)
            elif self._may_interrupt(name, model, min_ready=0):
                # The engine serves the old version until the new one is
                # ready, so even the only copy can be replaced.
                interrupts = frozenset((model,))
                yield Order(key, entry.size_gb, interrupts)
            else:
                self.held += 1
            return
        loaded = (report.adapters or {}).get(model, [])
        for adapter in entry.adapters:
            if adapter not in loaded and adapter not in report.loading:
                key = OrderKey(
                    name,
                    ACTION_LOAD_ADAPTER,
                    model,
                    adapter,
                    version,
                )
                yield Order(key, ADAPTER_SIZE_GB)

    def _may_unload(self, name: str, model: str) -> bool:
        """Return whether enough other copies are ready."""
        if model not in self._used_models:
            return True
        return self._other_copies(name, model) >= self._min_copies(model)

    def _may_interrupt(self, name: str, model: str, *, min_ready: int) -> bool:
        """Return whether a copy may be unavailable for a time.

        Keeps `min_copies` ready where the fleet has more copies than that.
        Otherwise copies are interrupted one at a time, with at least
        `min_ready` others ready.
        """
        if model not in self._used_models:
            return True
        others_wanted = self._wanted_copies[model] - 1
        required = min(self._min_copies(model), others_wanted)
        return self._other_copies(name, model) >= max(required, min_ready)

    def _min_copies(self, model: str) -> int:
        entry = self._fleet.models_by_name.get(model)
        return 1 if entry is None else entry.min_copies

    def _other_copies(self, name: str, model: str) -> int:
        ready = self._ready_by_model.get(model, set())
        return len(ready) - (name in ready)

    def _accepts_work(self, name: str) -> bool:
        target = self._fleet.targets_by_name.get(name)
        if target is None or target.state is not TargetState.live:
            return False
        return name not in self._view.unavailable

    def _add_ready_copies(self, name: str, report: EngineReport) -> None:
        for model in report.models:
            is_interrupted = (name, model) in self._view.interrupted
            if not is_interrupted and model not in report.loading:
                self._ready_by_model.setdefault(model, set()).add(name)
