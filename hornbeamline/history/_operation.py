"""Recording of operations as clients observe them."""

from __future__ import annotations

import math
from typing import Any, Final, NamedTuple

from hornbeamline.helpers.clock import Clock

# End of an operation whose result the client never received.
NEVER_ENDED: Final = math.inf


class Operation(NamedTuple):
    """One call with its interval and its result, if known."""

    client: str
    argument: Any
    # None when unknown; the operation may still have taken effect.
    result: Any
    # Seconds on the recorder's monotonic clock.
    began_s: float
    ended_s: float

    @property
    def is_known(self) -> bool:
        """Return whether the client received the result."""
        return self.ended_s != NEVER_ENDED


class Recorder:
    """Collects the operations of concurrent clients in one process."""

    def __init__(self, clock: Clock) -> None:
        """Initialize with the clock that orders the operations."""
        self._clock = clock
        self.operations: list[Operation] = []

    def began(self) -> float:
        """Return the start time to pass to `ended` or `lost`."""
        return self._clock.monotonic()

    def ended(
        self,
        client: str,
        argument: Any,
        result: Any,
        began_s: float,
    ) -> None:
        """Record an operation whose result is known."""
        ended_s = self._clock.monotonic()
        self.operations.append(
            Operation(client, argument, result, began_s, ended_s),
        )

    def lost(self, client: str, argument: Any, began_s: float) -> None:
        """Record an operation whose result is unknown."""
        self.operations.append(
            Operation(client, argument, None, began_s, NEVER_ENDED),
        )
