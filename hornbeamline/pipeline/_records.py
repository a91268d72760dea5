"""Outcomes as the ledger keeps them."""

from __future__ import annotations

import hashlib
from typing import Any, Final

from hornbeamline.helpers.codec import CodecError, decode_json, encode_json
from hornbeamline.ledger import (
    ClaimOutcome,
    ClaimState,
    ClaimView,
    make_outcome,
)
from hornbeamline.pipeline._types import (
    Outcome,
    OutcomeKind,
    PipelineRequest,
)

REASON_IN_PROGRESS: Final = 'in_progress'
REASON_KEY_EXPIRED: Final = 'key_expired'
_RETRY_AFTER_S: Final = 1.0


def request_digest(request: PipelineRequest) -> str:
    """Return the digest by which a reused key is recognised."""
    body = {'pipeline': request.info.pipeline, 'input': request.input}
    return hashlib.sha256(encode_sorted(body)).hexdigest()


def encode_sorted(content: Any) -> bytes:
    """Return JSON that does not depend on the order of keys."""
    return encode_json(_sorted(content))


def record_of(outcome: Outcome) -> ClaimOutcome:
    """Return the ledger's form of an outcome."""
    body = None if outcome.output is None else encode_json(outcome.output)
    return make_outcome(ClaimState(outcome.kind.value), outcome.reason, body)


def outcome_of(view: ClaimView) -> Outcome:
    """Return the outcome that a looked-up claim stands for."""
    if view.is_tombstone:
        return Outcome(OutcomeKind.unknown, None, REASON_KEY_EXPIRED)
    record = view.outcome
    if record is None:
        return Outcome(OutcomeKind.unknown, None, REASON_IN_PROGRESS)
    kind = OutcomeKind(record.state.value)
    return Outcome(
        kind,
        _output_of(record),
        record.reason,
        _RETRY_AFTER_S if kind is OutcomeKind.not_run else 0,
        output_digest=record.body_digest,
    )


def _output_of(record: ClaimOutcome) -> dict[str, Any] | None:
    if record.body is None:
        return None
    try:
        return decode_json(record.body, dict[str, Any])
    except CodecError:
        # The digest still tells which answer it was.
        return None


def _sorted(content: Any) -> Any:
    if isinstance(content, dict):
        return {key: _sorted(content[key]) for key in sorted(content)}
    if isinstance(content, list):
        return [_sorted(element) for element in content]
    return content
