"""Messages between the processes of hornbeamline."""

from __future__ import annotations

from hornbeamline.peering._interface import Message, Peering
from hornbeamline.peering._registry import kind_of, message, message_type
from hornbeamline.peering.errors import (
    CallTimeoutError,
    PeerFailedError,
    UnknownPeerError,
)

__all__ = (
    'CallTimeoutError',
    'Message',
    'PeerFailedError',
    'Peering',
    'UnknownPeerError',
    'kind_of',
    'message',
    'message_type',
)
