"""Reconciliation: weight store budget, last copies and convergence."""

from __future__ import annotations

import asyncio
import random

import pytest

from hornbeamline.inventory import Fleet, OrderRules
from hornbeamline.orders import EngineReport, EngineView, plan_orders
from tests.orders.cluster import (
    FLIGHT_S,
    LEASE_S,
    Cluster,
    Engines,
    make_fleet,
)

MODELS = ('m1', 'm2', 'm3')
TARGETS = ('e1', 'e2', 'e3', 'e4')


def actions(
    fleet,
    reports: dict[str, EngineReport],
    **view,
) -> list[tuple[str, str, str]]:
    """Return target, action and model of the planned orders."""
    plan = plan_orders(EngineView(fleet, reports, **view))
    return [
        (order.key.target, order.key.action, order.key.model)
        for order in plan.orders
    ]


def report(**models: str) -> EngineReport:
    """Return the report of an engine with the wanted role."""
    return EngineReport(models=models, role='serve')


def test_last_ready_copy_is_held() -> None:
    """Guards against an unload that leaves a pipeline without its model."""
    fleet = make_fleet(
        {'e1': ['m1'], 'e2': ['m2']},
        used=('m1', 'm2'),
    )
    surplus = {'e1': report(m1='v1', m2='v1'), 'e2': report()}
    assert actions(fleet, surplus) == [('e2', 'load_model', 'm2')]
    loading = EngineReport(models={}, role='serve', loading=['m2'])
    assert actions(fleet, {**surplus, 'e2': loading}) == []
    both = {**surplus, 'e2': report(m2='v1')}
    assert actions(fleet, both) == [('e1', 'unload_model', 'm2')]
    leaving = frozenset(('e2',))
    assert actions(fleet, both, unavailable=leaving) == []
    away = frozenset((('e2', 'm2'),))
    assert actions(fleet, both, interrupted=away) == []


def test_two_surplus_copies_are_not_both_unloaded() -> None:
    """Guards against copies that justify each other's unload in one round."""
    fleet = make_fleet(
        {'e1': ['m1'], 'e2': ['m1'], 'e3': ['m2']},
        used=('m2',),
        sizes_gb={'m1': 1, 'm2': 1},
    )
    surplus = {'e1': report(m1='v1', m2='v1'), 'e2': report(m1='v1', m2='v1')}
    assert actions(fleet, surplus) == [('e1', 'unload_model', 'm2')]


def test_role_and_version_changes_take_turns() -> None:
    """Guards against all copies of a model being unavailable at once."""
    fleet = make_fleet(
        {'e1': ['m1'], 'e2': ['m1']},
        used=('m1',),
        version='v2',
    )
    old = {'e1': report(m1='v1'), 'e2': report(m1='v1')}
    assert actions(fleet, old) == [('e1', 'load_model', 'm1')]
    idle = EngineReport(models={'m1': 'v2'}, role='idle')
    roles = {'e1': idle, 'e2': idle}
    assert actions(fleet, roles) == [('e1', 'change_role', '')]
    more = make_fleet(
        {name: ['m1'] for name in TARGETS},
        used=('m1',),
        version='v2',
        min_copies=2,
    )
    assert actions(more, dict.fromkeys(TARGETS, report(m1='v1'))) == [
        ('e1', 'load_model', 'm1'),
        ('e2', 'load_model', 'm1'),
    ]
    single = make_fleet({'e1': ['m1']}, used=('m1',), version='v2')
    assert actions(single, {'e1': idle}) == []
    # The engine serves the old version until the new one is ready.
    assert actions(single, {'e1': report(m1='v1')}) == [
        ('e1', 'load_model', 'm1'),
    ]


def test_unmanaged_engine_is_left_alone() -> None:
    """Guards against unloading all models if the inventory lists none."""
    fleet = make_fleet({'e1': []})
    assert actions(fleet, {'e1': report(m1='v1')}) == []


