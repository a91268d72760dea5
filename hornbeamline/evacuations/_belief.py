"""Evacuations as an entry host knows them; performs no I/O."""

from __future__ import annotations

from hornbeamline.evacuations._machine import NO_EVACUATIONS, EvacuationState
from hornbeamline.evacuations._metrics import BELIEF_CHANGES, IN_FORCE
from hornbeamline.telemetry import log_event


class EvacuationBelief:
    """The state with the highest number that this host was told."""

    def __init__(self) -> None:
        """Start without evacuations."""
        self.state = NO_EVACUATIONS
        self._evacuated: frozenset[str] = frozenset()

    def __contains__(self, data_centre: object) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self._evacuated

    def apply(self, state: EvacuationState) -> list[str] | None:
        """Replace an older state; return the reopened data centres.

        Return None if the state is not newer.
        """
        if state.number <= self.state.number:
            return None
        evacuated = frozenset(state.data_centres)
        started = sorted(evacuated - self._evacuated)
        ended = sorted(self._evacuated - evacuated)
        log_event(
            'evacuations.belief_changed',
            number=state.number,
            previous=self.state.number,
            started=','.join(started),
            ended=','.join(ended),
            evacuated=','.join(sorted(evacuated)),
        )
        BELIEF_CHANGES.inc()
        IN_FORCE.set(len(evacuated))
        self.state = state
        self._evacuated = evacuated
        return ended
