"""Types of claims, their states and their outcomes."""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import NamedTuple, TypeAlias

from hornbeamline.ledger.const import MAX_BODY_BYTES


class ClaimState(Enum):
    """State of a claim; the last three have an outcome."""

    claimed = 'claimed'
    sending = 'sending'
    answered = 'answered'
    not_run = 'not_run'
    unknown = 'unknown'

    @property
    def has_outcome(self) -> bool:
        """Return whether a claim in this state has an outcome."""
        return self not in {ClaimState.claimed, ClaimState.sending}


class ClaimOutcome(NamedTuple):
    """Final result of a claim."""

    # One of `answered`, `not_run` and `unknown`.
    state: ClaimState
    reason: str = ''
    # Encoded answer; None when there is none or it is no longer stored.
    body: bytes | None = None
    # SHA-256 of the answer in hexadecimal, empty when there is none.
    body_digest: str = ''


class ClaimView(NamedTuple):
    """Claim as returned by a lookup."""

    account: str
    request_key: str
    body_digest: str
    attempt: int
    state: ClaimState
    # None while the claim is in progress.
    outcome: ClaimOutcome | None
    # True when only the key is still stored: from 24 h after the end of the
    # claim, or earlier if the ledger was full. The body digest is then empty.
    is_tombstone: bool = False


class Claim(NamedTuple):
    """Granted claim, which its owner passes to later client calls."""

    account: str
    request_key: str
    attempt: int
    # Session of the owner, and number of the claim within that process.
    epoch: int
    number: int


class ClaimGranted(NamedTuple):
    """The caller owns the key and may run the request."""

    claim: Claim


class ClaimExisting(NamedTuple):
    """An earlier claim of the key is in progress or has an outcome."""

    view: ClaimView


class ClaimRefused(NamedTuple):
    """The key was not claimed, so the request must not run.

    Reasons: `key_reused` (with a different body), `key_expired` (only the
    key is still stored), `ledger_full`, `no_session`, `ledger_unavailable`.
    """

    reason: str


ClaimDecision: TypeAlias = ClaimGranted | ClaimExisting | ClaimRefused


class SendPermit(NamedTuple):
    """Proof that the ledger has recorded a claim as SENDING."""

    claim: Claim
    # Monotonic time before which the first byte must be written, with the
    # safety margin already subtracted.
    send_before_s: float


def make_outcome(
    state: ClaimState,
    reason: str = '',
    body: bytes | None = None,
) -> ClaimOutcome:
    """Build an outcome; of a body over 256 KiB, only the digest is kept."""
    if body is None:
        return ClaimOutcome(state, reason)
    digest = hashlib.sha256(body).hexdigest()
    kept = body if len(body) <= MAX_BODY_BYTES else None
    return ClaimOutcome(state, reason, kept, digest)
