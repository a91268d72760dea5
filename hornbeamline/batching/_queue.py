"""Scheduling of queued pieces into batches; performs no I/O."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from hornbeamline.batching._types import Piece, PieceResult, PieceTerms
from hornbeamline.batching.const import (
    LARGE_INPUT_SHARE,
    LATE_WAIT_FACTOR,
    MAX_TIMES_SKIPPED,
    MIN_SLACK_TO_WAIT_S,
    RANK_PENALTY_S,
    REMOTE_PENALTY_S,
)


class IdleTarget(NamedTuple):
    """Target that can start a call."""

    # Expected duration of a call.
    call_s: float
    # Free space for results.
    free_bytes: float
    data_centre: str = ''
    # Data centres of targets that are idle or soon will be.
    idle_data_centres: frozenset[str] = frozenset()


class QueuedPiece:
    """Piece that waits for dispatch."""

    def __init__(self, piece: Piece, terms: PieceTerms, now: float) -> None:
        """Derive the deadlines of the piece from its terms, relative to now."""
        self.piece = piece
        self.queued_at = now
        self.due_at = now + terms.due_s
        self.expires_at = now + terms.expires_s
        self.rank = terms.rank
        self.result_bytes = terms.result_bytes
        self.held_share = terms.held_share
        self.preferred_data_centre = terms.near
        # Number of calls that included the piece.
        self.attempts = 0
        # Number of calls that its group did not fit into.
        self.times_skipped = 0
        # Whether a call has included pieces of its group. Their results hold
        # space until this piece is computed too.
        self.is_started = False
        # Called once, when a target has fetched the inputs.
        self.on_fetched: Callable[[], None] | None = None
        self.outcome: asyncio.Future[PieceResult] | None = None

    def settle(self, outcome: PieceResult) -> None:
        """Set the outcome, unless the piece was abandoned."""
        if self.outcome is not None and not self.outcome.done():
            self.outcome.set_result(outcome)

    def note_fetched(self) -> None:
        """Report that the computing target has fetched the inputs."""
        fetched = self.on_fetched
        self.on_fetched = None
        if fetched is not None:
            fetched()

    @property
    def has_large_inputs(self) -> bool:
        """Return whether the inputs take a large share of target space."""
        return self.held_share >= LARGE_INPUT_SHARE

    @property
    def is_abandoned(self) -> bool:
        """Return whether nothing waits for the result any longer."""
        return self.outcome is not None and self.outcome.done()


def group_by_stage(
    pieces: Iterable[QueuedPiece],
) -> dict[tuple[str, int], list[QueuedPiece]]:
    """Group pieces by request and stage."""
    grouped: dict[tuple[str, int], list[QueuedPiece]] = {}
    for queued in pieces:
        grouped.setdefault(_group_of(queued), []).append(queued)
    return grouped


class BatchQueue:
    """Queue pieces for the targets of one service.

    Pieces that can still meet their latency target are scheduled by
    earliest deadline first, so that short and long requests can share the
    targets; a less urgent rank adds a penalty to the deadline. Late pieces
    come last, so that they never delay pieces that are in time. Exempt are
    late pieces with large inputs, which would otherwise block space at the
    targets of the preceding stages. The remaining pieces of a started group
    come before all others, since its first results take space until the
    group is done.
    """

    def __init__(self, pieces_per_call: int) -> None:
        """Start empty, with the maximum number of pieces per call."""
        self.pieces_per_call = pieces_per_call
        # Whether only a lack of space kept a group out of the last call.
        self.was_limited_by_space = False
        self._queued: list[QueuedPiece] = []

    def __len__(self) -> int:
        """Return the number of queued pieces."""
        return len(self._queued)

    def count_up_to(self, rank: int) -> int:
        """Return the number of pieces of this rank or a more urgent one."""
        return sum(queued.rank <= rank for queued in self._queued)

    def first_preference(self, now: float, call_s: float) -> str:
        """Return the preferred data centre of the most urgent piece."""
        first = min(
            self._queued,
            key=lambda queued: _urgency(queued, now + call_s),
        )
        return first.preferred_data_centre

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

    def drop_all(self) -> list[QueuedPiece]:
        """Remove and return all pieces."""
        dropped = self._queued
        self._queued = []
        return dropped

    def drop_expired(self, now: float) -> list[QueuedPiece]:
        """Remove and return the expired pieces; drop abandoned ones."""
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
        call_s: float,
        rate: float,
    ) -> list[QueuedPiece]:
        """Remove and return the pieces that would expire in the queue.

        Sheds load under lasting overload: at `rate` pieces per second, a
        group that cannot be dispatched before its expiry is dropped at
        once, so that its caller can still retry. Started groups are kept.
        """
        done_at = now + call_s
        self._queued.sort(key=lambda queued: _urgency(queued, done_at))
        ahead = 0
        kept: list[QueuedPiece] = []
        hopeless: list[QueuedPiece] = []
        for _, members in itertools.groupby(self._queued, key=_group_of):
            group = list(members)
            wait_s = (ahead + len(group)) / rate
            if group[0].due_at < done_at:
                # Pieces in time that arrive later are scheduled first.
                wait_s *= LATE_WAIT_FACTOR
            would_expire = now + wait_s > group[0].expires_at
            if would_expire and not group[0].is_started:
                hopeless.extend(group)
            else:
                kept.extend(group)
                ahead += len(group)
        self._queued = kept
        return hopeless

    def take(self, now: float, target: IdleTarget) -> list[QueuedPiece]:
        """Remove and return the pieces of the next call.

        Groups that can wait for a target in their preferred data centre
        stay queued. If no group fits, a part of the most urgent one is taken.
        """
        done_at = now + target.call_s
        self._queued.sort(
            key=lambda queued: _urgency(queued, done_at, target.data_centre),
        )
        eligible = [
            queued
            for queued in self._queued
            if not _can_wait(queued, now, target)
        ]
        self.was_limited_by_space = False
        chosen = self._select_groups(eligible, target.free_bytes)
        if not chosen and eligible:
            chosen = self._part_of_first_group(eligible, target.free_bytes)
        chosen_ids = set(map(id, chosen))
        self._queued = [
            queued for queued in self._queued if id(queued) not in chosen_ids
        ]
        self._mark_started(chosen)
        return chosen

    def _mark_started(self, chosen: list[QueuedPiece]) -> None:
        """Give the remaining pieces of the chosen groups precedence."""
        started_groups = {_group_of(queued) for queued in chosen}
        for queued in self._queued:
            queued.is_started = (
                queued.is_started or _group_of(queued) in started_groups
            )

    def _select_groups(
        self,
        eligible: list[QueuedPiece],
        free_bytes: float,
    ) -> list[QueuedPiece]:
        """Return the pieces of the most urgent groups that fit into a call.

        A stage is done only with its last piece, so the results of a group
        split over two calls would hold space longer. Here, a group is split
        only if it is larger than a call, has been started, or has been skipped
        `MAX_TIMES_SKIPPED` times.
        """
        chosen: list[QueuedPiece] = []
        for _, members in itertools.groupby(eligible, key=_group_of):
            group = list(members)
            slots = self.pieces_per_call - len(chosen)
            fitting = _fitting(group, slots, free_bytes)
            is_split = (
                len(group) > self.pieces_per_call
                or group[0].times_skipped >= MAX_TIMES_SKIPPED
                or group[0].is_started
            )
            if is_split or len(fitting) == len(group):
                chosen.extend(fitting)
                free_bytes -= _size_of(fitting)
            else:
                group[0].times_skipped += 1
            if len(fitting) < min(len(group), slots):
                self.was_limited_by_space = True
        return chosen

    def _part_of_first_group(
        self,
        eligible: list[QueuedPiece],
        free_bytes: float,
    ) -> list[QueuedPiece]:
        first = _group_of(eligible[0])
        group = [queued for queued in eligible if _group_of(queued) == first]
        return _fitting(group, self.pieces_per_call, free_bytes)


def _urgency(
    queued: QueuedPiece,
    done_at: float,
    data_centre: str = '',
) -> tuple[bool, bool, float, str, int]:
    is_late = queued.due_at < done_at and not queued.has_large_inputs
    due_at = queued.due_at + queued.rank * RANK_PENALTY_S
    if queued.preferred_data_centre not in {'', data_centre}:
        due_at += REMOTE_PENALTY_S
    return (
        not queued.is_started,
        is_late,
        due_at,
        queued.piece.request_id,
        queued.piece.stage,
    )


def _can_wait(queued: QueuedPiece, now: float, target: IdleTarget) -> bool:
    """Return whether a piece can wait for its preferred data centre."""
    if (
        queued.preferred_data_centre == target.data_centre
        or queued.preferred_data_centre not in target.idle_data_centres
    ):
        return False
    slack_s = queued.due_at - now - target.call_s
    return slack_s > MIN_SLACK_TO_WAIT_S and not queued.is_started


def _fitting(
    group: list[QueuedPiece],
    slots: int,
    free_bytes: float,
) -> list[QueuedPiece]:
    """Return the first pieces that fit into the slots and the space."""
    fitting: list[QueuedPiece] = []
    for queued in group[:slots]:
        free_bytes -= queued.result_bytes
        if free_bytes < 0:
            break
        fitting.append(queued)
    return fitting


def _size_of(group: list[QueuedPiece]) -> int:
    return sum(queued.result_bytes for queued in group)


def _group_of(queued: QueuedPiece) -> tuple[str, int]:
    return (queued.piece.request_id, queued.piece.stage)
