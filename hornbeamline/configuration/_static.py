"""Fleet source of a fixed document, for embedding and tests."""

from __future__ import annotations

from hornbeamline.inventory import Fleet


class StaticFleetSource:
    """Holds one fleet for good, with an endless lease."""

    def __init__(self, fleet: Fleet, revision: int = 1) -> None:
        """Take the fleet and its revision number."""
        self.fleet = fleet
        self.revision = revision

    def current_fleet(self) -> Fleet | None:
        """Return the fleet."""
        return self.fleet

    def holds_lease(self) -> bool:
        """Return True: a fixed document cannot be out of date."""
        return True
