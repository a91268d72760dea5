"""Operations of the ledger state machine and their results."""

from __future__ import annotations

from typing import Any, Final, NamedTuple

from hornbeamline.helpers.codec import encode
from hornbeamline.ledger._types import ClaimOutcome, ClaimView

KIND_OPEN: Final = 'open'
KIND_CLOSE: Final = 'close'
KIND_CLAIM: Final = 'claim'
KIND_MARK: Final = 'mark'
KIND_FINISH: Final = 'finish'

STATUS_OK: Final = 'ok'
STATUS_GRANTED: Final = 'granted'
STATUS_EXISTING: Final = 'existing'
STATUS_FENCED: Final = 'fenced'
# A later attempt of the same process has already ended.
STATUS_STALE: Final = 'stale'
STATUS_INVALID: Final = 'invalid'


class OpenSession(NamedTuple):
    """Registers an entry process; a repeated token gets the same epoch."""

    host: str
    token: str


class CloseSession(NamedTuple):
    """Ends a session, on request of its owner or after its timeout."""

    epoch: int


class ClaimKey(NamedTuple):
    """Claims a request key; (epoch, number) identifies the attempt."""

    epoch: int
    number: int
    account: str
    request_key: str
    body_digest: str
    # Relative to the time of the command.
    deadline_ms: int


class MarkSending(NamedTuple):
    """Moves a claim from CLAIMED to SENDING."""

    epoch: int
    number: int
    account: str
    request_key: str
    # Relative to the time of the command.
    send_by_ms: int


class FinishClaim(NamedTuple):
    """Records the outcome of a claim."""

    epoch: int
    number: int
    account: str
    request_key: str
    outcome: ClaimOutcome


class Operation(NamedTuple):
    """Operation within a batch, with its encoded body."""

    kind: str
    body: bytes


class Batch(NamedTuple):
    """Log command: operations and the leader's ledger time."""

    now_ms: int
    operations: list[Operation]


class OperationResult(NamedTuple):
    """Result of one operation.

    The status is `ok`, `granted`, `existing`, `fenced`, `stale`, `invalid` or
    a refusal reason.
    """

    status: str
    epoch: int = 0
    attempt: int = 0
    claim: ClaimView | None = None


def make_operation(kind: str, body: tuple[Any, ...]) -> Operation:
    """Build an operation by encoding its body."""
    return Operation(kind, encode(body))
