"""Batched execution of stage pieces on targets.

Each service has one owner host, which queues the pieces of all hosts.
"""

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
    call_duration_s,
)
from hornbeamline.batching._worker import BatchProfile, TargetAccess
from hornbeamline.batching.errors import (
    CallDeferredError,
    CallLostError,
    CallRefusedError,
    PiecesFailedError,
    ResultsKeptError,
)

__all__ = (
    'BatchTarget',
    'BatchProfile',
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
    'call_duration_s',
)
