"""Order in which queued pieces are computed; needs no network."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from hornbeamline.batching._types import Piece, PieceResult, PieceTerms
from hornbeamline.batching.const import (
    LATE_WAIT_FACTOR,
    MAX_HELD_SHARE,
    MAX_PASSED,
    NEAR_SPARE_S,
    RANK_DELAY_S,
    REMOTE_DELAY_S,
)


class IdleTarget(NamedTuple):
    """A target that can begin a call."""

    # Time that a call takes.
    service_s: float
    # Space for results.
    room_bytes: float
    data_centre: str = ''
    # Data centres of the targets that are or will soon be idle.
    places: frozenset[str] = frozenset()


class QueuedPiece:
    """A piece that waits for its turn."""

    def __init__(self, piece: Piece, terms: PieceTerms, now: float) -> None:
        """Take the piece, its terms and the local time that they count from."""
        self.piece = piece
        self.queued_at = now
        self.due_at = now + terms.due_s
        self.expires_at = now + terms.expires_s
        self.rank = terms.rank
        self.result_bytes = terms.result_bytes
        self.held_share = terms.held_share
        self.near = terms.near
        # Calls that included it.
        self.attempts = 0
        # Calls that its group did not fit into.
        self.passed = 0
        # Other pieces of its group hold space until it is computed.
        self.is_begun = False
        # Called once a target has fetched the inputs.
        self.on_fetched: Callable[[], None] | None = None
        self.outcome: asyncio.Future[PieceResult] | None = None

    def settle(self, outcome: PieceResult) -> None:
        """Hand over the outcome, unless nobody waits any more."""
        if self.outcome is not None and not self.outcome.done():
            self.outcome.set_result(outcome)

    def note_fetched(self) -> None:
        """Note that a target works on the piece and has its inputs."""
        fetched = self.on_fetched
        self.on_fetched = None
        if fetched is not None:
            fetched()

    @property
    def holds_much(self) -> bool:
        """Return whether the inputs take much of the space of targets."""
        return self.held_share >= MAX_HELD_SHARE

    @property
    def is_abandoned(self) -> bool:
        """Return whether nobody waits for the result any more."""
        return self.outcome is not None and self.outcome.done()


def by_stage(
    pieces: Iterable[QueuedPiece],
) -> dict[tuple[str, int], list[QueuedPiece]]:
    """Return pieces by request and stage."""
    grouped: dict[tuple[str, int], list[QueuedPiece]] = {}
    for queued in pieces:
        grouped.setdefault(_group_of(queued), []).append(queued)
    return grouped


class BatchQueue:
    """Pieces for the targets of one service.

    Answers a load in which short and long requests share the targets:
    pieces that can still be in time go first, the earliest due time
    leading, and a less urgent rank counts as due later. Pieces of requests
    that miss their aim anyway follow, so that late work never delays work
    that is in time, unless their inputs take space at the targets before:
    waiting there would stop those. The rest of a stage that has begun goes
    before all others, since its first results take space until then.
    """

    def __init__(self, pieces_per_call: int) -> None:
        """Take the most pieces that a call may carry."""
        self.pieces_per_call = pieces_per_call
        # The last call left a group behind for want of space alone.
        self.was_space_short = False
        self._queued: list[QueuedPiece] = []

    def __len__(self) -> int:
        """Return the number of queued pieces."""
        return len(self._queued)

    def count_up_to(self, rank: int) -> int:
        """Return the queued pieces of a rank and the more urgent ones."""
        return sum(queued.rank <= rank for queued in self._queued)

    def first_near(self, now: float, service_s: float) -> str:
        """Return the wished data centre of the most urgent piece."""
        first = min(
            self._queued,
            key=lambda queued: _urgency(queued, now + service_s),
        )
        return first.near

    def ranks(self) -> list[int]:
        """Return the ranks of the queued pieces, most urgent first."""
        return sorted({queued.rank for queued in self._queued})

    def add(self, pieces: Iterable[QueuedPiece]) -> None:
        """Queue pieces."""
        self._queued.extend(pieces)

    def drop_request(self, request_id: str) -> list[QueuedPiece]:
        """Remove and return the pieces of a request."""
        dropped = [
            queued
            for queued in self._queued
            if queued.piece.request_id == request_id
        ]
        self._queued = [
            queued
            for queued in self._queued
            if queued.piece.request_id != request_id
        ]
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

    def drop_hopeless(
        self,
        now: float,
        service_s: float,
        rate: float,
    ) -> list[QueuedPiece]:
        """Remove and return the pieces that will not have their turn.

        Answers an overload that lasts: with `rate` pieces a second, the
        ones behind too many others are given up at once, so that their
        callers hear of it while they can still come back. Stages that have
        begun stay.
        """
        done_at = now + service_s
        self._queued.sort(key=lambda queued: _urgency(queued, done_at))
        ahead = 0
        kept: list[QueuedPiece] = []
        hopeless: list[QueuedPiece] = []
        for _, members in itertools.groupby(self._queued, key=_group_of):
            group = list(members)
            wait_s = (ahead + len(group)) / rate
            if group[0].due_at < done_at:
                # Work that is in time and still comes goes first.
                wait_s *= LATE_WAIT_FACTOR
            is_lost = now + wait_s > group[0].expires_at
            if is_lost and not group[0].is_begun:
                hopeless.extend(group)
            else:
                kept.extend(group)
                ahead += len(group)
        self._queued = kept
        return hopeless

    def take(self, now: float, target: IdleTarget) -> list[QueuedPiece]:
        """Remove and return the pieces of the next call.

        Groups that can wait for a target in their data centre stay.
        """
        done_at = now + target.service_s
        self._queued.sort(
            key=lambda queued: _urgency(queued, done_at, target.data_centre),
        )
        offered = [
            queued
            for queued in self._queued
            if not _can_wait(queued, now, target)
        ]
        self.was_space_short = False
        chosen = self._whole_groups(offered, target.room_bytes)
        if not chosen and offered:
            chosen = self._part_of_first(offered, target.room_bytes)
        taken = set(map(id, chosen))
        self._queued = [
            queued for queued in self._queued if id(queued) not in taken
        ]
        self._note_begun(chosen)
        return chosen

    def _note_begun(self, chosen: list[QueuedPiece]) -> None:
        """Let the rest of the chosen groups go first from now on."""
        begun = {_group_of(queued) for queued in chosen}
        for queued in self._queued:
            queued.is_begun = queued.is_begun or _group_of(queued) in begun

    def _whole_groups(
        self,
        offered: list[QueuedPiece],
        room_bytes: float,
    ) -> list[QueuedPiece]:
        """Return the most urgent groups that fit into a call as a whole.

        A stage of a request is done with its last piece, so splitting it
        over two calls keeps the results of the first call waiting. A group
        is split when it is too large for a call, or when smaller groups
        have passed it several times.
        """
        chosen: list[QueuedPiece] = []
        for _, members in itertools.groupby(offered, key=_group_of):
            group = list(members)
            slots = self.pieces_per_call - len(chosen)
            fitting = _fitting(group, slots, room_bytes)
            is_split = (
                len(group) > self.pieces_per_call
                or group[0].passed >= MAX_PASSED
                or group[0].is_begun
            )
            if is_split or len(fitting) == len(group):
                chosen.extend(fitting)
                room_bytes -= _size_of(fitting)
            else:
                group[0].passed += 1
            if len(fitting) < min(len(group), slots):
                self.was_space_short = True
        return chosen

    def _part_of_first(
        self,
        offered: list[QueuedPiece],
        room_bytes: float,
    ) -> list[QueuedPiece]:
        first = _group_of(offered[0])
        group = [queued for queued in offered if _group_of(queued) == first]
        return _fitting(group, self.pieces_per_call, room_bytes)


def _urgency(
    queued: QueuedPiece,
    done_at: float,
    data_centre: str = '',
) -> tuple[bool, bool, float, str, int]:
    is_late = queued.due_at < done_at and not queued.holds_much
    due_at = queued.due_at + queued.rank * RANK_DELAY_S
    if queued.near not in {'', data_centre}:
        due_at += REMOTE_DELAY_S
    return (
        not queued.is_begun,
        is_late,
        due_at,
        queued.piece.request_id,
        queued.piece.stage,
    )


def _can_wait(queued: QueuedPiece, now: float, target: IdleTarget) -> bool:
    """Return whether a piece waits for another target in its data centre."""
    if queued.near == target.data_centre or queued.near not in target.places:
        return False
    spare_s = queued.due_at - now - target.service_s
    return spare_s > NEAR_SPARE_S and not queued.is_begun


def _fitting(
    group: list[QueuedPiece],
    slots: int,
    room_bytes: float,
) -> list[QueuedPiece]:
    """Return the first pieces that slots and space suffice for."""
    fitting: list[QueuedPiece] = []
    for queued in group[:slots]:
        room_bytes -= queued.result_bytes
        if room_bytes < 0:
            break
        fitting.append(queued)
    return fitting


def _size_of(group: list[QueuedPiece]) -> int:
    return sum(queued.result_bytes for queued in group)


def _group_of(queued: QueuedPiece) -> tuple[str, int]:
    return (queued.piece.request_id, queued.piece.stage)
