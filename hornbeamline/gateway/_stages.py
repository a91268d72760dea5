"""Runs the stages of a request in the order of their dependencies."""

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
    call_duration_s,
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
from hornbeamline.gateway._waits import UpcomingPieces
from hornbeamline.helpers.clock import Clock

# Time from the end of the stages to the first event for an average prompt: the
# engine fetches the inputs, queues the prompt and runs its prefill.
ENGINE_START_S: Final = 0.3
# Typical duration of a stage, including the wait for a target, as a multiple
# of the duration of a half-filled call.
_TYPICAL_LOAD_FACTOR: Final = 1.3
_BYTES_PER_MB: Final = 1_000_000


class StageResults:
    """Handles of the results of each stage of one request."""

    def __init__(self) -> None:
        """Create an empty collection of results."""
        self.handles_by_stage: dict[int, list[str]] = {}
        # Stages whose targets have fetched their inputs.
        self.fetched_stages: set[int] = set()
        self._released: set[int] = set()

    def inputs_of(self, stage: Stage) -> list[str]:
        """Return the handles of all results that a stage depends on."""
        return [
            handle
            for earlier in stage.after
            for handle in self.handles_by_stage.get(earlier, ())
        ]

    def releasable(self, route: Route, request: CallerRequest) -> list[int]:
        """Return the stages whose results all dependent stages have fetched."""
        return [
            stage_index
            for stage_index in self.handles_by_stage
            if stage_index not in self._released
            and self._is_consumed(stage_index, route, request)
        ]

    def take_unreleased(self, stage_index: int) -> list[str]:
        """Return the handles to release for a stage, once only."""
        if stage_index in self._released:
            return []
        self._released.add(stage_index)
        return self.handles_by_stage.get(stage_index, [])

    def final_handles(self, route: Route) -> dict[int, list[str]]:
        """Return the handles of the stages on which no other one depends."""
        followed = {
            earlier
            for stage_index, stage in enumerate(route.stages)
            if self.handles_by_stage.get(stage_index)
            for earlier in stage.after
        }
        return {
            stage_index: self.handles_by_stage[stage_index]
            for stage_index in sorted(self.handles_by_stage)
            if stage_index not in followed
        }

    def _is_consumed(
        self,
        stage_index: int,
        route: Route,
        request: CallerRequest,
    ) -> bool:
        followers = [
            later
            for later, stage in enumerate(route.stages)
            if stage_index in stage.after and request.pieces_of(later)
        ]
        return bool(followers) and all(
            later in self.fetched_stages for later in followers
        )


class StageRunner:
    """Run the stages of requests at the batching service."""

    def __init__(
        self,
        batching: BatchingService,
        wait_s_by_service: Callable[[int], Mapping[str, float]],
        placement: Placement,
        clock: Clock,
    ) -> None:
        """Create a runner.

        `wait_s_by_service` returns the queueing times for a rank.
        """
        self._batching = batching
        self.wait_s_by_service = wait_s_by_service
        self.placement = placement
        self.upcoming = UpcomingPieces()
        self._clock = clock

    async def run(self, job: Job, table: RoutingTable) -> StageResults:
        """Run all stages and return their results.

        If a stage fails, releases all results and raises `PiecesFailedError`.
        """
        request = job.request
        route = job.route
        deadline_at = min(
            job.deadline_at,
            request.received_at + route.first_event_timeout_s,
        )
        results = StageResults()
        tasks: dict[int, asyncio.Task[None]] = {}
        remaining_s = _remaining_s_by_stage(route, table)
        upcoming = self.upcoming.track_job(job)

        async def run_stage(index: int) -> None:
            stage = route.stages[index]
            await _wait_for_inputs(tasks, stage)
            upcoming.mark_queued(index)
            inputs = results.inputs_of(stage)
            now = self._clock.monotonic()
            due_at = request.received_at + route.aim_s - remaining_s[index]
            inputs_ttl_s = _inputs_ttl_s(route, table, index)
            results.handles_by_stage[index] = await self._batching.compute(
                stage.service,
                _pieces(request, index, inputs, is_first=not stage.after),
                PieceTerms(
                    due_at - now,
                    min(deadline_at - now, inputs_ttl_s),
                    job.rank,
                    stage.result_bytes,
                    _input_space_share(request, route, table, index),
                    self.placement.preferred_data_centre(
                        job,
                        index,
                        results.handles_by_stage,
                    ),
                ),
                lambda: self._note_fetched(results, route, request, index),
            )
            self._note_fetched(results, route, request, index)

        try:
            async with asyncio.TaskGroup() as group:
                for index in _requested_stages(request, route):
                    tasks[index] = group.create_task(run_stage(index))
        except* PiecesFailedError as failures:
            self.release_all(results, route)
            raise _first_error(failures) from failures
        finally:
            # Also covers tasks that were cancelled before their first step.
            upcoming.end()
        return results

    def release_all(self, results: StageResults, route: Route) -> None:
        """Release all results of a request that are still held."""
        for stage_index in tuple(results.handles_by_stage):
            self._release(results, route, stage_index)

    def _note_fetched(
        self,
        results: StageResults,
        route: Route,
        request: CallerRequest,
        stage_index: int,
    ) -> None:
        results.fetched_stages.add(stage_index)
        for releasable in results.releasable(route, request):
            self._release(results, route, releasable)

    def _release(
        self,
        results: StageResults,
        route: Route,
        stage_index: int,
    ) -> None:
        handles = results.take_unreleased(stage_index)
        if handles:
            self._batching.release(route.stages[stage_index].service, handles)


