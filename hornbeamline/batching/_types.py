"""Types of stage pieces and their results."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from hornbeamline.batching.const import MAX_CALL_S, MIN_CALL_S


class EntryHost(NamedTuple):
    """Entry host that can own services."""

    address: str
    # Services that the host remains the owner of, because it dispatched
    # pieces (see `OwnedQueues.keeps`) or issues permits for their targets.
    owned_services: frozenset[str] = frozenset()
    # Whether the host is listed, but has not been heard from recently.
    is_suspected: bool = False
    # Processor capacity in cores; 0 if unknown.
    processor_cores: float = 0
    # Whether a control process runs on the same host.
    runs_control: bool = False


class BatchTarget(Protocol):
    """Attributes of a target that a worker needs."""

    @property
    def id(self) -> str:
        """Return the id, which differs for each start of the target."""

    @property
    def data_centre(self) -> str:
        """Return the data centre of the target."""


class CallTimes(Protocol):
    """Configured duration of a call at a target of a service."""

    @property
    def call_s(self) -> float:
        """Return the fixed part of the call duration in seconds."""

    @property
    def piece_s(self) -> float:
        """Return the seconds that each piece adds to a call."""


def call_duration_s(times: CallTimes, pieces: float) -> float:
    """Return the expected duration of a call with `pieces` pieces in seconds.

    Always positive and finite, whatever an operator has configured, so that
    rates can be computed from it.
    """
    configured_s = times.call_s + pieces * times.piece_s
    return min(max(MIN_CALL_S, configured_s), MAX_CALL_S)


class Piece(NamedTuple):
    """One piece of a stage of a request."""

    request_id: str
    stage: int
    number: int
    # Identifies the data of the caller, for stages without inputs.
    key: str
    # Handles of all results of the preceding stages; empty in first stages.
    inputs: list[str]


class PieceResult(NamedTuple):
    """Handle of the result of a piece, or the reason why there is none."""

    handle: str = ''
    # `late`, `gone` (an input is gone), `room` (no space for the result),
    # `error` or `lost`.
    failure: str = ''


class PieceTerms(NamedTuple):
    """Deadlines of pieces, in seconds from now, and their space needs."""

    # Deadline to meet the latency target of the request.
    due_s: float
    # Time after which nothing waits for the request.
    expires_s: float
    # 0 is the most urgent.
    rank: int
    # Expected size of the result of one piece.
    result_bytes: int
    # Share of the space of the preceding targets that the inputs take until
    # the pieces are computed.
    held_share: float = 0
    # Data centre of the inputs or of the next consumer; '' without a
    # preference.
    near: str = ''
