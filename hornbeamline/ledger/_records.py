"""Table of claim records and the answers kept with them."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from hornbeamline.ledger._types import ClaimOutcome, ClaimState, ClaimView
from hornbeamline.ledger.const import MAX_BODIES_BYTES, MAX_BODY_BYTES

# Client account and request key.
Reference: TypeAlias = tuple[str, str]


class ClaimRecord(NamedTuple):
    """A claim as the machine keeps it."""

    body_digest: str
    attempt: int
    state: ClaimState
    epoch: int
    number: int
    # When the record changes by itself, in the machine's time.
    due_ms: int
    send_by_ms: int = 0
    reason: str = ''
    answer_digest: str = ''

    def is_ended_until(self, due_ms: int) -> bool:
        """Return whether the outcome is the one kept until a time."""
        return self.state.is_end and self.due_ms == due_ms

    def belongs_to(self, epoch: int, number: int) -> bool:
        """Return whether an attempt owns the claim."""
        return self.epoch == epoch and self.number == number

    @property
    def is_open_ended(self) -> bool:
        """Return whether the owner may still replace the outcome."""
        return self.state is ClaimState.unknown

    def may_become(self, state: ClaimState) -> bool:
        """Return whether the owner may give the claim this end."""
        if not state.is_end:
            return False
        if self.state is ClaimState.claimed:
            return state is not ClaimState.unknown
        open_states = {ClaimState.sending, ClaimState.unknown}
        return self.state in open_states or self.state is state


class RecordTable:
    """Records by account and key, with an index of open ones by epoch."""

    def __init__(self) -> None:
        """Start empty."""
        self._records: dict[Reference, ClaimRecord] = {}
        self._open_by_epoch: dict[int, dict[Reference, None]] = {}
        # In the order of their ends; the oldest is dropped first.
        self._bodies: dict[Reference, bytes] = {}
        self._bodies_bytes = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def get(self, reference: Reference) -> ClaimRecord | None:
        """Return a record or None."""
        return self._records.get(reference)

    def put(self, reference: Reference, record: ClaimRecord) -> None:
        """Add or replace a record."""
        self._close(reference)
        self._records[reference] = record
        if not record.state.is_end:
            opened = self._open_by_epoch.setdefault(record.epoch, {})
            opened[reference] = None

    def remove(self, reference: Reference) -> None:
        """Forget a record and its answer."""
        self._close(reference)
        self._records.pop(reference, None)
        self.keep_body(reference, None)

    def open_of(self, epoch: int) -> list[Reference]:
        """Return the claims of an owner that have no outcome yet."""
        return list(self._open_by_epoch.get(epoch, ()))

    def keep_body(self, reference: Reference, body: bytes | None) -> None:
        """Replace the answer kept for a claim; None drops it."""
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
        """Return a claim in the form of a lookup."""
        reference = (account, request_key)
        record = self._records.get(reference)
        if record is None:
            return None
        outcome = None
        if record.state.is_end:
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
        """Return all kept answers for a snapshot, oldest first."""
        return [
            (account, request_key, body)
            for (account, request_key), body in self._bodies.items()
        ]

    def load(
        self,
        records: list[tuple[str, str, ClaimRecord]],
        bodies: list[tuple[str, str, bytes]],
    ) -> None:
        """Fill an empty table from a snapshot."""
        for account, request_key, record in records:
            self.put((account, request_key), record)
        for account, request_key, body in bodies:
            self.keep_body((account, request_key), body)

    def _close(self, reference: Reference) -> None:
        record = self._records.get(reference)
        if record is None or record.epoch not in self._open_by_epoch:
            return
        opened = self._open_by_epoch[record.epoch]
        opened.pop(reference, None)
        if not opened:
            self._open_by_epoch.pop(record.epoch)
