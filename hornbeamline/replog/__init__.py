"""Replicated log: one order of commands for all control hosts."""

from __future__ import annotations

from hornbeamline.replog._interface import ReplicatedLog, ReplicatedMachine
from hornbeamline.replog.errors import (
    LogStoppedError,
    NotLeaderError,
    ProposalUnknownError,
)

__all__ = (
    'LogStoppedError',
    'NotLeaderError',
    'ProposalUnknownError',
    'ReplicatedLog',
    'ReplicatedMachine',
)
