"""Which entry host grants the permits of a service's targets."""

from __future__ import annotations

from collections.abc import Callable

from hornbeamline.batching import Ownership
from hornbeamline.directory import DirectoryMember


class ServiceGranters:
    """The owner of a service, as it was last known for sure.

    A host that hears of no control process sees no other host either and
    would take itself for the owner, as all hosts would at the same time.
    """

    def __init__(
        self,
        member: DirectoryMember,
        ownership: Callable[[], Ownership],
    ) -> None:
        """Take the directory and the order of owners."""
        self._member = member
        self._ownership = ownership
        self._granter_by_service: dict[str, str] = {}

    def granter_of(self, service: str) -> str | None:
        """Return the name of the host, or None while none is known."""
        if self._member.present():
            owner = self._ownership().owners(service)[0]
            self._granter_by_service[service] = owner
        return self._granter_by_service.get(service)

    def address_of(self, host: str) -> str | None:
        """Return the address of another host, if it is present."""
        found = self._ownership().hosts().get(host)
        return None if found is None else found.address
