"""Order in which queued pieces are computed; needs no network."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from hornbeamline.batching._types import Piece, PieceResult


class QueuedPiece:
    """A piece that waits for its turn."""

    def __init__(
        self,
        piece: Piece,
        due_at: float,
        expires_at: float,
        rank: int,
    ) -> None:
        """Take the piece, its times on the local clock and its rank."""
        self.piece = piece
        self.due_at = due_at
        self.expires_at = expires_at
        self.rank = rank
        # Calls that included it.
        self.attempts = 0
        self.outcome: asyncio.Future[PieceResult] | None = None

    def settle(self, outcome: PieceResult) -> None:
        """Hand over the outcome, unless nobody waits any more."""
        if self.outcome is not None and not self.outcome.done():
            self.outcome.set_result(outcome)

    @property
    def is_abandoned(self) -> bool:
        """Return whether nobody waits for the result any more."""
        return self.outcome is not None and self.outcome.done()


class BatchQueue:
    """Pieces for the targets of one service.

    Answers a load in which short and long requests share the targets:
    pieces that can still be in time go first, the earliest due time
    leading; pieces of requests that miss their aim anyway follow by rank,
    so that an overload hits the least urgent requests and late work never
    delays work that is in time.
    """

    def __init__(self, pieces_per_call: int) -> None:
        """Take the most pieces that a call may carry."""
        self.pieces_per_call = pieces_per_call
        self._queued: list[QueuedPiece] = []

    def __len__(self) -> int:
        """Return the number of queued pieces."""
        return len(self._queued)

    def add(self, pieces: Iterable[QueuedPiece]) -> None:
        """Queue pieces."""
        self._queued.extend(pieces)

    def drop_request(self, request_id: str) -> int:
        """Forget the pieces of a request; return how many there were."""
        kept = [
            queued
            for queued in self._queued
            if queued.piece.request_id != request_id
        ]
        dropped = len(self._queued) - len(kept)
        self._queued = kept
        return dropped

    def drop_expired(self, now: float) -> list[QueuedPiece]:
        """Remove and return the pieces that came too late."""
        expired = [
            queued for queued in self._queued if queued.expires_at <= now
        ]
        self._queued = [
            queued
            for queued in self._queued
            if queued.expires_at > now and not queued.is_abandoned
        ]
        return expired

    def take(self, now: float, service_s: float) -> list[QueuedPiece]:
        """Remove and return the pieces of the next call.

        `service_s` is the time that a call takes.
        """
        done_at = now + service_s
        ordered = sorted(
            self._queued,
            key=lambda queued: _urgency(queued, done_at),
        )
        chosen = ordered[: self.pieces_per_call]
        self._queued = ordered[self.pieces_per_call :]
        return chosen


def _urgency(queued: QueuedPiece, done_at: float) -> tuple[int, int, float]:
    if queued.due_at >= done_at:
        return (0, 0, queued.due_at)
    return (1, queued.rank, queued.due_at)
