"""Permits to send requests to rate-limited targets."""

from __future__ import annotations

import math
from typing import Final, NamedTuple, Protocol


class LimitedTarget(Protocol):
    """Attributes of a target that rate limiting needs."""

    @property
    def id(self) -> str:
        """Return the id, which differs for each start of the target."""

    @property
    def service(self) -> str:
        """Return the name of the service that the target belongs to."""


class Permit(NamedTuple):
    """Permission to send one request."""

    # Identifies the permit at its granter; 0 for a target without a limit.
    number: int
    # Expiry on the monotonic clock of this host.
    expires_at: float
    # Whether it was issued at the rate of a cold target.
    is_cold: bool = False


# Permit for a target without a limit.
UNLIMITED: Final = Permit(0, math.inf)
