"""Pieces of stages and their results."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class EntryHost(NamedTuple):
    """Another host that can own services."""

    address: str
    # Services whose pieces it has taken of late; see `OwnedQueues`.
    owned_services: frozenset[str] = frozenset()
    # It is listed, but was not heard of lately.
    is_quiet: bool = False


class BatchTarget(Protocol):
    """What a worker needs to know of a target."""

    @property
    def id(self) -> str:
        """Return the id of this start of the target."""

    @property
    def data_centre(self) -> str:
        """Return where the target is."""


class Piece(NamedTuple):
    """One piece of a stage of a request."""

    request_id: str
    stage: int
    number: int
    # Names the caller's data; for stages without inputs.
    key: str
    # Handles of all results of the stages before; empty in first stages.
    inputs: list[str]


class PieceResult(NamedTuple):
    """Where the result of a piece lies, or why there is none."""

    handle: str = ''
    # `late`, `gone` (an input is gone), `room`, `error` or `lost`.
    failure: str = ''


class PieceTerms(NamedTuple):
    """When pieces are needed, in seconds from now, and what they take."""

    # Later than this, the request misses its aim.
    due_s: float
    # Later than this, nobody waits for the request.
    expires_s: float
    # 0 is the most urgent.
    rank: int
    # Expected size of the result of one piece.
    result_bytes: int
    # Share of the space of the targets before that the inputs take until
    # the pieces are computed.
    held_share: float = 0
    # Data centre with the inputs or the next user; '' when any will do.
    near: str = ''
