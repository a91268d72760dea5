"""How long new work waits at the stages; needs no network."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, TypeVar

from hornbeamline.gateway._job import Job
from hornbeamline.gateway._types import BatchLimits

Figure = TypeVar('Figure', int, float)

# Pieces, or seconds, by service and rank.
CountByRank = Mapping[str, Mapping[int, int]]
WaitByRank = Mapping[str, Mapping[int, float]]


class StageLoad(NamedTuple):
    """Load of the stage services as one host knows it."""

    # Seconds that a new piece waits in the queues of the owner.
    wait_s_by_service: WaitByRank
    # Pieces of admitted requests that earlier stages still work on.
    coming_by_service: CountByRank
    # Pieces a second that the targets compute, as the owner measures it.
    rate_by_service: Mapping[str, float]


class ComingPieces:
    """Pieces of admitted requests that are not queued yet.

    Answers a burst: the queue of a later stage is short while the burst is
    still in the first stage, and whoever looks at the queue alone admits
    more than the later stage can compute.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._counts: dict[str, dict[int, int]] = {}

    def of_job(self, job: Job) -> JobPieces:
        """Count the pieces of the later stages of a request."""
        return JobPieces(self, job)

    def add(self, service: str, rank: int, pieces: int) -> None:
        """Count pieces; a negative number takes them back."""
        by_rank = self._counts.setdefault(service, {})
        by_rank[rank] = by_rank.get(rank, 0) + pieces
        if not by_rank[rank]:
            by_rank.pop(rank)

    def by_service(self) -> dict[str, dict[int, int]]:
        """Return the pieces by service and rank."""
        return {
            service: dict(by_rank)
            for service, by_rank in self._counts.items()
            if by_rank
        }


class JobPieces:
    """The pieces of one request that are coming."""

    def __init__(self, coming: ComingPieces, job: Job) -> None:
        """Count all stages that have others before them."""
        self._coming = coming
        self._job = job
        self._stages = {
            number
            for number, stage in enumerate(job.route.stages)
            if stage.after and job.request.pieces_of(number)
        }
        for number in self._stages:
            self._add(number, 1)

    def arrived(self, number: int) -> None:
        """Stop counting a stage, whose pieces are queued now."""
        if number in self._stages:
            self._stages.discard(number)
            self._add(number, -1)

    def end(self) -> None:
        """Stop counting all stages."""
        for number in tuple(self._stages):
            self.arrived(number)

    def _add(self, number: int, sign: int) -> None:
        service = self._job.route.stages[number].service
        pieces = self._job.request.pieces_of(number)
        self._coming.add(service, self._job.rank, sign * pieces)


def wait_by_service(
    loads: Iterable[StageLoad],
    rank: int,
    best_rate: Callable[[str], float],
) -> dict[str, float]:
    """Return the seconds that a new piece of a rank waits at each service.

    Two hosts that both act as the owner of a service share its targets, so
    the longest of their waits counts. `best_rate` returns the pieces a
    second that all targets of a service compute at most.
    """
    waits: dict[str, float] = {}
    coming: dict[str, int] = {}
    rates: dict[str, float] = {}
    for load in loads:
        for service, rate in load.rate_by_service.items():
            rates[service] = min(rates.get(service, rate), rate)
        for service, by_rank in load.wait_s_by_service.items():
            wait_s = max(_up_to(by_rank, rank), default=0)
            waits[service] = max(waits.get(service, 0), wait_s)
        for service, counts in load.coming_by_service.items():
            total = sum(_up_to(counts, rank))
            coming[service] = coming.get(service, 0) + total
    for service, pieces in coming.items():
        measured = rates.get(service) or best_rate(service)
        waits[service] = waits.get(service, 0) + pieces / measured
    return waits


def rate_of(limits: BatchLimits, targets: int) -> float:
    """Return the pieces a second that targets compute in full calls."""
    pieces = limits.pieces_per_call
    call_s = limits.call_s + pieces * limits.piece_s
    return max(targets, 1) * pieces / call_s


def _up_to(
    by_rank: Mapping[int, Figure],
    rank: int,
) -> list[Figure]:
    return [figure for known, figure in by_rank.items() if known <= rank]
