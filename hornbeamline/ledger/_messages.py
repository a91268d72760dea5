"""Messages between entry hosts and the ledger leader."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.ledger._types import ClaimView
from hornbeamline.peering import message


@message('ledger.command')
class CommandRequest(NamedTuple):
    """Submits an operation to the log; the reply is an `OperationResult`."""

    kind: str
    body: bytes
    forwarded: bool = False


@message('ledger.renew')
class RenewSession(NamedTuple):
    """Renews the lease of a session."""

    epoch: int
    forwarded: bool = False


class RenewReply(NamedTuple):
    """Whether the session exists, and its timeout in seconds."""

    is_live: bool
    timeout_s: float


@message('ledger.lookup')
class LookupRequest(NamedTuple):
    """Reads a claim; waits up to `wait_s` seconds for its outcome."""

    account: str
    request_key: str
    wait_s: float = 0
    forwarded: bool = False


class LookupReply(NamedTuple):
    """The claim, or None when the key is not known."""

    claim: ClaimView | None
