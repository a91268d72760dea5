"""Queueing time estimates of the stage services; does no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, TypeVar

from hornbeamline.batching import call_duration_s
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._types import BatchLimits

Figure = TypeVar('Figure', int, float)

# Pieces or seconds by service and priority rank.
CountByRank = Mapping[str, Mapping[int, int]]
WaitByRank = Mapping[str, Mapping[int, float]]


class StageLoad(NamedTuple):
    """Load of the stage services from the view of one host."""

    # Seconds that a new piece waits in the queue of the service's owner.
    wait_s_by_service: WaitByRank
    # Pieces of admitted requests whose earlier stages are not finished.
    upcoming_by_service: CountByRank
    # Throughput of the targets in pieces per second, measured by the owner.
    rate_by_service: Mapping[str, float]


class UpcomingPieces:
    """Count pieces of admitted requests that are not queued yet.

    While a burst is still in its first stage, the queue of a later stage is
    short. Admission by the queue alone would accept more than the later
    stage can compute.
    """

    def __init__(self) -> None:
        """Create an empty count."""
        self._counts: dict[str, dict[int, int]] = {}

    def track_job(self, job: Job) -> JobPieces:
        """Start counting the pieces of the later stages of a request."""
        return JobPieces(self, job)

    def add(self, service: str, rank: int, pieces: int) -> None:
        """Add pieces to the count, or subtract them if negative."""
        by_rank = self._counts.setdefault(service, {})
        by_rank[rank] = by_rank.get(rank, 0) + pieces
        if not by_rank[rank]:
            by_rank.pop(rank)

    def by_service(self) -> dict[str, dict[int, int]]:
        """Return the number of pieces by service and rank."""
        return {
            service: dict(by_rank)
            for service, by_rank in self._counts.items()
            if by_rank
        }


class JobPieces:
    """Track the pieces of one request that are not queued yet."""

    def __init__(self, upcoming: UpcomingPieces, job: Job) -> None:
        """Count the pieces of all stages that depend on other stages."""
        self._upcoming = upcoming
        self._job = job
        self._stages = {
            stage_index
            for stage_index, stage in enumerate(job.route.stages)
            if stage.after and job.request.pieces_of(stage_index)
        }
        for stage_index in self._stages:
            self._add(stage_index, 1)

    def mark_queued(self, stage_index: int) -> None:
        """Stop counting a stage whose pieces are now queued."""
        if stage_index in self._stages:
            self._stages.discard(stage_index)
            self._add(stage_index, -1)

    def end(self) -> None:
        """Stop counting all stages."""
        for stage_index in tuple(self._stages):
            self.mark_queued(stage_index)

    def _add(self, stage_index: int, sign: int) -> None:
        service = self._job.route.stages[stage_index].service
        pieces = self._job.request.pieces_of(stage_index)
        self._upcoming.add(service, self._job.rank, sign * pieces)


def wait_by_service(
    loads: Iterable[StageLoad],
    rank: int,
    max_rate: Callable[[str], float],
) -> dict[str, float]:
    """Return how many seconds a new piece of a rank waits at each service.

    If two hosts both act as the owner of a service, they share its targets,
    so the longer of their waits counts. `max_rate` returns the maximum
    throughput of all targets of a service in pieces per second.
    """
    waits: dict[str, float] = {}
    upcoming: dict[str, int] = {}
    rates: dict[str, float] = {}
    for load in loads:
        for service, rate in load.rate_by_service.items():
            rates[service] = min(rates.get(service, rate), rate)
        for service, by_rank in load.wait_s_by_service.items():
            wait_s = max(_values_up_to(by_rank, rank), default=0)
            waits[service] = max(waits.get(service, 0), wait_s)
        for service, counts in load.upcoming_by_service.items():
            total = sum(_values_up_to(counts, rank))
            upcoming[service] = upcoming.get(service, 0) + total
    for service, pieces in upcoming.items():
        service_rate = rates.get(service) or max_rate(service)
        waits[service] = waits.get(service, 0) + pieces / service_rate
    return waits


def rate_of(limits: BatchLimits, targets: int) -> float:
    """Return the throughput with full calls in pieces per second."""
    pieces = limits.pieces_per_call
    return max(targets, 1) * pieces / call_duration_s(limits, pieces)


def _values_up_to(
    by_rank: Mapping[int, Figure],
    rank: int,
) -> list[Figure]:
    return [
        figure for figure_rank, figure in by_rank.items() if figure_rank <= rank
    ]
