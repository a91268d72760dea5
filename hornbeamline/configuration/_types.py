"""Changes of the configuration and their responses."""

from __future__ import annotations

from typing import Any, NamedTuple

from hornbeamline.configuration.const import STATUS_ACCEPTED
from hornbeamline.inventory import Operation


class Change(NamedTuple):
    """Operations on the document of one revision."""

    # Chosen by the operator; a repeated id gets the first response again.
    change_id: str
    base_revision: int
    operations: list[Operation]
    author: str = ''


class ChangeResponse(NamedTuple):
    """What became of a change."""

    # `accepted`, `conflict` or `invalid`.
    status: str
    # The change's own revision when accepted, else the one in force.
    revision: int
    # Change that took the wanted revision, in a conflict.
    winner: str = ''
    winner_author: str = ''
    # Where and why an invalid change was refused.
    key_path: str = ''
    reason: str = ''

    @property
    def is_accepted(self) -> bool:
        """Return whether the change is in force."""
        return self.status == STATUS_ACCEPTED


class HistoryEntry(NamedTuple):
    """An accepted change."""

    revision: int
    change_id: str
    author: str
    # Calendar time of the leader that proposed the change.
    at_ms: int
    operations: list[Operation]
    digest: str
    size_bytes: int


class HolderStatus(NamedTuple):
    """What the leader knows about a host that renews."""

    host: str
    role: str
    revision: int
    # Seconds since the last renewal and until its lease ends.
    renewed_ago_s: float
    lease_left_s: float


class Accepted(NamedTuple):
    """Document in force with its revision and digest."""

    revision: int
    digest: str
    document: dict[str, dict[str, Any]]
