"""Loads of processes and their aggregation."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, TypeVar

from hornbeamline.costs import SpeedEvidence

_Key = TypeVar('_Key', str, int)
_Count = TypeVar('_Count', int, float)
# Work below this, in seconds, is a remainder of rounding.
_MIN_WORK_S: Final = 0.0001


class ProcessLoad(NamedTuple):
    """Work in progress of one process, or of several together."""

    # Requests in progress at targets, by target id.
    in_flight_by_target: dict[str, int] = {}
    # Waiting times in seconds, by rank, of the stage queues that the process
    # owns.
    waits_by_service: dict[str, dict[int, float]] = {}
    # Pieces, by rank, that its requests are going to queue at stage services.
    upcoming_by_service: dict[str, dict[int, int]] = {}
    # Pieces per second that the targets of its stage queues compute.
    rate_by_service: dict[str, float] = {}
    # Seconds of work left at targets, and observed speeds, by target id; only
    # of services whose targets are chosen by cost.
    work_by_target: dict[str, float] = {}
    speeds_by_target: dict[str, SpeedEvidence] = {}


def sum_loads(loads: Iterable[ProcessLoad]) -> ProcessLoad:
    """Aggregate the loads of several processes.

    Counts are added. If a service has two owners, they share its targets,
    so the longest wait and the lowest rate are used. With hundreds of
    hosts, the sum saves each host from reading the load of every other one.
    """
    summed = list(loads)
    total = ProcessLoad({}, {}, {}, {}, {}, _sum_speeds(summed))
    for load in summed:
        _add_counts(total.in_flight_by_target, load.in_flight_by_target)
        _add_counts(total.work_by_target, load.work_by_target)
        for queue, wait_by_rank in load.waits_by_service.items():
            longest = total.waits_by_service.setdefault(queue, {})
            _raise_waits(longest, wait_by_rank)
        for service, pieces_by_rank in load.upcoming_by_service.items():
            upcoming = total.upcoming_by_service.setdefault(service, {})
            _add_counts(upcoming, pieces_by_rank)
        for name, rate in load.rate_by_service.items():
            lowest = total.rate_by_service.get(name, rate)
            total.rate_by_service[name] = min(lowest, rate)
    return total


def subtract_load(total: ProcessLoad, part: ProcessLoad) -> ProcessLoad:
    """Subtract the counts of one process from an aggregated load.

    Waits and rates are kept, since they apply to all processes.
    """
    in_flight = Counter(total.in_flight_by_target)
    in_flight.subtract(part.in_flight_by_target)
    upcoming = {
        service: {
            rank: pieces
            - part.upcoming_by_service.get(service, {}).get(rank, 0)
            for rank, pieces in pieces_by_rank.items()
        }
        for service, pieces_by_rank in total.upcoming_by_service.items()
    }
    return total._replace(
        in_flight_by_target=dict(+in_flight),
        upcoming_by_service=upcoming,
        work_by_target=_subtract_work(
            total.work_by_target, part.work_by_target
        ),
        speeds_by_target=_subtract_speeds(
            total.speeds_by_target, part.speeds_by_target
        ),
    )


def _add_counts(
    total: dict[_Key, _Count], added: Mapping[_Key, _Count]
) -> None:
    for key, count in added.items():
        total[key] = total.get(key, 0) + count


def _raise_waits(
    longest: dict[int, float], others: Mapping[int, float]
) -> None:
    for rank, wait_s in others.items():
        longest[rank] = max(longest.get(rank, 0), wait_s)


def _subtract_work(
    total: Mapping[str, float], part: Mapping[str, float]
) -> dict[str, float]:
    left = {
        target: work_s - part.get(target, 0) for target, work_s in total.items()
    }
    return {
        target: work_s
        for target, work_s in left.items()
        if work_s > _MIN_WORK_S
    }


def _sum_speeds(loads: Iterable[ProcessLoad]) -> dict[str, SpeedEvidence]:
    """Add the observations of several processes.

    Control processes sum some thousand of them ten times a second; a new
    tuple for each addition took more than twice as long.
    """
    sums: dict[str, list[int]] = {}
    for load in loads:
        for target, (weight, log_sum) in load.speeds_by_target.items():
            known = sums.setdefault(target, [0, 0])
            known[0] += weight
            known[1] += log_sum
    return {
        name: SpeedEvidence(total[0], total[1]) for name, total in sums.items()
    }


def _subtract_speeds(
    total: Mapping[str, SpeedEvidence], part: Mapping[str, SpeedEvidence]
) -> dict[str, SpeedEvidence]:
    left = dict(total)
    for target, evidence in part.items():
        known = left.pop(target, None)
        if known is not None and known.weight > evidence.weight:
            left[target] = known.minus(evidence)
    return left
