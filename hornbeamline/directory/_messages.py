"""Messages of the directory."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.directory._loads import ProcessLoad
from hornbeamline.documents import StoredDocument
from hornbeamline.gateway import Target
from hornbeamline.peering import message


class Presence(NamedTuple):
    """A process as it describes itself; changes rarely."""

    name: str
    address: str
    role: str
    data_centre: str
    # The process stops; it takes over no shared work any more.
    is_leaving: bool = False
    # The process keeps what it stores over a restart.
    is_durable: bool = True
    # Services whose stage queues it keeps.
    owned_services: list[str] = []
    # Targets that said that they leave.
    leaving_targets: list[str] = []
    # Limits, in requests a second, of targets that it grants permits for.
    limited_targets: dict[str, float] = {}


class Position(NamedTuple):
    """How far a process follows the changes of one control process."""

    # Start of the control process that counts the changes.
    incarnation: int
    changes: int


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
    # The reply is to tell of the others and of the list of targets.
    is_full: bool = True
    # Digest of the list of targets that the sender holds.
    list_digest: bytes = b''
    load: ProcessLoad = ProcessLoad()
    # None when the sender knows nothing from this control process.
    position: Position | None = None


class PresentChanges(NamedTuple):
    """What changed among the present processes since a position.

    Its size follows the changes, not the number of processes.
    """

    position: Position
    # `changed` names all present processes.
    is_whole: bool
    changed: list[Presence]
    gone: list[str]
    # Seconds since the control process heard of a process, for those that
    # changed and those that are overdue.
    ages_s_by_name: dict[str, float]
    # Of all processes but the one that asked.
    load: ProcessLoad


@message('directory.enrol_reply')
class EnrolReply(NamedTuple):
    """What a process needs to know of the others; see `Enrol.is_full`."""

    # If the sender's is older.
    document: StoredDocument | None
    listed: ListedTargets | None = None
    changes: PresentChanges | None = None


@message('directory.list_read')
class ListRead(NamedTuple):
    """The sender has read the list of targets.

    It names no list: a receiver that was suspended would take an old one
    for new. It enrols instead, and counts the age from its question.
    """


@message('directory.document')
class DocumentPush(NamedTuple):
    """A document that has just been committed."""

    document: StoredDocument
