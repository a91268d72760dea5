"""Replicated state: default versions, and records of other streams."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final, NamedTuple

from hornbeamline.helpers.codec import decode, encode
from hornbeamline.origins.const import MAX_RECORDS, MAX_SERVICES

MACHINE_NAME: Final = 'origins'


class OriginRecord(NamedTuple):
    """Version of the target that wrote the first event of a stream."""

    digest: bytes
    version: str
    # A record replaces one of the same stream with a lower number, so that a
    # delayed command of an earlier attempt changes nothing.
    order: int


class DefaultChange(NamedTuple):
    """Replaces the default version of a service."""

    service: str
    # The change is void if the default is another one by now.
    previous: str | None
    version: str


class OriginCommand(NamedTuple):
    """Command in the replicated log."""

    records: Sequence[OriginRecord] = ()
    defaults: Sequence[DefaultChange] = ()
    # Number of the generation that ends, or -1.
    ended_generation: int = -1


class OriginOutcome(NamedTuple):
    """Result of a command."""

    # One for each record, in order.
    accepted: Sequence[bool] = ()
    # One for each change of a default, in order.
    changed: Sequence[bool] = ()
    # Records dropped with the previous generation.
    dropped: int = 0


class _State(NamedTuple):
    """Snapshot."""

    defaults_by_service: dict[str, str]
    generation: int
    current: list[OriginRecord]
    previous: list[OriginRecord]


class OriginMachine:
    """Keeps the default versions and two generations of records.

    A stream without a record began at the default version of its service.
    """

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        """Start without defaults and records."""
        self._max_records = max_records
        self.defaults_by_service: dict[str, str] = {}
        # Number of rotations.
        self.generation = 0
        self._current_by_digest: dict[bytes, OriginRecord] = {}
        self._previous_by_digest: dict[bytes, OriginRecord] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._current_by_digest) + len(self._previous_by_digest)

    def find(self, digest: bytes) -> str | None:
        """Return the recorded version of a stream, if there is a record."""
        record = self._record_of(digest)
        return None if record is None else record.version

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return the encoded `OriginOutcome`."""
        decoded = decode(command, OriginCommand)
        dropped = 0
        if decoded.ended_generation == self.generation:
            dropped = self._rotate()
        outcome = OriginOutcome(
            [self._store(record) for record in decoded.records],
            [self._change_default(change) for change in decoded.defaults],
            dropped,
        )
        return encode(outcome)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return encode(
            _State(
                self.defaults_by_service,
                self.generation,
                list(self._current_by_digest.values()),
                list(self._previous_by_digest.values()),
            ),
        )

    def restore(self, state: bytes) -> None:
        """Replace the state with that of a snapshot."""
        decoded = decode(state, _State)
        self.defaults_by_service = decoded.defaults_by_service
        self.generation = decoded.generation
        self._current_by_digest = _by_digest(decoded.current)
        self._previous_by_digest = _by_digest(decoded.previous)

    def _record_of(self, digest: bytes) -> OriginRecord | None:
        current = self._current_by_digest.get(digest)
        return current or self._previous_by_digest.get(digest)

    def _store(self, record: OriginRecord) -> bool:
        """Store a record; return False if there is no space for it.

        None is evicted, since a missing record means the default version.
        """
        existing = self._record_of(record.digest)
        if existing is None and len(self) >= self._max_records:
            return False
        if existing is None or existing.order <= record.order:
            self._previous_by_digest.pop(record.digest, None)
            self._current_by_digest[record.digest] = record
        return True

    def _change_default(self, change: DefaultChange) -> bool:
        current = self.defaults_by_service.get(change.service)
        is_new = current is None
        if current != change.previous:
            return False
        if is_new and len(self.defaults_by_service) >= MAX_SERVICES:
            return False
        self.defaults_by_service[change.service] = change.version
        return True

    def _rotate(self) -> int:
        dropped = len(self._previous_by_digest)
        self._previous_by_digest = self._current_by_digest
        self._current_by_digest = {}
        self.generation += 1
        return dropped


def _by_digest(records: list[OriginRecord]) -> dict[bytes, OriginRecord]:
    return {record.digest: record for record in records}
