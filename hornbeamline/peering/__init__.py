"""Messages between the processes of hornbeamline."""

from __future__ import annotations

from hornbeamline.peering._interface import Message, Peering
from hornbeamline.peering._pynng import PynngPeering
from hornbeamline.peering._registry import kind_of, message, message_type
from hornbeamline.peering.errors import (
    CallTimeoutError,
    ListenError,
    MessageTooLargeError,
    PeerFailedError,
    PeeringStoppedError,
    UnknownPeerError,
)

__all__ = (
    'CallTimeoutError',
    'ListenError',
    'Message',
    'MessageTooLargeError',
    'PeerFailedError',
    'Peering',
    'PeeringStoppedError',
    'PynngPeering',
    'UnknownPeerError',
    'kind_of',
    'message',
    'message_type',
)
