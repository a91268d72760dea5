"""Errors of peering and of calls to other processes."""

from __future__ import annotations

from hornbeamline.exceptions import PeeringError


class ListenError(PeeringError):
    """The inbox address cannot be bound."""


class UnknownPeerError(PeeringError):
    """No address is known for the peer."""


class MessageTooLargeError(PeeringError):
    """The message exceeds the size limit; nothing was sent."""


class CallTimeoutError(PeeringError):
    """No reply arrived in time; the peer may have handled the call."""


class PeeringStoppedError(CallTimeoutError):
    """This process closed the link; the peer may have handled the call."""


class PeerFailedError(PeeringError):
    """The call failed at the peer or its reply is invalid; see the text."""
