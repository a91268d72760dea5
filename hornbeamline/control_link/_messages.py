"""Reply of a control host to a call for the leader."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.peering import message


@message('control.reply')
class ControlReply(NamedTuple):
    """Reply of the leader, or the status that explains its absence."""

    status: str
    # Name of the leader, or an empty string if it is not known.
    leader: str
    # Encoded reply of the component if the status is `ok`, otherwise empty.
    body: bytes
