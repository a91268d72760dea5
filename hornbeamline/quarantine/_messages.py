"""Messages that spread the evidence."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.peering import message


class MarkReport(NamedTuple):
    """A crash mark with its age in place of a time."""

    part: str
    target: str
    phase: int
    following: int
    age_s: float
    request: str
    waited_s: float
    score: float
    is_telling: bool
    is_cleared: bool
    content: str = ''


class LiftReport(NamedTuple):
    """Removal of a part's evidence by an operator."""

    part: str
    age_s: float


class EvidenceReport(NamedTuple):
    """All evidence that a process holds."""

    marks: list[MarkReport] = []
    # Parts with marks whose answers began well before.
    begun: list[str] = []
    lifts: list[LiftReport] = []


@message('quarantine.evidence')
class EvidencePush(NamedTuple):
    """Pushes evidence, from a host to control processes or back."""

    report: EvidenceReport


@message('quarantine.sync')
class EvidenceSync(NamedTuple):
    """Asks a control process for evidence that the sender lacks."""

    # Digest of the sender's evidence.
    digest: bytes


@message('quarantine.sync_reply')
class EvidenceSyncReply(NamedTuple):
    """Evidence of a control process; None if the digests are equal."""

    report: EvidenceReport | None
