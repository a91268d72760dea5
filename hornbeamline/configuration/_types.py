"""Changes of the configuration and their responses."""

from __future__ import annotations

from typing import Any, NamedTuple

from hornbeamline.configuration.const import STATUS_ACCEPTED
from hornbeamline.inventory import Operation


class Change(NamedTuple):
    """Operations to apply to the document of one revision."""

    # Idempotency key chosen by the operator: a repeated id gets the first
    # response again.
    change_id: str
    base_revision: int
    operations: list[Operation]
    author: str = ''


class ChangeResponse(NamedTuple):
    """Result of a change."""

    # `accepted`, `conflict` or `invalid`.
    status: str
    # Revision created by the change if it was accepted, otherwise the
    # current revision.
    revision: int
    # In a conflict, the id of the change that was accepted on the same base
    # revision.
    winner: str = ''
    winner_author: str = ''
    # Location and cause of the error in an invalid change.
    key_path: str = ''
    reason: str = ''

    @property
    def is_accepted(self) -> bool:
        """Return whether the change was accepted."""
        return self.status == STATUS_ACCEPTED


class HistoryEntry(NamedTuple):
    """Accepted change in the history."""

    revision: int
    change_id: str
    author: str
    # Wall-clock time of the leader that proposed the change.
    at_ms: int
    operations: list[Operation]
    digest: str
    size_bytes: int


class HolderStatus(NamedTuple):
    """Revision and lease of a host, as known to the leader."""

    host: str
    role: str
    revision: int
    # Seconds since the last renewal, and until the lease expires.
    renewed_ago_s: float
    lease_left_s: float


class Accepted(NamedTuple):
    """Current document with its revision and digest."""

    revision: int
    digest: str
    document: dict[str, dict[str, Any]]
