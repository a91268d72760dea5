"""Runs the stages of a request in the order of their inputs."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import Final

from hornbeamline.batching import (
    BatchingService,
    Piece,
    PiecesFailedError,
    PieceTerms,
)
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._placement import Placement
from hornbeamline.gateway._table import RoutingTable
from hornbeamline.gateway._types import (
    BatchLimits,
    CallerRequest,
    Route,
    Stage,
)
from hornbeamline.gateway._waits import ComingPieces
from hornbeamline.helpers.clock import Clock

# Time from the end of the stages to the first event of an average prompt:
# inputs are fetched, the prompt waits for its turn and is read.
ENGINE_START_S: Final = 0.3
# Typical fill of a call and wait for a target, as a multiple of the time
# of a half-filled call.
_TYPICAL_LOAD: Final = 1.3
_BYTES_PER_MB: Final = 1_000_000


class StageResults:
    """Handles of the results of each stage."""

    def __init__(self) -> None:
        """Start without results."""
        self.handles_by_stage: dict[int, list[str]] = {}
        # Stages whose inputs their targets hold.
        self.fetched: set[int] = set()
        self._released: set[int] = set()

    def inputs_of(self, stage: Stage) -> list[str]:
        """Return the handles of all pieces of the stages before."""
        return [
            handle
            for earlier in stage.after
            for handle in self.handles_by_stage.get(earlier, ())
        ]

    def unneeded(self, route: Route, request: CallerRequest) -> list[int]:
        """Return the stages whose results all later stages have used."""
        return [
            number
            for number in self.handles_by_stage
            if number not in self._released
            and self._is_used_up(number, route, request)
        ]

    def take(self, number: int) -> list[str]:
        """Return the handles of a stage that are to be released."""
        if number in self._released:
            return []
        self._released.add(number)
        return self.handles_by_stage.get(number, [])

    def last_handles(self, route: Route) -> dict[int, list[str]]:
        """Return the handles of the stages that no other stage follows."""
        followed = {
            earlier
            for number, stage in enumerate(route.stages)
            if self.handles_by_stage.get(number)
            for earlier in stage.after
        }
        return {
            number: self.handles_by_stage[number]
            for number in sorted(self.handles_by_stage)
            if number not in followed
        }

    def _is_used_up(
        self,
        number: int,
        route: Route,
        request: CallerRequest,
    ) -> bool:
        followers = [
            later
            for later, stage in enumerate(route.stages)
            if number in stage.after and request.pieces_of(later)
        ]
        return bool(followers) and all(
            later in self.fetched for later in followers
        )


class StageRunner:
    """Drives the stages of requests through the batching service."""

    def __init__(
        self,
        batching: BatchingService,
        waits: Callable[[int], Mapping[str, float]],
        placement: Placement,
        clock: Clock,
    ) -> None:
        """Take the batching service, published waits by rank, and time."""
        self._batching = batching
        self.waits = waits
        self.placement = placement
        self.coming = ComingPieces()
        self._clock = clock

    async def run(self, job: Job, table: RoutingTable) -> StageResults:
        """Return the results of all stages; raises `PiecesFailedError`."""
        request = job.request
        route = job.route
        deadline_at = min(
            job.deadline_at,
            request.received_at + route.first_event_patience_s,
        )
        outcome = StageResults()
        tasks: dict[int, asyncio.Task[None]] = {}
        after_s = _time_after_stages(route, table)
        coming = self.coming.of_job(job)

        async def run_stage(number: int) -> None:
            stage = route.stages[number]
            await _wait_for(tasks, stage)
            coming.arrived(number)
            inputs = outcome.inputs_of(stage)
            now = self._clock.monotonic()
            due_at = request.received_at + route.aim_s - after_s[number]
            live_s = _inputs_live_s(route, table, number)
            outcome.handles_by_stage[number] = await self._batching.compute(
                stage.service,
                _pieces(request, number, inputs, is_first=not stage.after),
                PieceTerms(
                    due_at - now,
                    min(deadline_at - now, live_s),
                    job.rank,
                    stage.result_bytes,
                    _held_share(request, route, table, number),
                    self.placement.near(
                        job,
                        number,
                        outcome.handles_by_stage,
                    ),
                ),
                lambda: self._note_fetched(outcome, route, request, number),
            )
            self._note_fetched(outcome, route, request, number)

        try:
            async with asyncio.TaskGroup() as group:
                for number in _wanted_stages(request, route):
                    tasks[number] = group.create_task(run_stage(number))
        except* PiecesFailedError as failures:
            self.release_all(outcome, route)
            raise _first(failures) from failures
        finally:
            # Tasks that were cancelled before their first step, too.
            coming.end()
        return outcome

    def release_all(self, outcome: StageResults, route: Route) -> None:
        """Free all results of a request."""
        for number in tuple(outcome.handles_by_stage):
            self._release(outcome, route, number)

    def _note_fetched(
        self,
        outcome: StageResults,
        route: Route,
        request: CallerRequest,
        number: int,
    ) -> None:
        outcome.fetched.add(number)
        for unneeded in outcome.unneeded(route, request):
            self._release(outcome, route, unneeded)

    def _release(
        self,
        outcome: StageResults,
        route: Route,
        number: int,
    ) -> None:
        handles = outcome.take(number)
        if handles:
            self._batching.release(route.stages[number].service, handles)


async def _wait_for(
    tasks: Mapping[int, asyncio.Task[None]],
    stage: Stage,
) -> None:
    waited = [tasks[number] for number in stage.after if number in tasks]
    for task in waited:
        await task


def _wanted_stages(request: CallerRequest, route: Route) -> list[int]:
    return [
        number
        for number, _ in enumerate(route.stages)
        if request.pieces_of(number)
    ]


def stage_ends_s(
    request: CallerRequest,
    route: Route,
    table: RoutingTable,
    wait_s_by_service: Mapping[str, float],
) -> float:
    """Return the time until all stages of a request are done.

    `wait_s_by_service` says when the services are done with all admitted
    work: a stage begins then, or when the stages before it are done.
    """
    ends_at: dict[int, float] = {}
    for number, stage in enumerate(route.stages):
        start = max((ends_at.get(early, 0) for early in stage.after), default=0)
        limits = _limits(table, stage.service)
        pieces = request.pieces_of(number)
        spent: float = 0
        if limits is not None and pieces:
            start = max(start, wait_s_by_service.get(stage.service, 0))
            spent = limits.call_s + pieces * limits.piece_s
        ends_at[number] = start + spent
    return max(ends_at.values(), default=0)


def _pieces(
    request: CallerRequest,
    stage: int,
    inputs: list[str],
    *,
    is_first: bool,
) -> list[Piece]:
    key = request.piece_key if is_first else ''
    return [
        Piece(request.id, stage, number, key, inputs)
        for number in range(request.pieces_of(stage))
    ]


def _held_share(
    request: CallerRequest,
    route: Route,
    table: RoutingTable,
    number: int,
) -> float:
    """Return the share of a target's space that the inputs take."""
    shares: list[float] = [0]
    for earlier in route.stages[number].after:
        stage = route.stages[earlier]
        limits = _limits(table, stage.service)
        if limits is not None and limits.results_mb:
            held_bytes = request.pieces_of(earlier) * stage.result_bytes
            shares.append(held_bytes / (limits.results_mb * _BYTES_PER_MB))
    return max(shares)


