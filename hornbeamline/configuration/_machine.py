"""State machine of the configuration in the replicated log."""

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
    """Change as it is stored in the replicated log."""

    change: Change
    at_ms: int
    # Digest of the resulting document, which the leader validated. Empty if
    # the base was not the leader's current revision: the result was not
    # validated, so the change must never be accepted.
    result_digest: str


class _Snapshot(NamedTuple):
    revision: int
    digest: str
    document: dict[str, dict[str, Any]]
    history: list[HistoryEntry]
    responses_by_change: list[tuple[str, ChangeResponse]]


class ConfigurationMachine:
    """Holds the accepted document, its history and recent responses.

    Responses are kept by change id, so that a change that is sent again is
    applied once and gets the same response.
    """

    def __init__(self) -> None:
        """Start at revision 0 with an empty document."""
        self.accepted = Accepted(0, '', {})
        # Oldest first.
        self.history: list[HistoryEntry] = []
        self._history_bytes = 0
        self._responses_by_change: dict[str, ChangeResponse] = {}

    def response_to(self, change_id: str) -> ChangeResponse | None:
        """Return the response to a change id, or None if it is not kept.

        The latest `MAX_CHANGE_IDS` responses are kept.
        """
        return self._responses_by_change.get(change_id)

    def operations_since(self, revision: int) -> list[Operation] | None:
        """Return the operations accepted after a revision, oldest first.

        None if the history does not hold all of them, or if the revision
        is newer than the accepted one.
        """
        missing = self.accepted.revision - revision
        if not 0 <= missing <= len(self.history):
            return None
        newer = self.history[len(self.history) - missing :]
        return [operation for entry in newer for operation in entry.operations]

    def apply(self, _index: int, command: bytes) -> bytes:
        """Apply an encoded `ChangeCommand`; return the encoded response."""
        try:
            body = decode(command, ChangeCommand)
        except CodecError as error:
            return encode(self._invalid_response('', str(error)))
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
        """Return the encoded state."""
        return encode(
            _Snapshot(
                *self.accepted,
                self.history,
                list(self._responses_by_change.items()),
            ),
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = decode(data, _Snapshot)
        self.accepted = Accepted(state.revision, state.digest, state.document)
        self.history = state.history
        self._history_bytes = sum(entry.size_bytes for entry in self.history)
        self._responses_by_change = dict(state.responses_by_change)

    def _decide(self, body: ChangeCommand, size_bytes: int) -> ChangeResponse:
        change = body.change
        is_current = change.base_revision == self.accepted.revision
        if not is_current or not body.result_digest:
            return self._conflict_response(change)
        try:
            document = apply_operations(
                self.accepted.document,
                change.operations,
            )
        except InvalidDocumentError as error:
            return self._invalid_response(error.key_path, error.reason)
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
        # Appends to a copy: a reader may hold the previous list across an
        # await.
        self.history = [*self.history, entry]
        self._history_bytes += size_bytes
        while self._exceeds_history_limits():
            self._history_bytes -= self.history.pop(0).size_bytes

    def _exceeds_history_limits(self) -> bool:
        # The newest entry is kept whatever its size, because a conflict
        # response names the change that won.
        exceeds_bytes = self._history_bytes > MAX_HISTORY_BYTES
        too_large = exceeds_bytes and len(self.history) > 1
        return too_large or len(self.history) > MAX_HISTORY

    def _conflict_response(self, change: Change) -> ChangeResponse:
        for entry in self.history:
            if entry.revision == change.base_revision + 1:
                return ChangeResponse(
                    STATUS_CONFLICT,
                    self.accepted.revision,
                    entry.change_id,
                    entry.author,
                )
        return ChangeResponse(STATUS_CONFLICT, self.accepted.revision)

    def _invalid_response(self, key_path: str, reason: str) -> ChangeResponse:
        return ChangeResponse(
            STATUS_INVALID,
            self.accepted.revision,
            key_path=key_path,
            reason=reason,
        )
