"""Errors of the replicated log."""

from __future__ import annotations

from hornbeamline.exceptions import ReplicatedLogError


class NotLeaderError(ReplicatedLogError):
    """This host is not the leader; nothing was proposed."""

    def __init__(self, leader: str | None) -> None:
        """Initialize with the name of the known leader, if any."""
        super().__init__(f'not the leader; known leader: {leader or "none"}')
        self.leader = leader


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
