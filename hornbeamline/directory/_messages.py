"""Messages of the directory."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.documents import StoredDocument
from hornbeamline.gateway import Target
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
    # Pieces a second that the targets of its stage queues compute.
    rate_by_service: dict[str, float] = {}
    # The process stops; it takes over no shared work any more.
    is_leaving: bool = False
    # The process keeps what it stores over a restart.
    is_durable: bool = True
    # Services whose stage queues it keeps.
    owned_services: list[str] = []


class ListedTargets(NamedTuple):
    """The list of targets as a control process holds it."""

    digest: bytes
    # Seconds since it was read.
    age_s: float
    # None when the sender holds the same list.
    targets: list[Target] | None


@message('directory.enrol')
class Enrol(NamedTuple):
    """Tells a control process that the sender is there."""

    presence: Presence
    document_number: int
    # The reply is to name the present processes and the list of targets.
    is_full: bool = True
    # Digest of the list of targets that the sender holds.
    list_digest: bytes = b''


@message('directory.enrol_reply')
class EnrolReply(NamedTuple):
    """What a process needs to know of the others; see `Enrol.is_full`."""

    present: list[Presence]
    # If the sender's is older.
    document: StoredDocument | None
    listed: ListedTargets | None = None
    # Seconds since each of `present` was heard of.
    ages_s: list[float] = []


@message('directory.document')
class DocumentPush(NamedTuple):
    """A document that has just been committed."""

    document: StoredDocument
