"""HTTP client towards targets."""

from __future__ import annotations

from hornbeamline.targets._client import TargetClient
from hornbeamline.targets._messages import (
    StageAnswer,
    StagePayload,
    TargetCall,
    Usage,
)
from hornbeamline.targets.errors import (
    TargetFailedError,
    TargetLostError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
)

__all__ = (
    'StageAnswer',
    'StagePayload',
    'TargetCall',
    'TargetClient',
    'TargetFailedError',
    'TargetLostError',
    'TargetRefusedError',
    'TargetTimeoutError',
    'TargetUnreachableError',
    'Usage',
)
