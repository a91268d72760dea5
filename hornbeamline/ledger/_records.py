"""Table of claim records and their stored answers."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from hornbeamline.ledger._types import ClaimOutcome, ClaimState, ClaimView
from hornbeamline.ledger.const import MAX_BODIES_BYTES, MAX_BODY_BYTES

# Identifies a claim: client account and request key.
Reference: TypeAlias = tuple[str, str]


class ClaimRecord(NamedTuple):
    """Claim as stored by the state machine."""

    body_digest: str
    attempt: int
    state: ClaimState
    epoch: int
    number: int
    # Ledger time of the next timed transition of the record.
    due_ms: int
    send_by_ms: int = 0
    reason: str = ''
    answer_digest: str = ''

    def keeps_outcome_until(self, due_ms: int) -> bool:
        """Return whether the outcome of the claim expires at `due_ms`."""
        return self.state.has_outcome and self.due_ms == due_ms

    def belongs_to(self, epoch: int, number: int) -> bool:
        """Return whether the given attempt owns the claim."""
        return self.epoch == epoch and self.number == number

    @property
    def is_provisional(self) -> bool:
        """Return whether the owner may still replace the outcome."""
        return self.state is ClaimState.unknown

    def can_transition_to(self, state: ClaimState) -> bool:
        """Return whether the owner may end the claim in this state."""
        if not state.has_outcome:
            return False
        if self.state is ClaimState.claimed:
            return state is not ClaimState.unknown
        open_states = {ClaimState.sending, ClaimState.unknown}
        return self.state in open_states or self.state is state


class RecordTable:
    """Claim records, with an index of claims in progress by epoch."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._records: dict[Reference, ClaimRecord] = {}
        self._open_by_epoch: dict[int, dict[Reference, None]] = {}
        # In the order in which claims ended; the oldest is dropped first.
        self._bodies: dict[Reference, bytes] = {}
        self._bodies_bytes = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def get(self, reference: Reference) -> ClaimRecord | None:
        """Return the record of a claim, or None."""
        return self._records.get(reference)

    def put(self, reference: Reference, record: ClaimRecord) -> None:
        """Add or replace a record."""
        self._remove_from_open_index(reference)
        self._records[reference] = record
        if not record.state.has_outcome:
            open_claims = self._open_by_epoch.setdefault(record.epoch, {})
            open_claims[reference] = None

    def remove(self, reference: Reference) -> None:
        """Remove a record and its answer."""
        self._remove_from_open_index(reference)
        self._records.pop(reference, None)
        self.replace_body(reference, None)

    def open_claims_of(self, epoch: int) -> list[Reference]:
        """Return the claims of a session that have no outcome yet."""
        return list(self._open_by_epoch.get(epoch, ()))

    def replace_body(self, reference: Reference, body: bytes | None) -> None:
        """Replace the stored answer of a claim; None drops it.

        Over the total size limit, the oldest answers are dropped.
        """
        old = self._bodies.pop(reference, b'')
        self._bodies_bytes -= len(old)
        if body is None or len(body) > MAX_BODY_BYTES:
            return
        self._bodies[reference] = body
        self._bodies_bytes += len(body)
        while self._bodies_bytes > MAX_BODIES_BYTES:
            oldest = next(iter(self._bodies))
            self._bodies_bytes -= len(self._bodies.pop(oldest))

    def view(self, account: str, request_key: str) -> ClaimView | None:
        """Return the public view of a claim, or None if it is not known."""
        reference = (account, request_key)
        record = self._records.get(reference)
        if record is None:
            return None
        outcome = None
        if record.state.has_outcome:
            outcome = ClaimOutcome(
                record.state,
                record.reason,
                self._bodies.get(reference),
                record.answer_digest,
            )
        return ClaimView(
            account,
            request_key,
            record.body_digest,
            record.attempt,
            record.state,
            outcome,
        )

    def dump_records(self) -> list[tuple[str, str, ClaimRecord]]:
        """Return all records for a snapshot."""
        return [
            (account, request_key, record)
            for (account, request_key), record in self._records.items()
        ]

    def dump_bodies(self) -> list[tuple[str, str, bytes]]:
        """Return all stored answers for a snapshot, oldest first."""
        return [
            (account, request_key, body)
            for (account, request_key), body in self._bodies.items()
        ]

    def load(
        self,
        records: list[tuple[str, str, ClaimRecord]],
        bodies: list[tuple[str, str, bytes]],
    ) -> None:
        """Load a snapshot into an empty table."""
        for account, request_key, record in records:
            self.put((account, request_key), record)
        for account, request_key, body in bodies:
            self.replace_body((account, request_key), body)

    def _remove_from_open_index(self, reference: Reference) -> None:
        record = self._records.get(reference)
        if record is None or record.epoch not in self._open_by_epoch:
            return
        open_claims = self._open_by_epoch[record.epoch]
        open_claims.pop(reference, None)
        if not open_claims:
            self._open_by_epoch.pop(record.epoch)
