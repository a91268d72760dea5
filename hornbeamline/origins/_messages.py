"""Messages between entry hosts and the leader of the control hosts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from hornbeamline.origins._machine import OriginRecord
from hornbeamline.peering import message


class VersionQuery(NamedTuple):
    """Question for the version of a stream or the default of its service."""

    service: str
    # Empty to ask for the default only.
    digest: bytes = b''
    # Version at which the sender is about to begin a stream, if it is.
    in_use: str | None = None


class VersionAnswer(NamedTuple):
    """Version that began the stream, and the default of the service."""

    # None if there is no record.
    recorded: str | None
    # None if the service has no default.
    default: str | None


@message('origins.ask')
class AskVersions(NamedTuple):
    """Asks the leader for versions; it answers in the same order."""

    queries: Sequence[VersionQuery]
    forwarded: bool = False


@message('origins.ask_reply')
class VersionsReply(NamedTuple):
    """Returns the committed versions at the time of the read."""

    answers: Sequence[VersionAnswer]


@message('origins.record')
class RecordStreams(NamedTuple):
    """Asks the leader to store records."""

    records: Sequence[OriginRecord]
    services: Sequence[str]
    forwarded: bool = False


@message('origins.record_reply')
class RecordReply(NamedTuple):
    """Returns which records are stored, and the defaults."""

    # One for each record, in order. False if the records are full.
    accepted: Sequence[bool]
    # Defaults of the services in the request that have one.
    defaults_by_service: dict[str, str]
