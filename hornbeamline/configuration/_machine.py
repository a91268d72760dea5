"""Replicated state of the configuration."""

from __future__ import annotations

from typing import Any, NamedTuple

from hornbeamline.configuration._types import (
    Accepted,
    Change,
    ChangeResponse,
    HistoryEntry,
)
from hornbeamline.configuration.const import (
    MAX_CHANGE_IDS,
    MAX_HISTORY,
    MAX_HISTORY_BYTES,
    STATUS_ACCEPTED,
    STATUS_CONFLICT,
    STATUS_INVALID,
)
from hornbeamline.helpers.codec import CodecError, decode, encode
from hornbeamline.inventory import (
    Document,
    InvalidDocumentError,
    Operation,
    apply_operations,
)


class ChangeCommand(NamedTuple):
    """Command of the log."""

    change: Change
    at_ms: int
    # Digest of the resulting document, which the leader validated. Empty
    # when the base was not the leader's current revision: such a change
    # must never be accepted.
    result_digest: str


class _Snapshot(NamedTuple):
    revision: int
    digest: str
    document: dict[str, dict[str, Any]]
    history: list[HistoryEntry]
    responses_by_change: list[tuple[str, ChangeResponse]]


class ConfigurationMachine:
    """Accepted document, its history and the responses to changes."""

    def __init__(self) -> None:
        """Start with the empty document of revision 0."""
        self.accepted = Accepted(0, '', {})
        # Oldest first.
        self.history: list[HistoryEntry] = []
        self._history_bytes = 0
        self._responses_by_change: dict[str, ChangeResponse] = {}

    def response_to(self, change_id: str) -> ChangeResponse | None:
        """Return the first response to a change id, while remembered."""
        return self._responses_by_change.get(change_id)

    def operations_since(self, revision: int) -> list[Operation] | None:
        """Return the operations after a revision.

        None means that the history no longer holds all of them.
        """
        missing = self.accepted.revision - revision
        if not 0 <= missing <= len(self.history):
            return None
        newer = self.history[len(self.history) - missing :]
        return [step for entry in newer for step in entry.operations]

    def apply(self, _index: int, command: bytes) -> bytes:
        """Apply a change command and return its encoded response."""
        try:
            body = decode(command, ChangeCommand)
        except CodecError as error:
            return encode(self._invalid('', str(error)))
        change_id = body.change.change_id
        response = self._responses_by_change.get(change_id)
        if response is None:
            response = self._decide(body, len(command))
            self._responses_by_change[change_id] = response
            if len(self._responses_by_change) > MAX_CHANGE_IDS:
                oldest = next(iter(self._responses_by_change))
                self._responses_by_change.pop(oldest)
        return encode(response)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return encode(
            _Snapshot(
                *self.accepted,
                self.history,
                list(self._responses_by_change.items()),
            ),
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        state = decode(data, _Snapshot)
        self.accepted = Accepted(state.revision, state.digest, state.document)
        self.history = state.history
        self._history_bytes = sum(entry.size_bytes for entry in self.history)
        self._responses_by_change = dict(state.responses_by_change)

    def _decide(self, body: ChangeCommand, size_bytes: int) -> ChangeResponse:
        change = body.change
        is_current = change.base_revision == self.accepted.revision
        if not is_current or not body.result_digest:
            return self._conflict(change)
        try:
            document = apply_operations(
                self.accepted.document,
                change.operations,
            )
        except InvalidDocumentError as error:
            return self._invalid(error.key_path, error.reason)
        self._accept(body, document, size_bytes)
        return ChangeResponse(STATUS_ACCEPTED, self.accepted.revision)

    def _accept(
        self,
        body: ChangeCommand,
        document: Document,
        size_bytes: int,
    ) -> None:
        revision = self.accepted.revision + 1
        self.accepted = Accepted(revision, body.result_digest, document)
        entry = HistoryEntry(
            revision,
            body.change.change_id,
            body.change.author,
            body.at_ms,
            body.change.operations,
            body.result_digest,
            size_bytes,
        )
        # A new list: readers may hold the old one across an await.
        self.history = [*self.history, entry]
        self._history_bytes += size_bytes
        while self._is_history_full():
            self._history_bytes -= self.history.pop(0).size_bytes

    def _is_history_full(self) -> bool:
        # The newest entry stays, whatever its size: it names the winner of
        # a conflict.
        is_over = self._history_bytes > MAX_HISTORY_BYTES
        too_large = is_over and len(self.history) > 1
        return too_large or len(self.history) > MAX_HISTORY

    def _conflict(self, change: Change) -> ChangeResponse:
        for entry in self.history:
            if entry.revision == change.base_revision + 1:
                return ChangeResponse(
                    STATUS_CONFLICT,
                    self.accepted.revision,
                    entry.change_id,
                    entry.author,
                )
        return ChangeResponse(STATUS_CONFLICT, self.accepted.revision)

    def _invalid(self, key_path: str, reason: str) -> ChangeResponse:
        return ChangeResponse(
            STATUS_INVALID,
            self.accepted.revision,
            key_path=key_path,
            reason=reason,
        )
