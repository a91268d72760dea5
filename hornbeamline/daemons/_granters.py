"""Looks up the entry host that grants permits for a service."""

from __future__ import annotations

import math
from collections.abc import Callable

from hornbeamline.batching import Ownership
from hornbeamline.directory import DirectoryMember
from hornbeamline.helpers.clock import BootClock, Clock
from hornbeamline.limits.const import GRANTER_CONFIRMATION_TTL_S


class ServiceGranters:
    """Finds granters: the granter of a service is its last known owner.

    Without a control process a host sees no other host. Each host would
    then regard itself as the owner and grant permits, so the owner known
    before stays the granter.
    """

    def __init__(
        self,
        member: DirectoryMember,
        ownership: Callable[[], Ownership],
        clock: Clock | None = None,
    ) -> None:
        """Initialize with the directory and the ranking of owners.

        `clock` must also advance while the host is suspended.
        """
        self._clock = clock or BootClock()
        self._confirmed_at = -math.inf
        self._member = member
        self._ownership = ownership
        self._granter_by_service: dict[str, str] = {}

    def granter_of(self, service: str) -> str | None:
        """Return the name of the granting host; None if none is known."""
        if self._member.present():
            owner = self._ownership().owners(service)[0]
            self._granter_by_service[service] = owner
        return self._granter_by_service.get(service)

    def address_of(self, host: str) -> str | None:
        """Return the address of another host; None if it is absent."""
        found = self._ownership().hosts().get(host)
        return None if found is None else found.address

    def note_confirmed(self) -> None:
        """Record that a control process has reported the present hosts."""
        self._confirmed_at = self._clock.monotonic()

    def is_confirmed(self) -> bool:
        """Return whether a control process has answered recently."""
        confirmed_ago_s = self._clock.monotonic() - self._confirmed_at
        return confirmed_ago_s < GRANTER_CONFIRMATION_TTL_S
