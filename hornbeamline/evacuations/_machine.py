"""State machine of the evacuated data centres."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

from hornbeamline.helpers.codec import decode, encode

MACHINE_NAME: Final = 'evacuations'


class EvacuationState(NamedTuple):
    """Evacuated data centres, by name in ascending order."""

    # Log index of the last change, 0 before the first.
    number: int
    data_centres: list[str]


class EvacuationOrder(NamedTuple):
    """Command that starts or ends the evacuation of a data centre."""

    data_centre: str
    is_start: bool
    # The order is void unless this is the number of the last order.
    after_order: int


class OrderOutcome(NamedTuple):
    """Result of a command."""

    # False if another order was committed since the sender read the state.
    is_accepted: bool
    state: EvacuationState


class _Snapshot(NamedTuple):
    order_number: int
    state: EvacuationState


NO_EVACUATIONS: Final = EvacuationState(0, [])


def _always() -> bool:
    return True


class EvacuationMachine:
    """Applies each order that was decided on the newest state."""

    def __init__(self) -> None:
        """Start without evacuations, which is the state with number 0."""
        self.current = NO_EVACUATIONS
        # Log index of the last accepted order. Orders that change nothing
        # count as well: a delayed order must not undo them.
        self.order_number = 0
        self.on_change: Callable[[], None] | None = None
        # Whether `current` is known to be the newest state.
        self.is_confirmed: Callable[[], bool] = _always

    def announce(self) -> None:
        """Report the state, now that it is known to be the newest."""
        if self.current.number and self.on_change is not None:
            self.on_change()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply an order unless another one came first."""
        order = decode(command, EvacuationOrder)
        is_accepted = order.after_order == self.order_number
        if is_accepted:
            self.order_number = index
            self._execute(index, order)
        return encode(OrderOutcome(is_accepted, self.current))

    def snapshot(self) -> bytes:
        """Return the encoded state, nothing before the first order.

        Control processes of older versions can then use the snapshot.
        """
        if not self.order_number:
            return b''
        return encode(_Snapshot(self.order_number, self.current))

    def restore(self, state: bytes) -> None:
        """Replace the state with that of a snapshot."""
        decoded = decode(state, _Snapshot)
        self.order_number = decoded.order_number
        self._replace_current(decoded.state)

    def _execute(self, index: int, order: EvacuationOrder) -> None:
        evacuated = set(self.current.data_centres)
        if order.is_start:
            evacuated.add(order.data_centre)
        else:
            evacuated.discard(order.data_centre)
        data_centres = sorted(evacuated)
        if data_centres != self.current.data_centres:
            self._replace_current(EvacuationState(index, data_centres))

    def _replace_current(self, state: EvacuationState) -> None:
        self.current = state
        if self.on_change is not None:
            self.on_change()
