"""Log lines about clients, limited in rate."""

from __future__ import annotations

from typing import Any, Final

from hornbeamline.helpers.clock import Clock
from hornbeamline.telemetry import log_event

# Clients can cause any number of events; an operator needs one line a second
# of each kind and the number of those that were left out.
_INTERVAL_S: Final = 1.0


class LimitedLog:
    """Logs at most one event of each kind per second."""

    def __init__(self, clock: Clock) -> None:
        """Create a log that has written nothing."""
        self._clock = clock
        self._written_at_by_kind: dict[str, float] = {}
        self._omitted_by_kind: dict[str, int] = {}

    def write(self, event: str, reason: str, **fields: Any) -> None:
        """Log an event, or count it for the next line of its kind.

        Events and reasons are literals in the code, so that there are few.
        """
        kind = f'{event} {reason}'
        now = self._clock.monotonic()
        if now - self._written_at_by_kind.get(kind, -_INTERVAL_S) < _INTERVAL_S:
            self._omitted_by_kind[kind] = self._omitted_by_kind.get(kind, 0) + 1
            return
        self._written_at_by_kind[kind] = now
        omitted = self._omitted_by_kind.pop(kind, 0)
        log_event(event, reason=reason, omitted=omitted, **fields)
