"""Computation of pieces through the owner of their service."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final

from hornbeamline.batching._messages import (
    CancelRequest,
    InputsFetched,
    ReleaseResults,
    SubmitPieces,
)
from hornbeamline.batching._owner import OwnedQueues
from hornbeamline.batching._ownership import Ownership
from hornbeamline.batching._remote import OwnerClient
from hornbeamline.batching._types import (
    EntryHost,
    Piece,
    PieceResult,
    PieceTerms,
)
from hornbeamline.batching._worker import (
    FAILURE_GONE,
    BatchProfile,
    TargetAccess,
)
from hornbeamline.batching.errors import (
    OwnerSilentError,
    PiecesFailedError,
    UnknownServiceError,
)
from hornbeamline.core import TaskSet
from hornbeamline.helpers.budget import RetryBudget
from hornbeamline.helpers.clock import Clock
from hornbeamline.peering import Peering

_LINK_INTERVAL_S: Final = 0.5
# Hosts per service to keep connected: the owner and its successor.
_LINKED_OWNERS: Final = 2
_MAX_ATTEMPTS_PER_OWNER: Final = 2
_MAX_ATTEMPTS: Final = 5


class BatchingService:
    """Submit pieces to the owner of their service, possibly this host."""

    def __init__(
        self,
        peering: Peering,
        clock: Clock,
        hosts: Callable[[], Mapping[str, EntryHost]],
        access: TargetAccess,
        budget: RetryBudget,
    ) -> None:
        """Register the message handlers.

        `hosts` returns the other present hosts by name. The owner of a
        service sends the retries for all hosts, so `budget` must be the
        budget of all hosts together.
        """
        self._peering = peering
        self._clock = clock
        self._owned = OwnedQueues(peering, clock, access, budget)
        self._owner_client = OwnerClient(peering)
        self.ownership = Ownership(
            peering.name,
            hosts,
            self._owned.keeps,
            clock,
        )
        # Callbacks to run when targets have fetched the inputs of a stage.
        self._fetched_by_stage: dict[tuple[str, int], Callable[[], None]] = {}
        self._tasks = TaskSet()
        peering.on(InputsFetched, self._on_fetched)

    async def start(self) -> None:
        """Start to maintain connections to the owners."""
        self._tasks.keep_running(self._keep_links, 'batching links')

    async def stop(self) -> None:
        """Stop all work and drop the queues of this host."""
        await self._tasks.cancel_all()
        await self._owned.stop()

    @property
    def stages_in_progress_for_others(self) -> int:
        """Return the number of stages from other hosts in progress."""
        return self._owned.stages_in_progress_for_others

    def update(self, profile_by_service: Mapping[str, BatchProfile]) -> None:
        """Apply the services of a newer configuration."""
        self._owned.update(profile_by_service)
        self.ownership.services = frozenset(profile_by_service)

    def owned_services(self) -> list[str]:
        """Return the services of which this host remains the owner."""
        return self._owned.kept_services()

    def waits_by_service(self) -> dict[str, dict[int, float]]:
        """Return the expected queueing time by rank of owned services."""
        return {
            service: waits
            for service, waits in self._owned.waits_by_service().items()
            if self.ownership.owns(service)
        }

    def rate_by_service(self) -> dict[str, float]:
        """Return the pieces per second that each owned service computes."""
        return {
            service: rate
            for service, rate in self._owned.rate_by_service().items()
            if self.ownership.owns(service)
        }

    async def compute(
        self,
        service: str,
        pieces: list[Piece],
        terms: PieceTerms,
        on_fetched: Callable[[], None],
    ) -> list[str]:
        """Compute pieces and return the result handles in the same order.

        Calls `on_fetched` when targets have fetched all inputs. An owner
        that stops answering is replaced by its successor, so pieces may be
        computed more than once. Raises `PiecesFailedError`.
        """
        key = (pieces[0].request_id, pieces[0].stage)
        self._fetched_by_stage[key] = on_fetched
        try:
            outcomes = await self._try_owners(
                SubmitPieces(service, pieces, terms),
            )
        finally:
            self._fetched_by_stage.pop(key, None)
        if outcomes is None:
            raise PiecesFailedError(f'{service}: no owner answered')
        return _handles(service, outcomes)

    def release(self, service: str, handles: list[str]) -> None:
        """Release results that are no longer needed.

        If the owner is lost, the results expire at their targets.
        """
        owner = self.ownership.owners(service)[0]
        if owner == self._peering.name:
            self._owned.release(service, handles)
        else:
            self._peering.send(owner, ReleaseResults(service, handles))

    async def _try_owners(
        self,
        request: SubmitPieces,
    ) -> list[PieceResult] | None:
        started = self._clock.monotonic()
        terms = request.terms
        # An owner that lost the pieces in a restart gets them again.
        tried: Counter[str] = Counter()
        for _ in range(_MAX_ATTEMPTS):
            owner = self._next_owner(request.service, tried)
            tried[owner] += 1
            spent_s = self._clock.monotonic() - started
            remaining = terms._replace(
                due_s=terms.due_s - spent_s,
                expires_s=terms.expires_s - spent_s,
            )
            if remaining.expires_s <= 0:
                return None
            outcomes = await self._ask(owner, request._replace(terms=remaining))
            if outcomes is not None:
                return outcomes
        return None

    def _next_owner(self, service: str, tried: Counter[str]) -> str:
        """Return the next owner to try, or this host if none is left."""
        for owner in self.ownership.owners(service)[:_LINKED_OWNERS]:
            may_try = tried[owner] < _MAX_ATTEMPTS_PER_OWNER
            if may_try and not self.ownership.is_silent(owner):
                return owner
        return self._peering.name

    async def _ask(
        self,
        owner: str,
        request: SubmitPieces,
    ) -> list[PieceResult] | None:
        try:
            return await self._compute_at(owner, request)
        except UnknownServiceError:
            return None
        except OwnerSilentError:
            self._note_silent(owner)
            self._cancel(owner, request)
            return None
        except asyncio.CancelledError:
            self._cancel(owner, request)
            raise

    def _note_silent(self, owner: str) -> None:
        """Skip an owner if the peering no longer hears from it.

        Packet loss alone can delay the answers of a healthy owner.
        """
        if not self._peering.is_alive(owner):
            self.ownership.note_silent(owner)

    async def _compute_at(
        self,
        owner: str,
        request: SubmitPieces,
    ) -> list[PieceResult] | None:
        if owner == self._peering.name:
            return await self._owned.compute(request, self._note_fetched)
        host = self.ownership.hosts().get(owner)
        if host is None:
            return None
        self._peering.add_peer(owner, host.address)
        return await self._owner_client.compute(owner, request)

    def _cancel(self, owner: str, request: SubmitPieces) -> None:
        request_id = request.pieces[0].request_id
        if owner == self._peering.name:
            self._owned.cancel(request.service, request_id)
        else:
            message = CancelRequest(request.service, request_id)
            self._peering.send(owner, message)

    async def _keep_links(self) -> None:
        while True:
            linked = self._linked_owners()
            for name, host in self.ownership.hosts().items():
                if name in linked:
                    self._peering.add_peer(name, host.address)
            await asyncio.sleep(_LINK_INTERVAL_S)

    def _linked_owners(self) -> set[str]:
        return {
            owner
            for service in self._owned.services()
            for owner in self.ownership.owners(service)[:_LINKED_OWNERS]
        }

    async def _on_fetched(self, _sender: str, fetched: InputsFetched) -> None:
        self._note_fetched(fetched)

    def _note_fetched(self, fetched: InputsFetched) -> None:
        key = (fetched.request_id, fetched.stage)
        callback = self._fetched_by_stage.get(key)
        if callback is not None:
            callback()


def _handles(service: str, outcomes: list[PieceResult]) -> list[str]:
    failures = {outcome.failure for outcome in outcomes if outcome.failure}
    if failures:
        reasons = ', '.join(sorted(failures))
        raise PiecesFailedError(
            f'{service}: {reasons}',
            gone=failures == {FAILURE_GONE},
        )
    return [outcome.handle for outcome in outcomes]
