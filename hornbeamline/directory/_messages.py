"""Messages of the directory."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.documents import StoredDocument
from hornbeamline.peering import message


class Presence(NamedTuple):
    """A process as it describes itself."""

    name: str
    address: str
    role: str
    data_centre: str
    # Requests in progress at targets, by target id.
    in_flight_by_target: dict[str, int] = {}
    # Waiting times by rank of the stage queues that the process owns.
    waits_by_service: dict[str, dict[int, float]] = {}
    # Pieces by rank that its requests will queue at stage services.
    coming_by_service: dict[str, dict[int, int]] = {}
    # The process stops; it takes over no shared work any more.
    is_leaving: bool = False
    # The process keeps what it stores over a restart.
    is_durable: bool = True


@message('directory.enrol')
class Enrol(NamedTuple):
    """Tells a control process that the sender is there."""

    presence: Presence
    document_number: int
    # The reply is to name the present processes.
    wants_present: bool = True


@message('directory.enrol_reply')
class EnrolReply(NamedTuple):
    """Present processes if wanted, and a document newer than the sender's."""

    present: list[Presence]
    document: StoredDocument | None


@message('directory.document')
class DocumentPush(NamedTuple):
    """A document that has just been committed."""

    document: StoredDocument
