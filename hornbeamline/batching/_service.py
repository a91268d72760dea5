"""Queues that this host owns, and the way to those of other hosts."""

from __future__ import annotations

import asyncio
from collections import Counter
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
from hornbeamline.batching._ownership import owners_of
from hornbeamline.batching._queue import QueuedPiece
from hornbeamline.batching._remote import OwnerClient
from hornbeamline.batching._types import Piece, PieceResult, PieceTerms
from hornbeamline.batching._worker import (
    FAILURE_GONE,
    BatchTarget,
    BatchTimes,
    BatchWorker,
    CallTarget,
    FreeResults,
)
from hornbeamline.batching.errors import PiecesFailedError, UnknownServiceError
from hornbeamline.core import TaskSet
from hornbeamline.helpers.budget import RepeatBudget
from hornbeamline.helpers.clock import Clock
from hornbeamline.peering import Peering
from hornbeamline.telemetry import log_event

_LINK_INTERVAL_S: Final = 0.5
# Hosts to which a link is kept for each service: owner and successor.
_LINKED_OWNERS: Final = 2
_MAX_TRIES_OF_OWNER: Final = 2
_MAX_TRIES: Final = 5
# Outcomes are kept for a reply that is lost on its way.
_KEEP_OUTCOMES_S: Final = 3.0
# No call with pieces of a request lasts longer than this.
_KEEP_LEFT_S: Final = 10.0


