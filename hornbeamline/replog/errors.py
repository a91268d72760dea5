"""Errors of the replicated log."""

from __future__ import annotations

from hornbeamline.exceptions import NotLeaderError, ReplicatedLogError

__all__ = (
    'CommandTooLargeError',
    'DataFolderError',
    'LogBusyError',
    'LogStoppedError',
    'NotLeaderError',
    'ProposalUnknownError',
    'VoterChangeRefusedError',
)


class ProposalUnknownError(ReplicatedLogError):
    """Leadership ended before the commit; the command may still be applied."""


class LogStoppedError(ReplicatedLogError):
    """The log does not run: not started, shut down or stopped by a failure."""


class DataFolderError(LogStoppedError):
    """The data folder cannot be created, locked or written on startup."""


class LogBusyError(ReplicatedLogError):
    """Too many proposals are pending; nothing was proposed."""


class CommandTooLargeError(ReplicatedLogError):
    """A command is too large for a message; nothing was proposed."""


class VoterChangeRefusedError(ReplicatedLogError):
    """A membership change is not allowed now; nothing was changed."""
