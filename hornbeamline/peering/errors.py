"""Errors of calls to other hornbeamline processes."""

from __future__ import annotations

from hornbeamline.exceptions import PeeringError


class UnknownPeerError(PeeringError):
    """No address is known for the peer."""


class CallTimeoutError(PeeringError):
    """No reply came in time; the peer may have handled the call."""


class PeerFailedError(PeeringError):
    """The peer's handler raised; the text names its error."""
