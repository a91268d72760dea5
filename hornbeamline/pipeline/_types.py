"""Requests, outcomes and costs of pipelines."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple

from hornbeamline.decisions import RequestInfo


class OutcomeKind(Enum):
    """The three final outcomes of a request."""

    answered = 'answered'
    not_run = 'not_run'
    # A non-repeatable call was sent and its answer was lost.
    unknown = 'unknown'


class StageCost(NamedTuple):
    """What one stage of one request cost."""

    stage: str
    service: str
    # Target whose answer counts, or the last one tried.
    target: str
    target_ms: float
    tokens: int
    attempts: int
    # Time of attempts that contributed nothing, such as hedge losers.
    wasted_ms: float = 0


class Outcome(NamedTuple):
    """Final outcome of a request."""

    kind: OutcomeKind
    # For `partially_run`: the output of the last non-repeatable stage.
    output: dict[str, Any] | None = None
    reason: str = ''
    retry_after_s: float = 0
    costs: tuple[StageCost, ...] = ()
    # Digest of an answer whose body the ledger no longer holds.
    output_digest: str = ''


class PipelineRequest(NamedTuple):
    """A request with its input."""

    info: RequestInfo
    # The caller's idempotency key; empty for repeatable pipelines.
    request_key: str
    input: dict[str, Any]
    # Digest of the credential that was accepted; empty for none.
    credential_sha256: str = ''
