"""Replicated state machine of the grant to send orders."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.helpers.codec import CodecError, decode, encode


class GrantCommand(NamedTuple):
    """Requests the grant; its times in seconds stay fixed while held."""

    holder: str
    lease_s: float
    flight_s: float


class GrantState(NamedTuple):
    """Current grant, and the waits in seconds that it imposes."""

    # Log index of the grant, used as the fencing number of its orders.
    fencing: int = 0
    holder: str = ''
    # Longest lease plus in-flight time of any earlier grant. A maximum,
    # because several earlier holders may not know yet that they lost it.
    predecessor_wait_s: float = 0
    own_wait_s: float = 0


class OrderMachine:
    """Stores the last grant; each grant supersedes the previous one."""

    def __init__(self) -> None:
        """Create a state machine without a grant."""
        self.grant = GrantState()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a `GrantCommand`; return the encoded `GrantState`.

        A command that cannot be decoded changes nothing.
        """
        try:
            request = decode(command, GrantCommand)
        except CodecError:
            return encode(self.grant)
        previous = self.grant
        self.grant = GrantState(
            fencing=index,
            holder=request.holder,
            predecessor_wait_s=max(
                previous.predecessor_wait_s,
                previous.own_wait_s,
            ),
            own_wait_s=request.lease_s + request.flight_s,
        )
        return encode(self.grant)

    def snapshot(self) -> bytes:
        """Return the encoded grant."""
        return encode(self.grant)

    def restore(self, data: bytes) -> None:
        """Replace the grant with that of a snapshot."""
        self.grant = decode(data, GrantState)
