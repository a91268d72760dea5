"""Errors of batched stage calls."""

from __future__ import annotations

from hornbeamline.exceptions import BatchingError


class CallRefusedError(BatchingError):
    """The target did not run a call.

    `free` says that nothing reached the service.
    """

    def __init__(self, reason: str, *, free: bool) -> None:
        """Take the reason."""
        super().__init__(reason)
        self.free = free


class CallDeferredError(CallRefusedError):
    """The target takes no further call now, so that none was sent."""

    def __init__(self, reason: str) -> None:
        """Take the reason."""
        super().__init__(reason, free=True)


class CallLostError(BatchingError):
    """The outcome of a call is not known."""


class ResultsKeptError(BatchingError):
    """Results were not freed; they take space until they expire."""


class UnknownServiceError(BatchingError):
    """This process does not know the service."""


class OwnerSilentError(BatchingError):
    """The owner of a service does not answer."""


class PiecesFailedError(BatchingError):
    """Pieces could not be computed.

    `gone` says that their inputs are gone, so that the stages before have
    to be computed again.
    """

    def __init__(self, reason: str, *, gone: bool = False) -> None:
        """Take the reason."""
        super().__init__(reason)
        self.gone = gone