async def _wait_for_inputs(
    tasks: Mapping[int, asyncio.Task[None]],
    stage: Stage,
) -> None:
    waited = [
        tasks[stage_index]
        for stage_index in stage.after
        if stage_index in tasks
    ]
    for task in waited:
        await task


def _requested_stages(request: CallerRequest, route: Route) -> list[int]:
    return [
        stage_index
        for stage_index, _ in enumerate(route.stages)
        if request.pieces_of(stage_index)
    ]


def stages_duration_s(
    request: CallerRequest,
    route: Route,
    table: RoutingTable,
    wait_s_by_service: Mapping[str, float],
) -> float:
    """Return the expected seconds until all stages of a request are done.

    `wait_s_by_service` is the time until a service has finished all admitted
    work. A stage begins then or when the stages that it depends on are done,
    whichever is later.
    """
    end_s_by_stage: dict[int, float] = {}
    for stage_index, stage in enumerate(route.stages):
        start_s = max(
            (end_s_by_stage.get(early, 0) for early in stage.after), default=0
        )
        limits = _limits(table, stage.service)
        pieces = request.pieces_of(stage_index)
        duration_s: float = 0
        if limits is not None and pieces:
            start_s = max(start_s, wait_s_by_service.get(stage.service, 0))
            duration_s = call_duration_s(limits, pieces)
        end_s_by_stage[stage_index] = start_s + duration_s
    return max(end_s_by_stage.values(), default=0)


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


def _input_space_share(
    request: CallerRequest,
    route: Route,
    table: RoutingTable,
    stage_index: int,
) -> float:
    """Return the share of a target's result store that the inputs take."""
    shares: list[float] = [0]
    for earlier in route.stages[stage_index].after:
        stage = route.stages[earlier]
        limits = _limits(table, stage.service)
        if limits is not None and limits.results_mb:
            input_bytes = request.pieces_of(earlier) * stage.result_bytes
            shares.append(input_bytes / (limits.results_mb * _BYTES_PER_MB))
    return max(shares)


def _inputs_ttl_s(
    route: Route,
    table: RoutingTable,
    stage_index: int,
) -> float:
    """Return the seconds for which targets keep the inputs of a stage."""
    times = [math.inf]
    for earlier in route.stages[stage_index].after:
        limits = _limits(table, route.stages[earlier].service)
        if limits is not None:
            times.append(limits.result_ttl_s)
    return min(times)


def _limits(table: RoutingTable, service: str) -> BatchLimits | None:
    found = table.services_by_name.get(service)
    return None if found is None else found.batch


def _remaining_s_by_stage(route: Route, table: RoutingTable) -> list[float]:
    """Return for each stage the typical time from its end to the response."""
    remaining_s: list[float] = [ENGINE_START_S for _ in route.stages]
    for stage_index in reversed(range(len(route.stages))):
        stage = route.stages[stage_index]
        limits = _limits(table, stage.service)
        own_s: float = 0
        if limits is not None:
            filled = limits.pieces_per_call / 2
            own_s = call_duration_s(limits, filled)
        for earlier in stage.after:
            total_s = remaining_s[stage_index] + own_s * _TYPICAL_LOAD_FACTOR
            remaining_s[earlier] = max(remaining_s[earlier], total_s)
    return remaining_s


def _first_error(failures: BaseExceptionGroup[PiecesFailedError]) -> Exception:
    error: BaseException = failures
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, PiecesFailedError)
    return error
