"""Replicated grant to give orders."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.helpers.codec import CodecError, decode, encode


class GrantCommand(NamedTuple):
    """Asks for the grant; times are fixed for as long as it is held."""

    holder: str
    lease_s: float
    flight_s: float


class GrantState(NamedTuple):
    """The grant in force and what its holder must wait out."""

    # Log index of the grant: the fencing number of its orders.
    fencing: int = 0
    holder: str = ''
    # The longest lease and in-flight time of any grant before this one.
    # A maximum, because more than one predecessor may still be unaware.
    predecessor_wait_s: float = 0
    own_wait_s: float = 0


class OrderMachine:
    """Keeps the last grant; each grant ends the one before it."""

    def __init__(self) -> None:
        """Start without a grant."""
        self.grant = GrantState()

    def apply(self, index: int, command: bytes) -> bytes:
        """Take a grant; the result is the new `GrantState`.

        A command that cannot be read changes nothing.
        """
        try:
            asked = decode(command, GrantCommand)
        except CodecError:
            return encode(self.grant)
        before = self.grant
        self.grant = GrantState(
            fencing=index,
            holder=asked.holder,
            predecessor_wait_s=max(
                before.predecessor_wait_s,
                before.own_wait_s,
            ),
            own_wait_s=asked.lease_s + asked.flight_s,
        )
        return encode(self.grant)

    def snapshot(self) -> bytes:
        """Return the grant."""
        return encode(self.grant)

    def restore(self, data: bytes) -> None:
        """Replace the grant by a snapshot."""
        self.grant = decode(data, GrantState)
