"""Calls of an entry host to the leader, merged into few messages."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol

from hornbeamline.control_link import LeaderClient, LeaderUnavailableError
from hornbeamline.helpers.batching import Batcher
from hornbeamline.helpers.clock import Clock
from hornbeamline.origins._machine import OriginRecord
from hornbeamline.origins._messages import (
    AskVersions,
    RecordReply,
    RecordStreams,
    VersionAnswer,
    VersionQuery,
    VersionsReply,
)
from hornbeamline.origins.const import ATTEMPT_TIMEOUT_S, MAX_BATCH_STREAMS
from hornbeamline.peering import Peering
from hornbeamline.telemetry import log_event


class StreamRecord(NamedTuple):
    """Record of a stream, with its service."""

    service: str
    record: OriginRecord
    # Monotonic time in seconds until which the caller waits.
    deadline: float


class StoredRecord(NamedTuple):
    """Result of a record."""

    # False if the records are full.
    is_accepted: bool
    # None if the service has no default.
    default: str | None


class PendingQuery(NamedTuple):
    """Question of a caller that waits until `deadline`."""

    query: VersionQuery
    deadline: float


class _HasDeadline(Protocol):
    @property
    def deadline(self) -> float:
        """Return the monotonic time in seconds until which a caller waits."""


class OriginLink:
    """Merges concurrent records, and concurrent questions, into one call."""

    def __init__(
        self,
        peering: Peering,
        clock: Clock,
        controls: Callable[[], Sequence[str]],
    ) -> None:
        """Initialize with the names of the control processes to ask."""
        self._clock = clock
        self._leader = LeaderClient(peering, controls, ATTEMPT_TIMEOUT_S)
        self.records = Batcher(self._record, MAX_BATCH_STREAMS)
        self.queries = Batcher(self._ask, MAX_BATCH_STREAMS)

    async def _record(self, entries: list[StreamRecord]) -> list[StoredRecord]:
        services = sorted({entry.service for entry in entries})
        try:
            reply = await self._leader.call(
                RecordStreams([entry.record for entry in entries], services),
                RecordReply,
                self._timeout_s(entries),
            )
        except LeaderUnavailableError as error:
            log_event(
                'origins.record_failed',
                records=len(entries),
                services=','.join(services),
                error=str(error),
            )
            raise
        _check_length(entries, reply.accepted)
        return [
            StoredRecord(
                is_accepted,
                reply.defaults_by_service.get(entry.service),
            )
            for entry, is_accepted in zip(entries, reply.accepted, strict=True)
        ]

    async def _ask(self, entries: list[PendingQuery]) -> list[VersionAnswer]:
        queries = list(dict.fromkeys(entry.query for entry in entries))
        reply = await self._leader.call(
            AskVersions(queries),
            VersionsReply,
            self._timeout_s(entries),
        )
        _check_length(queries, reply.answers)
        answers = dict(zip(queries, reply.answers, strict=True))
        return [answers[entry.query] for entry in entries]

    def _timeout_s(self, entries: Sequence[_HasDeadline]) -> float:
        """Return the longest time that one of the callers waits."""
        deadline = max(entry.deadline for entry in entries)
        return max(deadline - self._clock.monotonic(), 0)


def _check_length(asked: Sequence[Any], answers: Sequence[Any]) -> None:
    if len(asked) != len(answers):
        raise LeaderUnavailableError(
            f'{len(answers)} answers to {len(asked)} questions',
        )
