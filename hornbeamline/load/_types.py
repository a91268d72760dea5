"""Record of a single request."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple


class EndingKind(Enum):
    """Outcome of a request as the caller sees it."""

    answered = 'answered'
    not_run = 'not_run'
    unknown = 'unknown'
    # No final outcome arrived; a keyed request can be looked up.
    connection_lost = 'connection_lost'
    # An answer that does not belong to the request.
    wrong_answer = 'wrong_answer'
    # A response that does not report one of the outcomes of the interface.
    rejected = 'rejected'


class Ending(NamedTuple):
    """Record of one request after it ended."""

    pipeline: str
    account: str
    request_key: str
    kind: EndingKind
    reason: str
    # Seconds since the start of the run.
    began_s: float
    duration_s: float
    in_time: bool
    sends: int
    costs: tuple[dict[str, Any], ...] = ()
