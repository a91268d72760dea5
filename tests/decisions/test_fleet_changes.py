"""Incremental fleet updates compared with full updates."""

from __future__ import annotations

import random

from hornbeamline.decisions import DecisionEngine, DecisionSettings
from hornbeamline.helpers.clock import ManualClock
from hornbeamline.inventory import (
    Operation,
    apply_operations,
    fleet_after,
    fleet_of,
    load_document,
)
from tests.common import ROOT

TARGETS = ('drafting-1', 'drafting-2', 'filing-desk-1', 'new-1')


def candidates(engine: DecisionEngine) -> dict[str, set[str]]:
    """Return the candidate targets of each pool."""
    return {
        name: {
            each.name
            for each in (
                *pool.local_candidates.records,
                *pool.remote_candidates.records,
            )
        }
        for name, pool in engine._state.pools_by_name.items()
    }


def random_change(rng: random.Random, document) -> Operation:
    """Return a change, addition or removal of one target."""
    name = rng.choice(TARGETS)
    known = document['targets_by_name'].get(name)
    if known is not None and rng.random() < 0.3:
        return Operation('remove', 'targets_by_name', name)
    table = {
        **(known or document['targets_by_name']['drafting-3']),
        'service': rng.choice(['drafting', 'filing-desk']),
        'state': rng.choice(['live', 'draining']),
        'concurrency': rng.randint(1, 9),
    }
    return Operation('put', 'targets_by_name', name, table)


def test_single_changes_lead_to_the_same_pools() -> None:
    """Guards against a target that stays a candidate of its old pool."""
    rng = random.Random(5)
    settings = DecisionSettings('entry-01', 'centro-tunja')
    document = load_document(sorted((ROOT / 'examples/tunja').glob('*.toml')))
    engine = DecisionEngine(settings, ManualClock(9), random.Random(1))
    fleet = fleet_of(document)
    engine.update_fleet(fleet)
    for _ in range(60):
        change = [random_change(rng, document)]
        document = apply_operations(document, change)
        fleet = fleet_after(fleet, document, change)
        engine.update_fleet(fleet)
        whole = DecisionEngine(settings, ManualClock(9), random.Random(1))
        whole.update_fleet(fleet_of(document))
        assert candidates(engine) == candidates(whole)
