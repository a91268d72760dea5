"""Types of pipeline requests, outcomes and stage costs."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple

from hornbeamline.decisions import RequestInfo


class OutcomeKind(Enum):
    """Kind of the final outcome of a request."""

    answered = 'answered'
    not_run = 'not_run'
    # A non-repeatable call may have run, and there is no final answer.
    unknown = 'unknown'


class StageCost(NamedTuple):
    """Cost of one stage of one request."""

    stage: str
    service: str
    # Target of the last useful attempt, or of the last attempt if no
    # attempt was useful.
    target: str
    target_ms: float
    tokens: int
    attempts: int
    # Target time of attempts that contributed nothing to the answer, such as
    # hedged attempts that were cancelled.
    wasted_ms: float = 0


class Outcome(NamedTuple):
    """Final outcome of a request."""

    kind: OutcomeKind
    # For the reason `partially_run`: output of the last non-repeatable stage
    # that succeeded.
    output: dict[str, Any] | None = None
    reason: str = ''
    retry_after_s: float = 0
    costs: tuple[StageCost, ...] = ()
    # Digest of the output as recorded in the ledger; it remains available
    # after the ledger has dropped the body.
    output_digest: str = ''


class PipelineRequest(NamedTuple):
    """Request to run a pipeline, with its input."""

    info: RequestInfo
    # Idempotency key of the caller; may be empty for repeatable pipelines.
    request_key: str
    input: dict[str, Any]
    # Digest of the credential that authenticated the caller; empty if none
    # was checked.
    credential_sha256: str = ''
