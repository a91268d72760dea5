"""Messages between control processes about evacuations."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.evacuations._machine import EvacuationOrder, EvacuationState
from hornbeamline.peering import message


@message('evacuations.change')
class ChangeEvacuations(NamedTuple):
    """Asks the leader to commit an order."""

    order: EvacuationOrder
    forwarded: bool = False


@message('evacuations.change_reply')
class ChangeReply(NamedTuple):
    """Returns the outcome of the committed order."""

    is_accepted: bool
    state: EvacuationState


@message('evacuations.read')
class ReadEvacuations(NamedTuple):
    """Asks the leader for the newest state."""

    forwarded: bool = False


@message('evacuations.read_reply')
class ReadReply(NamedTuple):
    """Returns the newest state at the time of the read."""

    order_number: int
    state: EvacuationState
