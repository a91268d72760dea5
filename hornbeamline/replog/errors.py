"""Errors of the replicated log."""

from __future__ import annotations

from hornbeamline.exceptions import ReplicatedLogError


class NotLeaderError(ReplicatedLogError):
    """This host does not lead; nothing was proposed."""

    def __init__(self, leader: str | None) -> None:
        """Take the name of the known leader, if any."""
        super().__init__(f'not the leader; known leader: {leader or "none"}')
        self.leader = leader


class ProposalUnknownError(ReplicatedLogError):
    """Leadership was lost before the commit; the command may still apply."""


class LogStoppedError(ReplicatedLogError):
    """Storage failed or the log is shutting down."""


class DataFolderError(LogStoppedError):
    """The data folder cannot be created, locked or written at start."""


class LogBusyError(ReplicatedLogError):
    """Too many proposals are pending; nothing was proposed."""


class CommandTooLargeError(ReplicatedLogError):
    """A command does not fit into one message; nothing was proposed."""


class VoterChangeRefusedError(ReplicatedLogError):
    """A change of voters is not allowed now; nothing was changed."""
