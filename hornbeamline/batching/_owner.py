"""Queues of the services that this host owns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from hornbeamline.batching._messages import (
    AskStage,
    CancelRequest,
    InputsFetched,
    PiecesDone,
    ReleaseResults,
    StageState,
    SubmitPieces,
)
from hornbeamline.batching._queue import QueuedPiece
from hornbeamline.batching._types import PieceResult
from hornbeamline.batching._worker import (
    BatchProfile,
    BatchWorker,
    TargetAccess,
)
from hornbeamline.batching.errors import UnknownServiceError
from hornbeamline.helpers.budget import RetryBudget
from hornbeamline.helpers.clock import Clock
from hornbeamline.peering import Peering
from hornbeamline.telemetry import log_event

# Outcomes are retained in case the reply to the submission is lost.
_OUTCOME_RETENTION_S: Final = 3.0
# Cancelled requests are remembered for longer than any call with their pieces
# lasts.
_CANCELLED_RETENTION_S: Final = 10.0

NoteFetched = Callable[[InputsFetched], None]


class OwnedQueues:
    """Run one worker per owned service for the submissions of all hosts."""

    def __init__(
        self,
        peering: Peering,
        clock: Clock,
        access: TargetAccess,
        budget: RetryBudget,
    ) -> None:
        """Register the message handlers.

        `budget` bounds the retries of all hosts together.
        """
        self._peering = peering
        self._clock = clock
        self._access = access
        self._budget = budget
        self._profile_by_service: dict[str, BatchProfile] = {}
        self._workers_by_service: dict[str, BatchWorker] = {}
        # When pieces were last submitted.
        self._submitted_at_by_service: dict[str, float] = {}
        # Outcomes of stages from other hosts; empty while in progress.
        self._outcomes_by_stage: dict[tuple[str, int], list[PieceResult]] = {}
        # Cancelled requests of other hosts.
        self._cancelled_requests: set[str] = set()
        # Number of stages from other hosts in progress.
        self.stages_in_progress_for_others = 0
        peering.on(SubmitPieces, self._on_submit)
        peering.on(AskStage, self._on_ask)
        peering.on(CancelRequest, self._on_cancel)
        peering.on(ReleaseResults, self._on_release)

    async def stop(self) -> None:
        """Stop all workers and drop their queues."""
        for worker in self._workers_by_service.values():
            await worker.stop()

    def services(self) -> list[str]:
        """Return the configured services."""
        return list(self._profile_by_service)

    def keeps(self, service: str) -> bool:
        """Return whether this host remains the owner of a service.

        It does while targets may hold results of pieces that it dispatched.
        """
        submitted_at = self._submitted_at_by_service.get(service)
        profile = self._profile_by_service.get(service)
        if submitted_at is None or profile is None:
            return False
        return self._clock.monotonic() - submitted_at < profile.result_ttl_s

    def kept_services(self) -> list[str]:
        """Return the services of which this host remains the owner."""
        return [
            name for name in self._submitted_at_by_service if self.keeps(name)
        ]

    def update(self, profile_by_service: Mapping[str, BatchProfile]) -> None:
        """Apply the services of a newer configuration."""
        self._profile_by_service = dict(profile_by_service)
        for service, worker in self._workers_by_service.items():
            profile = profile_by_service.get(service)
            if profile is not None:
                worker.update_profile(profile)

    def waits_by_service(self) -> dict[str, dict[int, float]]:
        """Return the expected queueing time by rank of each service."""
        return {
            service: worker.waits_by_rank()
            for service, worker in self._workers_by_service.items()
        }

    def rate_by_service(self) -> dict[str, float]:
        """Return the pieces per second that each service computes."""
        return {
            service: round(worker.rate(), 1)
            for service, worker in self._workers_by_service.items()
        }

    async def compute(
        self,
        request: SubmitPieces,
        note_fetched: NoteFetched,
    ) -> list[PieceResult]:
        """Compute pieces and return their outcomes.

        Calls `note_fetched` when targets have fetched all inputs. Raises
        `UnknownServiceError` if the service is not configured.
        """
        worker = self._ensure_worker(request.service)
        queued = self._create_queued_pieces(request, note_fetched)
        worker.submit(queued)
        self._submitted_at_by_service[request.service] = self._clock.monotonic()
        try:
            outcomes = await _all_outcomes(queued)
        except asyncio.CancelledError:
            worker.release(_handles_so_far(queued))
            raise
        # Results are useful only if the whole stage succeeded and its
        # caller still waits.
        is_cancelled = request.pieces[0].request_id in self._cancelled_requests
        if is_cancelled or any(outcome.failure for outcome in outcomes):
            worker.release(_handles_so_far(queued))
        return outcomes

    def cancel(self, service: str, request_id: str) -> None:
        """Drop the queued pieces of a request."""
        worker = self._workers_by_service.get(service)
        if worker is not None:
            worker.cancel(request_id)

    def release(self, service: str, handles: Sequence[str]) -> None:
        """Schedule the release of results."""
        try:
            worker = self._ensure_worker(service)
        except UnknownServiceError:
            # The targets evict the results when they expire.
            log_event('batching.not_released', service=service)
            return
        worker.release(handles)

    def _create_queued_pieces(
        self,
        request: SubmitPieces,
        note_fetched: NoteFetched,
    ) -> list[QueuedPiece]:
        now = self._clock.monotonic()
        loop = asyncio.get_running_loop()
        queued = [
            QueuedPiece(piece, request.terms, now) for piece in request.pieces
        ]
        unfetched = len(queued)

        def on_fetched() -> None:
            nonlocal unfetched
            unfetched -= 1
            if not unfetched:
                first = request.pieces[0]
                note_fetched(InputsFetched(first.request_id, first.stage))

        for entry in queued:
            entry.outcome = loop.create_future()
            entry.on_fetched = on_fetched
        return queued

    def _ensure_worker(self, service: str) -> BatchWorker:
        worker = self._workers_by_service.get(service)
        if worker is not None:
            return worker
        profile = self._profile_by_service.get(service)
        if profile is None:
            # This process has just started and has no configuration yet;
            # another owner may know the service.
            raise UnknownServiceError(service)
        worker = BatchWorker(
            service,
            profile,
            self._access,
            self._budget,
            self._clock,
        )
        worker.start()
        self._workers_by_service[service] = worker
        log_event('batching.owns', service=service)
        return worker

    async def _on_submit(
        self,
        sender: str,
        request: SubmitPieces,
    ) -> PiecesDone:
        first = request.pieces[0]
        key = (first.request_id, first.stage)
        self._outcomes_by_stage[key] = []
        self.stages_in_progress_for_others += 1
        try:
            outcomes = await self.compute(
                request,
                lambda fetched: self._peering.send(sender, fetched),
            )
        except UnknownServiceError:
            self._outcomes_by_stage.pop(key, None)
            raise
        finally:
            self.stages_in_progress_for_others -= 1
        self._outcomes_by_stage[key] = outcomes
        asyncio.get_running_loop().call_later(
            _OUTCOME_RETENTION_S,
            self._outcomes_by_stage.pop,
            key,
            None,
        )
        return PiecesDone(outcomes)

    async def _on_ask(self, _sender: str, question: AskStage) -> StageState:
        key = (question.request_id, question.stage)
        outcomes = self._outcomes_by_stage.get(key)
        return StageState(outcomes is not None, outcomes or [])

    async def _on_release(self, _sender: str, request: ReleaseResults) -> None:
        self.release(request.service, request.handles)

    async def _on_cancel(self, _sender: str, request: CancelRequest) -> None:
        self._cancelled_requests.add(request.request_id)
        asyncio.get_running_loop().call_later(
            _CANCELLED_RETENTION_S,
            self._cancelled_requests.discard,
            request.request_id,
        )
        self.cancel(request.service, request.request_id)


async def _all_outcomes(queued: list[QueuedPiece]) -> list[PieceResult]:
    futures = [entry.outcome for entry in queued if entry.outcome is not None]
    return list(await asyncio.gather(*futures))


def _handles_so_far(queued: list[QueuedPiece]) -> list[str]:
    futures = [entry.outcome for entry in queued if entry.outcome is not None]
    outcomes = [
        future.result()
        for future in futures
        if future.done() and not future.cancelled()
    ]
    return [outcome.handle for outcome in outcomes if outcome.handle]
