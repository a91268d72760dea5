"""Frames on the wire and the messages that peering itself sends."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from hornbeamline.helpers.codec import encode
from hornbeamline.peering._interface import Message
from hornbeamline.peering._registry import kind_of, message
from hornbeamline.peering.const import MAX_MESSAGE_BYTES
from hornbeamline.peering.errors import MessageTooLargeError


class Envelope(NamedTuple):
    """One message with what matches a reply to its call."""

    kind: str
    # 0 for a one-way message.
    call_id: int
    # Incarnation of the calling process; a reply repeats it.
    incarnation: int
    is_reply: bool
    body: msgspec.Raw


class Frame(NamedTuple):
    """Messages of one sender to one receiver, in their order."""

    fleet: str
    sender: str
    envelopes: list[Envelope]


class CallMark(NamedTuple):
    """What identifies a call: call id and incarnation of the caller."""

    call_id: int
    incarnation: int


ONE_WAY = CallMark(0, 0)


@message('peering.heartbeat')
class Heartbeat(NamedTuple):
    """Sign of life; the first message on every new socket."""

    # Where the sender's inbox is reached.
    address: str
    incarnation: int
    # Grows by one per heartbeat to this receiver.
    number: int
    # The last number received from this receiver, and its incarnation.
    heard_number: int
    heard_incarnation: int


@message('peering.failure')
class Failure(NamedTuple):
    """Reply to a call whose handler raised."""

    text: str


def encode_envelope(
    body: Message,
    mark: CallMark,
    *,
    is_reply: bool = False,
) -> bytes:
    """Return a message in its envelope; raises `MessageTooLargeError`."""
    kind = kind_of(type(body))
    encoded = encode((kind, *mark, is_reply, body))
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise MessageTooLargeError(
            f'{kind} has {len(encoded)} bytes, limit {MAX_MESSAGE_BYTES}',
        )
    return encoded


def encode_frame(fleet: str, sender: str, envelopes: list[bytes]) -> bytes:
    """Return a frame of encoded envelopes."""
    return encode((fleet, sender, [msgspec.Raw(part) for part in envelopes]))
