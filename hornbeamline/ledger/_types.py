"""Claims, their states and outcomes."""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import NamedTuple, TypeAlias

from hornbeamline.ledger.const import MAX_BODY_BYTES


class ClaimState(Enum):
    """State of a claim; the last three are ends."""

    claimed = 'claimed'
    sending = 'sending'
    answered = 'answered'
    not_run = 'not_run'
    unknown = 'unknown'

    @property
    def is_end(self) -> bool:
        """Return whether the claim has an outcome."""
        return self not in {ClaimState.claimed, ClaimState.sending}


class ClaimOutcome(NamedTuple):
    """End of a claim."""

    # One of `answered`, `not_run` and `unknown`.
    state: ClaimState
    reason: str = ''
    # Encoded answer; None when there is none or it is no longer held.
    body: bytes | None = None
    # SHA-256 of the answer, empty when there is none.
    body_digest: str = ''


class ClaimView(NamedTuple):
    """A claim as a lookup returns it."""

    account: str
    request_key: str
    body_digest: str
    attempt: int
    state: ClaimState
    # The outcome when the state is an end.
    outcome: ClaimOutcome | None
    # True when only the key is remembered (24 h after the end); the body
    # digest is then empty.
    is_tombstone: bool = False


class Claim(NamedTuple):
    """A granted claim; handed back to the client by its owner."""

    account: str
    request_key: str
    attempt: int
    # Session of the owner and number of the claim in that process.
    epoch: int
    number: int


class ClaimGranted(NamedTuple):
    """The key belongs to the caller, who may run the request."""

    claim: Claim


class ClaimExisting(NamedTuple):
    """The key was claimed before and is in progress or has an outcome."""

    view: ClaimView


class ClaimRefused(NamedTuple):
    """The key was not claimed; nothing runs.

    Reasons: `key_reused` (another body), `key_expired` (only the key is
    remembered), `ledger_full`, `no_session`, `ledger_unavailable`.
    """

    reason: str


ClaimDecision: TypeAlias = ClaimGranted | ClaimExisting | ClaimRefused


class SendPermit(NamedTuple):
    """Proof that the ledger holds the SENDING mark of a claim."""

    claim: Claim
    # Monotonic time before which the first byte must be written; the
    # margin is already taken off.
    send_before_s: float


def make_outcome(
    state: ClaimState,
    reason: str = '',
    body: bytes | None = None,
) -> ClaimOutcome:
    """Return an outcome; a body over 256 KiB is kept by digest only."""
    if body is None:
        return ClaimOutcome(state, reason)
    digest = hashlib.sha256(body).hexdigest()
    kept = body if len(body) <= MAX_BODY_BYTES else None
    return ClaimOutcome(state, reason, kept, digest)
