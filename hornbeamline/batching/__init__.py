"""Pieces of stages that targets compute in batches."""

from __future__ import annotations

from hornbeamline.batching._ownership import Ownership
from hornbeamline.batching._queue import BatchQueue, QueuedPiece
from hornbeamline.batching._service import BatchingService
from hornbeamline.batching._types import (
    BatchTarget,
    EntryHost,
    Piece,
    PieceResult,
    PieceTerms,
)
from hornbeamline.batching._worker import BatchTimes, TargetAccess
from hornbeamline.batching.errors import (
    CallDeferredError,
    CallLostError,
    CallRefusedError,
    PiecesFailedError,
    ResultsKeptError,
)

__all__ = (
    'BatchTarget',
    'BatchTimes',
    'BatchQueue',
    'BatchingService',
    'CallDeferredError',
    'CallLostError',
    'CallRefusedError',
    'EntryHost',
    'Ownership',
    'Piece',
    'PieceResult',
    'PieceTerms',
    'PiecesFailedError',
    'QueuedPiece',
    'ResultsKeptError',
    'TargetAccess',
)
