"""Errors of batched stage calls."""

from __future__ import annotations

from hornbeamline.exceptions import BatchingError


class CallRefusedError(BatchingError):
    """The target did not run the call.

    `exempt_from_budget` is set if nothing reached the service, so that a
    retry does not count against the budget.
    """

    def __init__(self, reason: str, *, exempt_from_budget: bool) -> None:
        """Set the message to `reason`."""
        super().__init__(reason)
        self.exempt_from_budget = exempt_from_budget


class CallDeferredError(CallRefusedError):
    """The target accepts no further call now, so none was sent."""

    def __init__(self, reason: str) -> None:
        """Set the message to `reason`."""
        super().__init__(reason, exempt_from_budget=True)


class CallLostError(BatchingError):
    """The outcome of the call is unknown."""


class ResultsKeptError(BatchingError):
    """Results were not freed and take space until they expire."""


class UnknownServiceError(BatchingError):
    """The service is not configured on this host."""


class OwnerSilentError(BatchingError):
    """The owner of a service does not answer."""


class PiecesFailedError(BatchingError):
    """Pieces could not be computed.

    `gone` is set if their inputs are gone, so that the preceding stages
    must be computed again.
    """

    def __init__(self, reason: str, *, gone: bool = False) -> None:
        """Set the message to `reason`."""
        super().__init__(reason)
        self.gone = gone
