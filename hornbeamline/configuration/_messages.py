"""Renewals between entry hosts and the leader."""

from __future__ import annotations

from typing import Final, NamedTuple

from hornbeamline.inventory import Operation
from hornbeamline.peering import message


class GrantNumber(NamedTuple):
    """Place of a grant in the order of one leader; later ones are higher."""

    term: int
    number: int


NO_GRANT: Final = GrantNumber(0, 0)


@message('configuration.renew')
class RenewRequest(NamedTuple):
    """Asks for a lease and for what is newer than the own revision."""

    holder: str
    role: str
    revision: int
    digest: str
    # Set after a delta that did not lead to the expected digest.
    wants_whole: bool = False
    forwarded: bool = False
    # Newest grant that the holder had received when it sent this.
    last_grant: GrantNumber = NO_GRANT


class RenewReply(NamedTuple):
    """A lease on a revision and how to get there."""

    revision: int
    digest: str
    # Counted from the moment at which the holder sent the renewal.
    lease_s: float
    # Operations since the holder's revision, oldest first.
    operations: list[Operation]
    # Encoded whole document instead of operations, or empty.
    document: bytes
    grant: GrantNumber = NO_GRANT
