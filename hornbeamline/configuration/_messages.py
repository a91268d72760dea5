"""Messages of the lease renewal between entry hosts and the leader."""

from __future__ import annotations

from typing import Final, NamedTuple

from hornbeamline.inventory import Operation
from hornbeamline.peering import message


class GrantNumber(NamedTuple):
    """Sequence number of a lease grant.

    The number counts the grants of one leader and rises with each.
    """

    term: int
    number: int


NO_GRANT: Final = GrantNumber(0, 0)


@message('configuration.renew')
class RenewRequest(NamedTuple):
    """Asks for a lease and for the changes since the holder's revision."""

    holder: str
    role: str
    revision: int
    digest: str
    # True after operations that could not be applied or that did not give
    # the expected digest.
    wants_whole: bool = False
    forwarded: bool = False
    # Newest grant that the holder had received when it sent the request.
    last_grant: GrantNumber = NO_GRANT


class RenewReply(NamedTuple):
    """Grants a lease on a revision and carries the changes up to it."""

    revision: int
    digest: str
    # Counted from the moment at which the holder sent the request.
    lease_s: float
    # Operations since the holder's revision, oldest first.
    operations: list[Operation]
    # Encoded whole document, sent in place of operations; otherwise empty.
    document: bytes
    grant: GrantNumber = NO_GRANT
