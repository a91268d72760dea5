"""Fleet source with a fixed fleet, for embedding and tests."""

from __future__ import annotations

from hornbeamline.inventory import Fleet


class StaticFleetSource:
    """Provides one fleet under a lease that never expires."""

    def __init__(self, fleet: Fleet, revision: int = 1) -> None:
        """Provide `fleet` as the revision with the given number."""
        self.fleet = fleet
        self.revision = revision

    def current_fleet(self) -> Fleet | None:
        """Return the fixed fleet."""
        return self.fleet

    def holds_lease(self) -> bool:
        """Return True: a fixed fleet cannot be out of date."""
        return True
