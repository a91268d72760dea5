"""Errors of calls to other hornbeamline processes."""

from __future__ import annotations

from hornbeamline.exceptions import PeeringError


class ListenError(PeeringError):
    """The inbox address cannot be bound."""


class UnknownPeerError(PeeringError):
    """No address is known for the peer."""


class MessageTooLargeError(PeeringError):
    """The message exceeds the largest frame; nothing was sent."""


class CallTimeoutError(PeeringError):
    """No reply came in time; the peer may have handled the call."""


class PeeringStoppedError(CallTimeoutError):
    """This process closed the link; the peer may have handled the call."""


class PeerFailedError(PeeringError):
    """The peer's handler raised; the text names its error."""
