"""Messages between entry hosts about pieces of stages."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.batching._types import Piece, PieceResult, PieceTerms
from hornbeamline.peering import message


@message('batching.submit')
class SubmitPieces(NamedTuple):
    """Submission of pieces to the owner of their service."""

    service: str
    pieces: list[Piece]
    terms: PieceTerms


@message('batching.submit_reply')
class PiecesDone(NamedTuple):
    """Outcomes in the order of the submitted pieces."""

    outcomes: list[PieceResult]


@message('batching.ask')
class AskStage(NamedTuple):
    """Health check: asks the owner for the state of submitted pieces."""

    request_id: str
    stage: int


@message('batching.ask_reply')
class StageState(NamedTuple):
    """State of submitted pieces at an owner.

    The outcomes are empty while the pieces are in progress.
    """

    is_known: bool
    outcomes: list[PieceResult]


@message('batching.release')
class ReleaseResults(NamedTuple):
    """Releases results that are no longer needed."""

    service: str
    handles: list[str]


@message('batching.fetched')
class InputsFetched(NamedTuple):
    """Reports that targets have fetched all inputs of a stage."""

    request_id: str
    stage: int


@message('batching.cancel')
class CancelRequest(NamedTuple):
    """Cancels the pieces of a request at the owner."""

    service: str
    request_id: str
