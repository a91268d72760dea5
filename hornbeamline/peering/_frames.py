"""Wire format and the messages that peering itself sends."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from hornbeamline.helpers.codec import encode
from hornbeamline.peering._interface import Message
from hornbeamline.peering._registry import kind_of, message
from hornbeamline.peering.const import MAX_MESSAGE_BYTES
from hornbeamline.peering.errors import MessageTooLargeError


class Envelope(NamedTuple):
    """One message with the fields that match a reply to its call."""

    kind: str
    # 0 for a one-way message.
    call_id: int
    # Incarnation of the calling process; copied into the reply.
    incarnation: int
    is_reply: bool
    body: msgspec.Raw


class Frame(NamedTuple):
    """Batch of messages from one sender to one receiver, in order."""

    fleet: str
    sender: str
    envelopes: list[Envelope]


class CorrelationId(NamedTuple):
    """Identifies a call: its number and the incarnation of the caller."""

    call_id: int
    incarnation: int


ONE_WAY = CorrelationId(0, 0)


@message('peering.heartbeat')
class Heartbeat(NamedTuple):
    """Proof of liveness; the first message on every new socket."""

    # Address at which the sender's inbox is reachable.
    address: str
    incarnation: int
    # Incremented with each heartbeat to this receiver.
    number: int
    # Number and incarnation of the last heartbeat from this receiver.
    heard_number: int
    heard_incarnation: int


@message('peering.failure')
class Failure(NamedTuple):
    """Reply to a call that failed at the peer."""

    text: str


def encode_envelope(
    body: Message,
    correlation_id: CorrelationId,
    *,
    is_reply: bool = False,
) -> bytes:
    """Encode a message in its envelope; raises `MessageTooLargeError`."""
    kind = kind_of(type(body))
    encoded = encode((kind, *correlation_id, is_reply, body))
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise MessageTooLargeError(
            f'{kind} has {len(encoded)} bytes, limit {MAX_MESSAGE_BYTES}',
        )
    return encoded


def encode_frame(fleet: str, sender: str, envelopes: list[bytes]) -> bytes:
    """Encode a frame from encoded envelopes."""
    return encode((fleet, sender, [msgspec.Raw(part) for part in envelopes]))
