"""Routing algorithms and their registry."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple, TypeAlias

from hornbeamline.costs import Option, choose, sample
from hornbeamline.decisions._affinity import PrefixAffinity
from hornbeamline.decisions._candidates import Candidates
from hornbeamline.decisions._targets import TargetRecord
from hornbeamline.decisions._types import StageCall
from hornbeamline.inventory import RoutingRules

# Keeps hosts with the same stale load reports from all choosing one target.
_TIE_BREAK_JITTER: Final = 0.05
# Maximum load of a prefix holder, or of a local target before calls spill to
# other data centres, relative to the average load.
_BOUNDED_LOAD_FACTOR: Final = 1.25
_RAMP_PENALTY: Final = 1000
_LOAD_ALLOWANCE: Final = 0.5


class RoutingView(NamedTuple):
    """Inputs of a routing algorithm."""

    # Targets with free capacity in this host's data centre and in others.
    local_candidates: Candidates
    remote_candidates: Candidates
    # None for services without prefix affinity.
    affinity: PrefixAffinity | None
    records_by_name: dict[str, TargetRecord]
    rules: RoutingRules
    # Average load of the usable targets, relative to their limits.
    average_load: float
    decision_count: int
    now: float
    rng: random.Random


Algorithm: TypeAlias = Callable[[RoutingView, StageCall], TargetRecord | None]

_algorithms_by_name: Final[dict[str, Algorithm]] = {}


def algorithm(name: str) -> Callable[[Algorithm], Algorithm]:
    """Register an algorithm under its name in the rules."""

    def register(function: Algorithm) -> Algorithm:
        _algorithms_by_name[name] = function
        return function

    return register


def algorithm_of(name: str) -> Algorithm:
    """Return an algorithm by name; `two_choices` for unknown names."""
    return _algorithms_by_name.get(name, two_choices)


@algorithm('two_choices')
def two_choices(view: RoutingView, call: StageCall) -> TargetRecord | None:
    """Choose a prefix holder, or the less loaded of two random targets."""
    if view.affinity is not None and call.prefix:
        holder = _prefix_target(view, view.affinity, call)
        if holder is not None:
            return holder
    best = _least_loaded(
        view, view.local_candidates.sample_two(call.excluded, view.rng)
    )
    if best is not None:
        fair_load = view.average_load * _BOUNDED_LOAD_FACTOR
        threshold = min(view.rules.spill_threshold, fair_load)
        if relative_load(best, view.now) <= threshold:
            return best
    spilled = view.remote_candidates.sample_two(call.excluded, view.rng)
    if best is not None:
        spilled.append(best)
    return _least_loaded(view, spilled)


@algorithm('round_robin')
def round_robin(view: RoutingView, call: StageCall) -> TargetRecord | None:
    """Choose the targets with free capacity in turn."""
    allowed = sorted(_allowed(view, call), key=_name)
    return allowed[view.decision_count % len(allowed)] if allowed else None


@algorithm('random')
def pick_random(view: RoutingView, call: StageCall) -> TargetRecord | None:
    """Choose a random target with free capacity."""
    allowed = _allowed(view, call)
    return view.rng.choice(allowed) if allowed else None


@algorithm('least_in_flight')
def least_in_flight(view: RoutingView, call: StageCall) -> TargetRecord | None:
    """Choose the target with the fewest calls of this host in flight."""
    allowed = _allowed(view, call)
    if not allowed:
        return None
    fewest = min(record.in_flight for record in allowed)
    return view.rng.choice(
        [record for record in allowed if record.in_flight == fewest],
    )


@algorithm('least_work')
def least_work(view: RoutingView, call: StageCall) -> TargetRecord | None:
    """Choose the less expected completion time of two targets.

    The calls of a service count as equal; slow targets are drawn less often.
    """
    allowed = _allowed(view, call)
    if not allowed:
        return None
    sampled = sample(allowed, (), _slowness, view.rng)
    options = [
        Option(
            record.name,
            wait_s=relative_load(record, view.now),
            run_s=record.slowness,
        )
        for record in sampled
    ]
    return view.records_by_name[choose(options, view.rng).target]


def relative_load(record: TargetRecord, now: float) -> float:
    """Return the load relative to the limit, scaled by slowness."""
    return record.load_at(now) * record.slowness / record.slots


def _least_loaded(
    view: RoutingView,
    records: Iterable[TargetRecord],
) -> TargetRecord | None:
    best = None
    lowest: float = 0
    for record in records:
        load = (record.load_at(view.now) + 1) * record.slowness
        score = load / record.slots
        score *= 1 + _TIE_BREAK_JITTER * view.rng.random()
        # A reinstated target gets a growing fraction of its usual calls.
        if view.rng.random() > record.breaker.ramp(view.now):
            score += _RAMP_PENALTY
        if best is None or score < lowest:
            best = record
            lowest = score
    return best


def _prefix_target(
    view: RoutingView,
    affinity: PrefixAffinity,
    call: StageCall,
) -> TargetRecord | None:
    max_load = view.average_load * _BOUNDED_LOAD_FACTOR + _LOAD_ALLOWANCE
    holders = affinity.holders(call.prefix, view.now)
    found = _least_loaded(view, _below_load(view, call, holders, max_load))
    if found is not None:
        return found
    ring_targets = affinity.ring_targets(call.prefix)
    return next(iter(_below_load(view, call, ring_targets, max_load)), None)


def _below_load(
    view: RoutingView,
    call: StageCall,
    names: Iterable[str],
    max_load: float,
) -> Iterable[TargetRecord]:
    for name in names:
        record = view.records_by_name.get(name)
        if record is None or name in call.excluded:
            continue
        if (
            record not in view.local_candidates
            and record not in view.remote_candidates
        ):
            continue
        if relative_load(record, view.now) <= max_load:
            yield record


def _allowed(view: RoutingView, call: StageCall) -> list[TargetRecord]:
    local = view.local_candidates.allowed(call.excluded)
    return local + view.remote_candidates.allowed(call.excluded)


def _name(record: TargetRecord) -> str:
    return record.name


def _slowness(record: TargetRecord) -> float:
    return record.slowness