@pytest.mark.looptime
async def test_weight_store_budget_holds_over_leader_changes() -> None:
    """Guards against a full burst after each leader change."""
    rules = OrderRules(
        weight_store_gb_per_s=2,
        weight_store_burst_gb=10,
        order_lease_s=LEASE_S,
        order_flight_s=FLIGHT_S,
    )
    sizes = {f'm{n}': float(n) for n in range(1, 10)}
    engines = Engines(random.Random(1))
    engines.load_s = 0.1
    wanted = {f'e{n}': list(sizes) for n in range(8)}
    for name in wanted:
        engines.set_models(name, {})
    fleet = make_fleet(wanted, sizes_gb=sizes, rules=rules)
    cluster = Cluster(fleet, engines, 'ab')
    await cluster.start()
    for name in 'abababab':
        cluster.elect(name)
        await asyncio.sleep(40)
    await cluster.stop()
    loads = [
        (order.at, sizes[order.body['model']]) for order in engines.received
    ]
    total = sum(sizes.values()) * len(wanted)
    assert sum(size for _, size in loads) == total
    for first in range(len(loads)):
        spent = 0.0
        for at, size in loads[first:]:
            spent += size
            allowed = 10 + 2 * (at - loads[first][0])
            # Orders of one round are written some steps after the charge.
            assert spent <= allowed + 0.2


def used_fleet(wanted: dict[str, list[str]]) -> Fleet:
    """Return a fleet whose pipeline uses all models."""
    sizes = dict.fromkeys(MODELS, 1.0)
    return make_fleet(wanted, ignoring=('e1',), used=MODELS, sizes_gb=sizes)


@pytest.mark.looptime
@pytest.mark.parametrize('seed', range(8))
async def test_last_copy_stays_and_state_converges(seed: int) -> None:
    """Guards against lost models and a state that never converges."""
    rng = random.Random(seed)
    engines = Engines(rng)
    engines.lost_answer_share = 0.2
    engines.ignores_fencing.add('e1')
    for name in TARGETS:
        engines.set_models(name, dict.fromkeys(MODELS, 'v1'))

    def draw() -> Fleet:
        wanted = {name: rng.sample(MODELS, 2) for name in TARGETS}
        wanted['e1'] = list(MODELS)
        rng.shuffle(names := list(TARGETS))
        return used_fleet(
            dict(zip(names, wanted.values(), strict=True)),
        )

    cluster = Cluster(draw(), engines, 'ab')
    await cluster.start()
    for _ in range(30):
        cluster.elect(rng.choice('ab'))
        await asyncio.sleep(rng.choice([0.5, 2, 8, 20]))
        cluster.fleet = draw()
    await asyncio.sleep(300)
    await cluster.stop()
    assert not engines.lost_models
    assert engines.unloads > 5
    for name, target in cluster.fleet.targets_by_name.items():
        found = engines.reports_by_target[name]
        assert sorted(found.models) == sorted(target.engine.models)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ('unload_s', 'new_leader'),
    [(1, False), (1, True), (10, False)],
)
async def test_unload_in_flight_is_no_ready_copy(
    unload_s: float,
    new_leader: bool,
) -> None:
    """Guards against two unloads that each count the other's copy."""
    engines = Engines(random.Random(1))
    engines.unload_s = unload_s
    engines.set_models('e1', dict.fromkeys(MODELS, 'v1'))
    engines.set_models('e2', dict.fromkeys(MODELS, 'v1'))
    first = used_fleet({'e1': ['m1', 'm2'], 'e2': list(MODELS)})
    cluster = Cluster(first, engines, 'ab')
    await cluster.start()
    cluster.elect('a')
    while not engines.received:  # noqa: ASYNC110 - engines set no event.
        await asyncio.sleep(0.01)
    # The wanted models are swapped while the unload is in flight.
    cluster.fleet = used_fleet({'e1': list(MODELS), 'e2': ['m1', 'm2']})
    if new_leader:
        cluster.elect('b')
    await asyncio.sleep(60)
    await cluster.stop()
    assert not engines.lost_models
    assert engines.unloads == 2
    assert 'm3' in engines.reports_by_target['e1'].models
