"""Messages between entry hosts about pieces of stages."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.batching._types import Piece, PieceResult, PieceTerms
from hornbeamline.peering import message


@message('batching.submit')
class SubmitPieces(NamedTuple):
    """Asks the owner of a service to have pieces computed."""

    service: str
    pieces: list[Piece]
    terms: PieceTerms


@message('batching.submit_reply')
class PiecesDone(NamedTuple):
    """Results in the order of the pieces."""

    outcomes: list[PieceResult]


@message('batching.ask')
class AskStage(NamedTuple):
    """Asks an owner whether it still works on pieces."""

    request_id: str
    stage: int


@message('batching.ask_reply')
class StageState(NamedTuple):
    """What an owner knows of pieces; outcomes once they are computed."""

    is_known: bool
    outcomes: list[PieceResult]


@message('batching.release')
class ReleaseResults(NamedTuple):
    """Nobody needs these results any more."""

    service: str
    handles: list[str]


@message('batching.fetched')
class InputsFetched(NamedTuple):
    """Targets have fetched the inputs of all pieces of a stage."""

    request_id: str
    stage: int


@message('batching.cancel')
class CancelRequest(NamedTuple):
    """Nobody waits for the pieces of a request any more."""

    service: str
    request_id: str
