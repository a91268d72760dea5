"""Routing algorithms behind a decorator registry."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple, TypeAlias

from hornbeamline.decisions._affinity import PrefixAffinity
from hornbeamline.decisions._candidates import Candidates
from hornbeamline.decisions._targets import TargetRecord
from hornbeamline.decisions._types import StageCall
from hornbeamline.inventory import RoutingRules

# Hosts with the same stale reports must not all pick the same target.
_TIE_BREAK: Final = 0.05
# A prefix holder may carry this much more than the average target.
_BOUNDED_LOAD: Final = 1.25
_NOT_YET: Final = 1000
_LOAD_STEP: Final = 0.5


class RoutingView(NamedTuple):
    """What an algorithm may look at."""

    # Targets with room in the own and in other data centres.
    own: Candidates
    others: Candidates
    # None for services without prefix affinity.
    affinity: PrefixAffinity | None
    records_by_name: dict[str, TargetRecord]
    rules: RoutingRules
    # Average load per limit over the usable targets.
    average_load: float
    decisions: int
    now: float
    rng: random.Random


Algorithm: TypeAlias = Callable[[RoutingView, StageCall], TargetRecord | None]

_algorithms_by_name: Final[dict[str, Algorithm]] = {}


def algorithm(name: str) -> Callable[[Algorithm], Algorithm]:
    """Register an algorithm under the name that rules use."""

    def register(function: Algorithm) -> Algorithm:
        _algorithms_by_name[name] = function
        return function

    return register


def algorithm_of(name: str) -> Algorithm:
    """Return the algorithm of a name, `two_choices` for unknown names."""
    return _algorithms_by_name.get(name, two_choices)


@algorithm('two_choices')
def two_choices(view: RoutingView, call: StageCall) -> TargetRecord | None:
    """Pick a prefix holder, or the less loaded of two random targets."""
    if view.affinity is not None and call.prefix:
        holder = _prefix_target(view, view.affinity, call)
        if holder is not None:
            return holder
    best = _best(view, view.own.sample_two(call.excluded, view.rng))
    if best is not None:
        fair_load = view.average_load * _BOUNDED_LOAD
        threshold = min(view.rules.spill_threshold, fair_load)
        if relative_load(best, view.now) <= threshold:
            return best
    spilled = view.others.sample_two(call.excluded, view.rng)
    if best is not None:
        spilled.append(best)
    return _best(view, spilled)


@algorithm('round_robin')
def round_robin(view: RoutingView, call: StageCall) -> TargetRecord | None:
    """Pick the targets with room in turn."""
    allowed = sorted(_allowed(view, call), key=_name)
    return allowed[view.decisions % len(allowed)] if allowed else None


@algorithm('random')
def pick_random(view: RoutingView, call: StageCall) -> TargetRecord | None:
    """Pick any target with room."""
    allowed = _allowed(view, call)
    return view.rng.choice(allowed) if allowed else None


@algorithm('least_in_flight')
def least_in_flight(view: RoutingView, call: StageCall) -> TargetRecord | None:
    """Pick the target with the fewest own calls."""
    allowed = _allowed(view, call)
    if not allowed:
        return None
    fewest = min(record.in_flight for record in allowed)
    return view.rng.choice(
        [record for record in allowed if record.in_flight == fewest],
    )


def relative_load(record: TargetRecord, now: float) -> float:
    """Return the load per limit, scaled by the target's slowness."""
    return record.load_at(now) * record.slowness / record.slots


def _best(
    view: RoutingView,
    records: Iterable[TargetRecord],
) -> TargetRecord | None:
    best = None
    lowest: float = 0
    for record in records:
        load = (record.load_at(view.now) + 1) * record.slowness
        score = load / record.slots
        score *= 1 + _TIE_BREAK * view.rng.random()
        # A target that returns gets a growing part of its usual calls.
        if view.rng.random() > record.breaker.ramp(view.now):
            score += _NOT_YET
        if best is None or score < lowest:
            best = record
            lowest = score
    return best


def _prefix_target(
    view: RoutingView,
    affinity: PrefixAffinity,
    call: StageCall,
) -> TargetRecord | None:
    most = view.average_load * _BOUNDED_LOAD + _LOAD_STEP
    holders = affinity.holders(call.prefix, view.now)
    found = _best(view, _unloaded(view, call, holders, most))
    if found is not None:
        return found
    places = affinity.places(call.prefix)
    return next(iter(_unloaded(view, call, places, most)), None)


def _unloaded(
    view: RoutingView,
    call: StageCall,
    names: Iterable[str],
    most: float,
) -> Iterable[TargetRecord]:
    for name in names:
        record = view.records_by_name.get(name)
        if record is None or name in call.excluded:
            continue
        if record not in view.own and record not in view.others:
            continue
        if relative_load(record, view.now) <= most:
            yield record


def _allowed(view: RoutingView, call: StageCall) -> list[TargetRecord]:
    own = view.own.allowed(call.excluded)
    return own + view.others.allowed(call.excluded)


def _name(record: TargetRecord) -> str:
    return record.name
