"""Messages between directory members and control processes."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.directory._loads import ProcessLoad
from hornbeamline.documents import StoredDocument
from hornbeamline.evacuations import EvacuationState
from hornbeamline.gateway import Target
from hornbeamline.peering import message


class Presence(NamedTuple):
    """Self-description of a process; changes rarely."""

    name: str
    address: str
    role: str
    data_centre: str
    # The process is stopping and takes no new shared work.
    is_leaving: bool = False
    # The data that the process stores survives a restart.
    is_durable: bool = True
    # Services whose stage queues the process owns.
    owned_services: list[str] = []
    # Targets that have announced that they are leaving.
    leaving_targets: list[str] = []
    # Limits, in requests per second, of the targets that the process grants
    # permits for.
    limited_targets: dict[str, float] = {}
    # Processor capacity of the host in cores; 0 if unknown.
    processor_cores: float = 0
    # How long targets stay cold, in seconds, as calls have shown; of the
    # services for which the process grants permits.
    cold_targets: dict[str, float] = {}


class Position(NamedTuple):
    """Position of a process in the changes of one control process."""

    # Identifies one run of the control process that counts the changes.
    incarnation: int
    changes: int


class ListedTargets(NamedTuple):
    """The list of targets as a control process holds it."""

    digest: bytes
    # Seconds since the list was read.
    age_s: float
    # None if the receiver already holds the same list.
    targets: list[Target] | None


@message('directory.enrol')
class Enrol(NamedTuple):
    """Registers the sender with a control process, or renews this."""

    presence: Presence
    document_number: int
    # Whether the reply is to include the list of targets and the changes
    # among the other processes.
    is_full: bool = True
    # Digest of the list of targets that the sender holds.
    list_digest: bytes = b''
    load: ProcessLoad = ProcessLoad()
    # None if the sender has no state from this control process.
    position: Position | None = None
    # Number of the evacuations that the sender holds.
    evacuation_number: int = 0


class PresentChanges(NamedTuple):
    """Changes among the present processes since a position.

    The size grows with the number of changes, not of processes.
    """

    position: Position
    # `changed` contains all present processes.
    is_whole: bool
    changed: list[Presence]
    gone: list[str]
    # Seconds since the control process last heard from a process, for the
    # changed and the overdue ones.
    ages_s_by_name: dict[str, float]
    # Sum over all processes except the one that asked.
    load: ProcessLoad


@message('directory.enrol_reply')
class EnrolReply(NamedTuple):
    """Reply to `Enrol`; only full replies have a list and changes."""

    # None if the sender holds this document or a newer one.
    document: StoredDocument | None
    listed: ListedTargets | None = None
    changes: PresentChanges | None = None
    # None if the sender holds this state or a newer one.
    evacuations: EvacuationState | None = None


@message('directory.list_read')
class ListRead(NamedTuple):
    """Announces that the sender has read the list of targets.

    The message does not carry the list, since a receiver that was suspended
    would take an old list for a new one. The receiver enrols instead and
    counts the age of the list from its request.
    """


@message('directory.document')
class DocumentPush(NamedTuple):
    """Pushes the newest committed document."""

    document: StoredDocument


@message('directory.evacuations')
class EvacuationsPush(NamedTuple):
    """Pushes the newest committed evacuations."""

    evacuations: EvacuationState
