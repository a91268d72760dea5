"""Errors of attempts at targets and of responses to callers."""

from __future__ import annotations

from hornbeamline.exceptions import GatewayError
from hornbeamline.gateway._types import Refusal


class RefusedError(GatewayError):
    """The request is answered by the gateway with an error."""

    def __init__(self, refusal: Refusal) -> None:
        """Create an error for a refusal."""
        super().__init__(f'{refusal.status} {refusal.reason} {refusal.detail}')
        self.refusal = refusal


class NotRunError(GatewayError):
    """An attempt failed and the target provably did not run it."""


class TargetGoneError(NotRunError):
    """The target is unreachable, draining or paused.

    Also raised if another target has taken over its address.
    """


class ConnectionDeniedError(TargetGoneError):
    """The target's host has refused the connection."""


class TargetLimitedError(NotRunError):
    """The rate limit of the target allows no further request now."""


class InputsGoneError(NotRunError):
    """The stage results that the request needs no longer exist."""


class MayHaveRunError(GatewayError):
    """An attempt failed without a usable answer and may have run."""


class OriginNotRecordedError(MayHaveRunError):
    """The version that began a stream is not recorded; no event was sent."""


class AnswerBrokenError(GatewayError):
    """A response to a caller that has begun cannot be completed."""
