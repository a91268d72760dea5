"""Errors on the way of a request to its target."""

from __future__ import annotations

from hornbeamline.exceptions import GatewayError
from hornbeamline.gateway._types import Refusal


class RefusedError(GatewayError):
    """The request ends with an answer of the gateway's own."""

    def __init__(self, refusal: Refusal) -> None:
        """Take status, reason and time to come back."""
        super().__init__(f'{refusal.status} {refusal.reason} {refusal.detail}')
        self.refusal = refusal


class NotRunError(GatewayError):
    """An attempt ended and the target provably did not run it."""


class TargetGoneError(NotRunError):
    """The target accepts no connection, or another one has its address."""


class TargetLimitedError(NotRunError):
    """The target takes no further request now."""


class InputsGoneError(NotRunError):
    """A target no longer finds the results that the request needs."""


class MayHaveRunError(GatewayError):
    """An attempt ended without a usable answer."""


class AnswerBrokenError(GatewayError):
    """An answer that has begun cannot be completed."""
