"""What the pipeline needs of the ledger of claims."""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import NamedTuple, Protocol, TypeAlias


class ClaimState(Enum):
    """State of a claim; the last three are ends."""

    claimed = 'claimed'
    sending = 'sending'
    answered = 'answered'
    not_run = 'not_run'
    unknown = 'unknown'


class ClaimOutcome(NamedTuple):
    """End of a claim."""

    state: ClaimState
    reason: str = ''
    # Encoded answer; None when there is none or it is no longer held.
    body: bytes | None = None
    body_digest: str = ''


class ClaimView(NamedTuple):
    """A claim as a lookup returns it."""

    account: str
    request_key: str
    body_digest: str
    attempt: int
    state: ClaimState
    outcome: ClaimOutcome | None
    # True when only the key is remembered.
    is_tombstone: bool = False


class Claim(NamedTuple):
    """A granted claim; handed back by its owner."""

    account: str
    request_key: str
    attempt: int
    epoch: int
    number: int


class ClaimGranted(NamedTuple):
    """The key belongs to the caller, who may run the request."""

    claim: Claim


class ClaimExisting(NamedTuple):
    """The key was claimed before and is in progress or has an outcome."""

    view: ClaimView


class ClaimRefused(NamedTuple):
    """The key was not claimed; nothing runs."""

    reason: str


class SendPermit(NamedTuple):
    """Proof that the ledger holds the SENDING mark of a claim."""

    claim: Claim
    # Monotonic time before which the first byte must be written.
    send_before_s: float


ClaimDecision: TypeAlias = ClaimGranted | ClaimExisting | ClaimRefused


def make_outcome(
    state: ClaimState,
    reason: str = '',
    body: bytes | None = None,
) -> ClaimOutcome:
    """Return an outcome with the digest of its body."""
    if body is None:
        return ClaimOutcome(state, reason)
    return ClaimOutcome(state, reason, body, hashlib.sha256(body).hexdigest())


class Claims(Protocol):
    """Ledger operations; each raises `LedgerError` when it fails."""

    async def claim(
        self,
        account: str,
        key: str,
        digest: str,
        deadline_s: float,
    ) -> ClaimDecision:
        """Claim a request key."""

    async def mark_sending(self, claim: Claim, send_by_s: float) -> SendPermit:
        """Record that the claim's request is about to be sent."""

    def may_send(self, permit: SendPermit) -> bool:
        """Return whether the first byte may be written at this moment."""

    async def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Record the outcome of a claim."""

    async def lookup(self, account: str, key: str) -> ClaimView | None:
        """Return a claim, or None when the key is not known."""

    async def wait_outcome(
        self,
        account: str,
        key: str,
        timeout_s: float,
    ) -> ClaimView | None:
        """Return a claim once it has an outcome or the time is over."""
