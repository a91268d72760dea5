"""Since when this host is the granter of services; performs no I/O."""

from __future__ import annotations

from hornbeamline.helpers.clock import Clock
from hornbeamline.limits.const import WARMUP_TAKEOVER_WAIT_S


class GranterTenures:
    """Track since when this host has been the granter of each service.

    A granter of long standing issues permits for a target that has just
    become cold at once, since no other granter can have issued any.
    """

    def __init__(self, clock: Clock) -> None:
        """Start as the granter of no service."""
        self._clock = clock
        self._since_by_service: dict[str, float] = {}

    def note(self, service: str, *, is_granter: bool) -> None:
        """Record whether this host is now the granter of a service."""
        if is_granter:
            now = self._clock.monotonic()
            self._since_by_service.setdefault(service, now)
        else:
            self._since_by_service.pop(service, None)

    def permits_from(self, service: str) -> float:
        """Return when this host may issue permits for cold targets."""
        now = self._clock.monotonic()
        since = self._since_by_service.get(service, now)
        return since + WARMUP_TAKEOVER_WAIT_S
