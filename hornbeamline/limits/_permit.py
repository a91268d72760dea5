"""Permits to send one request to a limited target."""

from __future__ import annotations

import math
from typing import Final, NamedTuple, Protocol


class LimitedTarget(Protocol):
    """What is needed of a target."""

    @property
    def id(self) -> str:
        """Return the id of one start of the target."""

    @property
    def service(self) -> str:
        """Return the name of its service."""


class Permit(NamedTuple):
    """Allows one request to be sent."""

    # Number by which the granter knows it; 0 where there is no limit.
    number: int
    # Time of the host's clock after which the permit is void.
    expires_at: float


# Stands for a permit where the target names no limit.
UNLIMITED: Final = Permit(0, math.inf)
