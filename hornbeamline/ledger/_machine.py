"""Replicated state machine of sessions and claims."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeAlias

from hornbeamline.helpers.codec import CodecError, decode, encode
from hornbeamline.ledger._operations import (
    KIND_CLAIM,
    KIND_CLOSE,
    KIND_FINISH,
    KIND_MARK,
    KIND_OPEN,
    STATUS_EXISTING,
    STATUS_FENCED,
    STATUS_GRANTED,
    STATUS_INVALID,
    STATUS_OK,
    STATUS_STALE,
    Batch,
    ClaimKey,
    CloseSession,
    FinishClaim,
    MarkSending,
    OpenSession,
    Operation,
    OperationResult,
)
from hornbeamline.ledger._records import ClaimRecord, RecordTable, Reference
from hornbeamline.ledger._tombstones import (
    Tombstone,
    TombstoneTable,
    body_fingerprint,
)
from hornbeamline.ledger._types import ClaimOutcome, ClaimState, ClaimView
from hornbeamline.ledger.const import (
    CLAIM_GRACE_MS,
    KEY_RETENTION_MS,
    MAX_DUE_PER_COMMAND,
    MAX_KEYS,
    MAX_RECORDS,
    MAX_SESSIONS,
    OUTCOME_RETENTION_MS,
    REASON_CLAIM_DEADLINE,
    REASON_KEY_EXPIRED,
    REASON_KEY_REUSED,
    REASON_LEDGER_FULL,
    REASON_OWNER_LOST,
    REASON_RESULT_WAIT,
    RESULT_WAIT_MS,
)

_Handler: TypeAlias = Callable[[int, Any], OperationResult]


class Session(NamedTuple):
    """Registration of an entry process."""

    host: str
    token: str


class _Snapshot(NamedTuple):
    now_ms: int
    last_epoch: int
    sessions_by_epoch: dict[int, Session]
    records: list[tuple[str, str, ClaimRecord]]
    tombstones: dict[bytes, bytes]
    bodies: list[tuple[str, str, bytes]]


class LedgerMachine:
    """State machine of sessions and claims, derived from the log only.

    All operations are idempotent: a repeated one changes nothing and gets
    the result of the first.
    """

    def __init__(self) -> None:
        """Create a state machine without sessions and claims."""
        # Ledger time of the last applied command; it never decreases.
        self.now_ms = 0
        self.sessions_by_epoch: dict[int, Session] = {}
        self._last_epoch = 0
        self._records = RecordTable()
        self._tombstones = TombstoneTable()
        # Heap of the timed transitions of records.
        self._due: list[tuple[int, Reference]] = []
        # Heap of the records with an outcome, oldest first.
        self._ended: list[tuple[int, Reference]] = []
        self._observers: list[Callable[[str, str], None]] = []
        self._handlers: Mapping[str, tuple[type[Any], _Handler]] = {
            KIND_OPEN: (OpenSession, self._open),
            KIND_CLOSE: (CloseSession, self._close),
            KIND_CLAIM: (ClaimKey, self._claim),
            KIND_MARK: (MarkSending, self._mark),
            KIND_FINISH: (FinishClaim, self._finish),
        }

    def on_ended(self, observer: Callable[[str, str], None]) -> None:
        """Register a callback for ended claims; gets account and key."""
        self._observers.append(observer)

    @property
    def next_due_ms(self) -> int | None:
        """Return when the next timed transition is due, or None."""
        due_ms = self._tombstones.next_due_ms
        if not self._due:
            return due_ms
        first_ms = self._due[0][0]
        return first_ms if due_ms is None else min(first_ms, due_ms)

    def view(self, account: str, request_key: str) -> ClaimView | None:
        """Return a claim as of the last applied command, or None."""
        tombstone = self._tombstones.get(account, request_key)
        if tombstone is None:
            return self._records.view(account, request_key)
        return ClaimView(
            account,
            request_key,
            '',
            tombstone.attempt,
            tombstone.state,
            ClaimOutcome(tombstone.state),
            is_tombstone=True,
        )

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a batch and return its encoded list of results.

        A command that cannot be decoded changes nothing and has no results.
        """
        try:
            batch = decode(command, Batch)
        except CodecError:
            return encode([])
        # A leader whose clock is behind must not set the ledger time back.
        self.now_ms = max(self.now_ms, batch.now_ms)
        self._apply_due_transitions()
        return encode(
            [self._apply_one(index, entry) for entry in batch.operations],
        )

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return encode(
            _Snapshot(
                self.now_ms,
                self._last_epoch,
                self.sessions_by_epoch,
                self._records.dump_records(),
                self._tombstones.dump(),
                self._records.dump_bodies(),
            ),
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = decode(data, _Snapshot)
        self.now_ms = state.now_ms
        self._last_epoch = state.last_epoch
        self.sessions_by_epoch = dict(state.sessions_by_epoch)
        self._records = RecordTable()
        self._records.load(state.records, state.bodies)
        self._tombstones.load(state.tombstones)
        self._due = [
            (record.due_ms, (account, request_key))
            for account, request_key, record in state.records
        ]
        heapq.heapify(self._due)
        self._ended = [
            (record.due_ms, (account, request_key))
            for account, request_key, record in state.records
            if record.state.has_outcome
        ]
        heapq.heapify(self._ended)

    def _apply_one(self, index: int, entry: Operation) -> OperationResult:
        if entry.kind not in self._handlers:
            return OperationResult(STATUS_INVALID)
        body_type, handler = self._handlers[entry.kind]
        try:
            body = decode(entry.body, body_type)
        except CodecError:
            return OperationResult(STATUS_INVALID)
        return handler(index, body)

    def _open(self, index: int, body: OpenSession) -> OperationResult:
        wanted = Session(body.host, body.token)
        for epoch, session in self.sessions_by_epoch.items():
            if session == wanted:
                return OperationResult(STATUS_OK, epoch)
        if len(self.sessions_by_epoch) >= MAX_SESSIONS:
            return OperationResult(REASON_LEDGER_FULL)
        # The log index, or the next number when a batch opens several
        # sessions.
        self._last_epoch = max(index, self._last_epoch + 1)
        self.sessions_by_epoch[self._last_epoch] = wanted
        return OperationResult(STATUS_OK, self._last_epoch)

    def _close(self, _index: int, body: CloseSession) -> OperationResult:
        self.sessions_by_epoch.pop(body.epoch, None)
        for reference in self._records.open_claims_of(body.epoch):
            self._end_without_owner(reference, REASON_OWNER_LOST)
        return OperationResult(STATUS_OK, body.epoch)

    def _claim(self, _index: int, body: ClaimKey) -> OperationResult:
        reference = (body.account, body.request_key)
        record = self._records.get(reference)
        if record is not None and record.belongs_to(body.epoch, body.number):
            return OperationResult(STATUS_GRANTED, body.epoch, record.attempt)
        if body.epoch not in self.sessions_by_epoch:
            return OperationResult(STATUS_FENCED)
        tombstone = self._tombstones.get(*reference)
        if record is not None:
            refusal = self._record_refusal(record, body)
        elif tombstone is not None:
            refusal = _tombstone_refusal(tombstone, body)
        else:
            refusal = self._capacity_refusal()
        if refusal is not None:
            return refusal
        earlier = record or tombstone
        attempt = 1 if earlier is None else earlier.attempt + 1
        self._tombstones.remove(*reference)
        self._put(
            reference,
            ClaimRecord(
                body.body_digest,
                attempt,
                ClaimState.claimed,
                body.epoch,
                body.number,
                self.now_ms + body.deadline_ms + CLAIM_GRACE_MS,
            ),
        )
        return OperationResult(STATUS_GRANTED, body.epoch, attempt)

    def _record_refusal(
        self,
        record: ClaimRecord,
        body: ClaimKey,
    ) -> OperationResult | None:
        if record.body_digest != body.body_digest:
            return OperationResult(REASON_KEY_REUSED)
        if record.state is ClaimState.not_run:
            # A delayed copy of an attempt that has ended must not claim the
            # key again.
            is_old = record.epoch == body.epoch and body.number < record.number
            return OperationResult(STATUS_STALE) if is_old else None
        view = self._records.view(body.account, body.request_key)
        return OperationResult(STATUS_EXISTING, claim=view)

    def _evict_oldest_outcomes(self) -> None:
        """Turn the oldest outcomes into tombstones while the table is full.

        The heap is ordered by time, account and key, so that a voter that
        was restored from a snapshot evicts the same records as the others.
        """
        while self._ended and len(self._records) >= MAX_RECORDS:
            due_ms, reference = heapq.heappop(self._ended)
            record = self._records.get(reference)
            if record is not None and record.keeps_outcome_until(due_ms):
                self._add_tombstone(reference, record)

    def _capacity_refusal(self) -> OperationResult | None:
        self._evict_oldest_outcomes()
        keys = len(self._records) + len(self._tombstones)
        if len(self._records) < MAX_RECORDS and keys < MAX_KEYS:
            return None
        return OperationResult(REASON_LEDGER_FULL)

    def _mark(self, _index: int, body: MarkSending) -> OperationResult:
        reference = (body.account, body.request_key)
        record = self._records.get(reference)
        if record is None or not record.belongs_to(body.epoch, body.number):
            return OperationResult(STATUS_FENCED)
        if record.state is ClaimState.sending:
            return OperationResult(STATUS_OK)
        if record.state is not ClaimState.claimed:
            return OperationResult(STATUS_FENCED)
        send_by_ms = self.now_ms + body.send_by_ms
        self._put(
            reference,
            record._replace(
                state=ClaimState.sending,
                send_by_ms=send_by_ms,
                due_ms=send_by_ms + RESULT_WAIT_MS,
            ),
        )
        return OperationResult(STATUS_OK)

    def _finish(self, _index: int, body: FinishClaim) -> OperationResult:
        reference = (body.account, body.request_key)
        record = self._records.get(reference)
        if record is None or not record.belongs_to(body.epoch, body.number):
            return OperationResult(STATUS_FENCED)
        if not record.can_transition_to(body.outcome.state):
            return OperationResult(STATUS_FENCED)
        if record.state is not body.outcome.state or record.is_provisional:
            self._end(reference, body.outcome)
        return OperationResult(STATUS_OK)

    def _end_without_owner(self, reference: Reference, reason: str) -> None:
        record = self._records.get(reference)
        if record is not None:
            # A request in SENDING may have reached the target. One in CLAIMED
            # cannot have, because a later SENDING of this owner is refused.
            sent = record.state is ClaimState.sending
            state = ClaimState.unknown if sent else ClaimState.not_run
            self._end(reference, ClaimOutcome(state, reason))

    def _end(self, reference: Reference, outcome: ClaimOutcome) -> None:
        record = self._records.get(reference)
        if record is None:
            return
        # A repeated outcome does not extend its retention.
        is_same = record.state is outcome.state
        due_ms = (
            record.due_ms if is_same else self.now_ms + OUTCOME_RETENTION_MS
        )
        ended = record._replace(
            state=outcome.state,
            reason=outcome.reason,
            answer_digest=outcome.body_digest,
            due_ms=due_ms,
        )
        self._put(reference, ended)
        if not is_same:
            heapq.heappush(self._ended, (due_ms, reference))
        self._records.replace_body(reference, outcome.body)
        for observer in self._observers:
            observer(*reference)

    def _put(self, reference: Reference, record: ClaimRecord) -> None:
        self._records.put(reference, record)
        heapq.heappush(self._due, (record.due_ms, reference))

    def _apply_due_transitions(self) -> None:
        self._tombstones.remove_expired(self.now_ms)
        while self._ended and self._ended[0][0] <= self.now_ms:
            heapq.heappop(self._ended)
        for _ in range(MAX_DUE_PER_COMMAND):
            if not self._due or self._due[0][0] > self.now_ms:
                return
            due_ms, reference = heapq.heappop(self._due)
            record = self._records.get(reference)
            # The heap still has entries of earlier states of the record.
            if record is not None and record.due_ms == due_ms:
                self._apply_due_transition(reference, record)

    def _apply_due_transition(
        self,
        reference: Reference,
        record: ClaimRecord,
    ) -> None:
        if record.state is ClaimState.claimed:
            self._end_without_owner(reference, REASON_CLAIM_DEADLINE)
        elif record.state is ClaimState.sending:
            self._end_without_owner(reference, REASON_RESULT_WAIT)
        else:
            self._add_tombstone(reference, record)

    def _add_tombstone(self, reference: Reference, record: ClaimRecord) -> None:
        """Replace a record that has an outcome with a tombstone."""
        self._records.remove(reference)
        # Records are replaced in the order in which they ended, so the due
        # times of the tombstones do not decrease.
        self._tombstones.add(
            *reference,
            Tombstone(
                record.due_ms + KEY_RETENTION_MS - OUTCOME_RETENTION_MS,
                record.attempt,
                record.state,
                body_fingerprint(record.body_digest),
            ),
        )


def _tombstone_refusal(
    tombstone: Tombstone,
    body: ClaimKey,
) -> OperationResult | None:
    if tombstone.body_fingerprint != body_fingerprint(body.body_digest):
        return OperationResult(REASON_KEY_REUSED)
    if tombstone.state is ClaimState.not_run:
        return None
    return OperationResult(REASON_KEY_EXPIRED)
