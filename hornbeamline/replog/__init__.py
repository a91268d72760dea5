"""Replicated log that orders commands across all control hosts (Raft)."""

from __future__ import annotations

from hornbeamline.replog._disk import Disk, MemoryDisk
from hornbeamline.replog._entries import Member, Members
from hornbeamline.replog._interface import ReplicatedLog, ReplicatedStateMachine
from hornbeamline.replog._reconciler import ControlHost
from hornbeamline.replog._replica import RaftLog
from hornbeamline.replog._voters import VoterChange
from hornbeamline.replog.errors import (
    CommandTooLargeError,
    DataFolderError,
    LogBusyError,
    LogStoppedError,
    NotLeaderError,
    ProposalUnknownError,
    VoterChangeRefusedError,
)

__all__ = (
    'CommandTooLargeError',
    'ControlHost',
    'DataFolderError',
    'Disk',
    'LogBusyError',
    'LogStoppedError',
    'Member',
    'Members',
    'MemoryDisk',
    'NotLeaderError',
    'ProposalUnknownError',
    'RaftLog',
    'ReplicatedLog',
    'ReplicatedStateMachine',
    'VoterChange',
    'VoterChangeRefusedError',
)
