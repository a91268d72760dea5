"""Consistency checks of recorded histories of concurrent operations."""

from __future__ import annotations

from hornbeamline.history._checks import (
    RevisionObservation,
    check_monotonic_revisions,
    check_takes_force,
)
from hornbeamline.history._linearizability import (
    HistoryTooLargeError,
    Model,
    is_linearizable,
)
from hornbeamline.history._models import (
    ChangeAnswer,
    ChangeArgument,
    ClaimAnswer,
    ClaimArgument,
    ClaimModel,
    ConfigurationModel,
    FinishArgument,
    ReadArgument,
)
from hornbeamline.history._operation import NEVER_ENDED, Operation, Recorder

__all__ = (
    'NEVER_ENDED',
    'ChangeAnswer',
    'ChangeArgument',
    'ClaimAnswer',
    'ClaimArgument',
    'ClaimModel',
    'ConfigurationModel',
    'FinishArgument',
    'HistoryTooLargeError',
    'Model',
    'Operation',
    'ReadArgument',
    'Recorder',
    'RevisionObservation',
    'check_monotonic_revisions',
    'check_takes_force',
    'is_linearizable',
)
