"""Records of single requests."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple


class EndingKind(Enum):
    """How a request ended for its caller."""

    answered = 'answered'
    not_run = 'not_run'
    unknown = 'unknown'
    # No final outcome arrived; a keyed request can be looked up.
    connection_lost = 'connection_lost'
    # An answer that does not belong to the request.
    wrong_answer = 'wrong_answer'
    # A status that the interface does not define as an outcome.
    rejected = 'rejected'


class Ending(NamedTuple):
    """Final record of one request."""

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