class BatchingService:
    """Computes pieces through the queue of the owner of their service."""

    def __init__(
        self,
        peering: Peering,
        clock: Clock,
        hosts: Callable[[], Mapping[str, str]],
        targets: Callable[[str], Sequence[BatchTarget]],
        call: CallTarget,
        free: FreeResults,
        budget: RepeatBudget,
    ) -> None:
        """Take the network, present hosts with addresses, and targets.

        The owner of a service sends all its repeats, so `budget` is that
        of all hosts together.
        """
        self._peering = peering
        self._clock = clock
        self._hosts = hosts
        self._targets = targets
        self._call = call
        self._free = free
        self._budget = budget
        self._owner_client = OwnerClient(peering)
        # The process stops: other hosts own all services from now on.
        self.is_leaving = False
        self._computing_for_others = 0
        # Requests of other hosts whose callers have left.
        self._left_requests: set[str] = set()
        # Pieces of other hosts: none while they are computed, then the
        # outcomes.
        self._outcomes_by_stage: dict[tuple[str, int], list[PieceResult]] = {}
        self._times_by_service: dict[str, BatchTimes] = {}
        self._workers_by_service: dict[str, BatchWorker] = {}
        # Called when targets hold the inputs of a stage of a request.
        self._fetched_by_stage: dict[tuple[str, int], Callable[[], None]] = {}
        self._tasks = TaskSet()
        peering.on(SubmitPieces, self._on_submit)
        peering.on(AskStage, self._on_ask)
        peering.on(CancelRequest, self._on_cancel)
        peering.on(ReleaseResults, self._on_release)
        peering.on(InputsFetched, self._on_fetched)

    async def start(self) -> None:
        """Keep links to the owners."""
        self._tasks.spawn(self._keep_links(), 'batching links')

    async def stop(self) -> None:
        """Drop all queues."""
        await self._tasks.cancel_all()
        for worker in self._workers_by_service.values():
            await worker.stop()

    def update(self, times_by_service: Mapping[str, BatchTimes]) -> None:
        """Take the services of a newer configuration."""
        self._times_by_service = dict(times_by_service)
        for service, worker in self._workers_by_service.items():
            times = times_by_service.get(service)
            if times is not None:
                worker.update_times(times)

    async def compute(
        self,
        service: str,
        pieces: list[Piece],
        terms: PieceTerms,
        on_fetched: Callable[[], None],
    ) -> list[str]:
        """Return the handles of the results, in the order of the pieces.

        `on_fetched` is called when targets hold all inputs. Raises
        `PiecesFailedError`. An owner that falls silent is replaced by the
        next one: pieces may be computed again.
        """
        started = self._clock.monotonic()
        outcomes: list[PieceResult] | None = None
        key = (pieces[0].request_id, pieces[0].stage)
        self._fetched_by_stage[key] = on_fetched
        try:
            outcomes = await self._try_owners(service, pieces, terms, started)
        finally:
            self._fetched_by_stage.pop(key, None)
        if outcomes is None:
            raise PiecesFailedError(f'{service}: no owner answered')
        return _handles(service, outcomes)

    async def _try_owners(
        self,
        service: str,
        pieces: list[Piece],
        terms: PieceTerms,
        started: float,
    ) -> list[PieceResult] | None:
        # An owner that lost the pieces by a restart gets them again.
        tried: Counter[str] = Counter()
        for _ in range(_MAX_TRIES):
            owner = self._next_owner(service, tried)
            tried[owner] += 1
            spent_s = self._clock.monotonic() - started
            left = terms._replace(
                due_s=terms.due_s - spent_s,
                expires_s=terms.expires_s - spent_s,
            )
            if left.expires_s <= 0:
                break
            outcomes = await self._ask(owner, service, pieces, left)
            if outcomes is not None:
                return outcomes
        return None

    def _next_owner(self, service: str, tried: Counter[str]) -> str:
        """Return the first owner that was tried least, this host at last."""
        owners = self._owners(service)[:_LINKED_OWNERS]
        for owner in owners:
            if tried[owner] < _MAX_TRIES_OF_OWNER:
                return owner
        return self._peering.name

    @property
    def computing_for_others(self) -> int:
        """Return the stages of other hosts that are not done."""
        return self._computing_for_others

    def waits_by_service(self) -> dict[str, dict[int, float]]:
        """Return the waits by rank of the queues that this host owns."""
        return {
            service: worker.waits_by_rank()
            for service, worker in self._workers_by_service.items()
            if self._owners(service)[0] == self._peering.name
        }

    def release(self, service: str, handles: list[str]) -> None:
        """Free results that are no longer needed.

        Results whose owner is lost expire at their target.
        """
        owner = self._owners(service)[0]
        if owner != self._peering.name:
            self._peering.send(owner, ReleaseResults(service, handles))
            return
        worker = self._worker(service)
        if worker is not None:
            worker.release(handles)

    async def _ask(
        self,
        owner: str,
        service: str,
        pieces: list[Piece],
        terms: PieceTerms,
    ) -> list[PieceResult] | None:
        try:
            if owner == self._peering.name:
                return await self._compute_here(
                    service,
                    pieces,
                    terms,
                    self._note_fetched,
                )
            address = self._hosts().get(owner)
            if address is None:
                return None
            self._peering.add_peer(owner, address)
            return await self._owner_client.compute(
                owner,
                SubmitPieces(service, pieces, terms),
            )
        except UnknownServiceError:
            return None
        except asyncio.CancelledError:
            self._cancel(owner, service, pieces[0].request_id)
            raise

    async def _compute_here(
        self,
        service: str,
        pieces: list[Piece],
        terms: PieceTerms,
        note_fetched: Callable[[InputsFetched], None],
    ) -> list[PieceResult]:
        worker = self._worker(service)
        if worker is None:
            # This process has just started; another owner knows more.
            raise UnknownServiceError(service)
        now = self._clock.monotonic()
        loop = asyncio.get_running_loop()
        queued = [QueuedPiece(piece, terms, now) for piece in pieces]
        unfetched = len(queued)

        def on_fetched() -> None:
            nonlocal unfetched
            unfetched -= 1
            if not unfetched:
                first = pieces[0]
                note_fetched(InputsFetched(first.request_id, first.stage))

        for entry in queued:
            entry.outcome = loop.create_future()
            entry.on_fetched = on_fetched
        worker.submit(queued)
        try:
            outcomes = list(
                await asyncio.gather(
                    *(entry.outcome for entry in queued if entry.outcome),
                ),
            )
        except asyncio.CancelledError:
            worker.release(_handles_so_far(queued))
            raise
        # A stage is of use as a whole only, and while its caller waits.
        has_left = pieces[0].request_id in self._left_requests
        if has_left or any(outcome.failure for outcome in outcomes):
            worker.release(_handles_so_far(queued))
        return outcomes

    def _worker(self, service: str) -> BatchWorker | None:
        worker = self._workers_by_service.get(service)
        if worker is not None:
            return worker
        times = self._times_by_service.get(service)
        if times is None:
            return None
        worker = BatchWorker(
            service,
            times,
            lambda: self._targets(service),
            self._call,
            self._free,
            self._budget,
            self._clock,
        )
        worker.start()
        self._workers_by_service[service] = worker
        log_event('batching.owns', service=service)
        return worker

    def _cancel(self, owner: str, service: str, request_id: str) -> None:
        if owner != self._peering.name:
            self._peering.send(owner, CancelRequest(service, request_id))
            return
        worker = self._workers_by_service.get(service)
        if worker is not None:
            worker.cancel(request_id)

    def _owners(self, service: str) -> list[str]:
        hosts = set(self._hosts())
        if not (self.is_leaving and hosts):
            hosts.add(self._peering.name)
        return owners_of(service, hosts)

    async def _keep_links(self) -> None:
        while True:
            addresses = self._hosts()
            for service in self._times_by_service:
                for owner in self._owners(service)[:_LINKED_OWNERS]:
                    if owner in addresses and owner != self._peering.name:
                        self._peering.add_peer(owner, addresses[owner])
            await asyncio.sleep(_LINK_INTERVAL_S)

    async def _on_submit(
        self,
        sender: str,
        request: SubmitPieces,
    ) -> PiecesDone:
        first = request.pieces[0]
        key = (first.request_id, first.stage)
        self._outcomes_by_stage[key] = []
        self._computing_for_others += 1
        try:
            outcomes = await self._compute_here(
                request.service,
                request.pieces,
                request.terms,
                lambda fetched: self._peering.send(sender, fetched),
            )
        except UnknownServiceError:
            self._outcomes_by_stage.pop(key, None)
            raise
        finally:
            self._computing_for_others -= 1
        self._outcomes_by_stage[key] = outcomes
        asyncio.get_running_loop().call_later(
            _KEEP_OUTCOMES_S,
            self._outcomes_by_stage.pop,
            key,
            None,
        )
        return PiecesDone(outcomes)

    async def _on_ask(self, _sender: str, question: AskStage) -> StageState:
        key = (question.request_id, question.stage)
        outcomes = self._outcomes_by_stage.get(key)
        return StageState(outcomes is not None, outcomes or [])

    async def _on_fetched(self, _sender: str, fetched: InputsFetched) -> None:
        self._note_fetched(fetched)

    def _note_fetched(self, fetched: InputsFetched) -> None:
        key = (fetched.request_id, fetched.stage)
        noted = self._fetched_by_stage.get(key)
        if noted is not None:
            noted()

    async def _on_release(self, _sender: str, request: ReleaseResults) -> None:
        worker = self._worker(request.service)
        if worker is not None:
            worker.release(request.handles)

    async def _on_cancel(self, _sender: str, request: CancelRequest) -> None:
        self._left_requests.add(request.request_id)
        asyncio.get_running_loop().call_later(
            _KEEP_LEFT_S,
            self._left_requests.discard,
            request.request_id,
        )
        self._cancel(
            self._peering.name,
            request.service,
            request.request_id,
        )


def _handles_so_far(queued: list[QueuedPiece]) -> list[str]:
    outcomes = [
        entry.outcome.result()
        for entry in queued
        if entry.outcome is not None
        and entry.outcome.done()
        and not entry.outcome.cancelled()
    ]
    return [outcome.handle for outcome in outcomes if outcome.handle]


def _handles(service: str, outcomes: list[PieceResult]) -> list[str]:
    failures = {outcome.failure for outcome in outcomes if outcome.failure}
    if failures:
        reasons = ', '.join(sorted(failures))
        raise PiecesFailedError(
            f'{service}: {reasons}',
            gone=failures == {FAILURE_GONE},
        )
    return [outcome.handle for outcome in outcomes]
