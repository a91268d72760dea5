"""HTTP client for targets.

`pollers` is imported separately, because it depends on the decision engine.
"""

from __future__ import annotations

from hornbeamline.targets._client import TargetClient
from hornbeamline.targets._connections import (
    GuardedConnector,
    SendProgress,
    track_send_progress,
)
from hornbeamline.targets._messages import (
    CompletionPayload,
    StageAnswer,
    StagePayload,
    TargetCall,
    TokenBatch,
    Usage,
    prefix_digest,
)
from hornbeamline.targets.errors import (
    TargetFailedError,
    TargetLostError,
    TargetNotSentError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
    TargetVersionError,
)

__all__ = (
    'CompletionPayload',
    'GuardedConnector',
    'SendProgress',
    'StageAnswer',
    'StagePayload',
    'TargetCall',
    'TargetClient',
    'TargetFailedError',
    'TargetLostError',
    'TargetNotSentError',
    'TargetRefusedError',
    'TargetTimeoutError',
    'TargetUnreachableError',
    'TargetVersionError',
    'TokenBatch',
    'Usage',
    'prefix_digest',
    'track_send_progress',
)
