"""Evacuations that control processes report to a directory member."""

from __future__ import annotations

from collections.abc import Callable

from hornbeamline.directory._messages import EvacuationsPush
from hornbeamline.evacuations import NO_EVACUATIONS, EvacuationState
from hornbeamline.peering import Peering


class EvacuationFeed:
    """Holds the state with the highest number of all replies and pushes."""

    def __init__(self, peering: Peering) -> None:
        """Register the handler of pushes."""
        self.state = NO_EVACUATIONS
        self.on_state: Callable[[EvacuationState], None] | None = None
        peering.on(EvacuationsPush, self._on_push)

    def apply(self, state: EvacuationState | None) -> None:
        """Apply the state that a reply contains, if any."""
        if state is None or state.number <= self.state.number:
            return
        self.state = state
        if self.on_state is not None:
            self.on_state(state)

    async def _on_push(self, _sender: str, push: EvacuationsPush) -> None:
        self.apply(push.evacuations)
