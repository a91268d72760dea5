"""Reply of a control host to a call for the leader."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.peering import message


@message('control.reply')
class ControlReply(NamedTuple):
    """Answer of the leader, or the reason why there is none."""

    status: str
    # Name of the leader as far as it is known, or an empty string.
    leader: str
    # Encoded reply of the component when the status is `ok`.
    body: bytes