def _inputs_live_s(
    route: Route,
    table: RoutingTable,
    number: int,
) -> float:
    """Return how long targets keep the inputs of a stage, in seconds."""
    times = [math.inf]
    for earlier in route.stages[number].after:
        limits = _limits(table, route.stages[earlier].service)
        if limits is not None:
            times.append(limits.result_ttl_s)
    return min(times)


def _limits(table: RoutingTable, service: str) -> BatchLimits | None:
    found = table.services_by_name.get(service)
    return None if found is None else found.batch


def _time_after_stages(route: Route, table: RoutingTable) -> list[float]:
    """Return for each stage the typical time from its end to the answer."""
    after_s: list[float] = [ENGINE_START_S for _ in route.stages]
    for number in reversed(range(len(route.stages))):
        stage = route.stages[number]
        limits = _limits(table, stage.service)
        own_s: float = 0
        if limits is not None:
            filled = limits.pieces_per_call / 2
            own_s = limits.call_s + filled * limits.piece_s
        for earlier in stage.after:
            total_s = after_s[number] + own_s * _TYPICAL_LOAD
            after_s[earlier] = max(after_s[earlier], total_s)
    return after_s


def _first(failures: BaseExceptionGroup[PiecesFailedError]) -> Exception:
    error: BaseException = failures
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, PiecesFailedError)
    return error
