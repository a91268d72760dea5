"""Lookup of the hosts that issue permits."""

from __future__ import annotations

from typing import Protocol


class Granters(Protocol):
    """Lookup of the host that issues the permits of a service's targets."""

    def granter_of(self, service: str) -> str | None:
        """Return the name of the granter, or None if none is known."""

    def address_of(self, host: str) -> str | None:
        """Return the address of another host, or None if it is absent."""

    def is_confirmed(self) -> bool:
        """Return whether a control process has answered this host recently."""
