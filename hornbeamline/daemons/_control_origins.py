"""Origins of streams on a control process."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final, TypeAlias

from hornbeamline.control_link import LeaderServer
from hornbeamline.documents import DocumentMachine, InvalidDocumentError
from hornbeamline.gateway import TargetDirectory
from hornbeamline.helpers.clock import Clock
from hornbeamline.origins import OriginMachine
from hornbeamline.origins.service import OriginService
from hornbeamline.replog import RaftLog
from hornbeamline.telemetry import log_event

# Returns the longest time limit of the streams of a document, in seconds.
StreamLimitReader: TypeAlias = Callable[[bytes], float]

# Assumed if the documents are not read for it.
_UNKNOWN_LIMIT_S: Final = 120.0


class LongestStream:
    """Longest time limit of the streams of all documents so far.

    Streams that began under an earlier document keep its limit.
    """

    def __init__(
        self,
        machine: DocumentMachine,
        read_limit: StreamLimitReader | None,
    ) -> None:
        """Initialize with the machine that holds the document."""
        self._machine = machine
        self._read_limit = read_limit
        self._number = 0
        self._limit_s: float = 0 if read_limit else _UNKNOWN_LIMIT_S

    def __call__(self) -> float:
        """Return the limit in seconds; each document is read once."""
        document = self._machine.current
        if self._read_limit is not None and document.number != self._number:
            self._number = document.number
            try:
                limit_s = self._read_limit(document.content)
            except InvalidDocumentError as error:
                # A control process of another version may have accepted a
                # document that this version cannot read.
                log_event(
                    'documents.unusable',
                    number=document.number,
                    error=str(error),
                )
                limit_s = _UNKNOWN_LIMIT_S
            self._limit_s = max(self._limit_s, limit_s)
        return self._limit_s


def origin_service(
    log: RaftLog,
    server: LeaderServer,
    targets: TargetDirectory,
    longest_stream_s: Callable[[], float],
    clock: Clock,
) -> OriginService:
    """Return the service that compares versions with the list of targets."""
    return OriginService(
        log,
        server,
        OriginMachine(),
        targets.versions_by_service,
        lambda: targets.age_s if targets.is_known else math.inf,
        longest_stream_s,
        clock,
    )
