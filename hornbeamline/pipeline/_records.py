"""Conversion between request outcomes and ledger records."""

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
    """Return the digest of a request's pipeline and input.

    A key that is reused with another digest is refused.
    """
    body = {'pipeline': request.info.pipeline, 'input': request.input}
    return hashlib.sha256(encode_sorted(body)).hexdigest()


def encode_sorted(content: Any) -> bytes:
    """Return JSON with sorted keys, so that equal contents encode equally."""
    return encode_json(_sort_keys(content))


def record_from_outcome(outcome: Outcome) -> ClaimOutcome:
    """Return the ledger record of an outcome."""
    body = None if outcome.output is None else encode_json(outcome.output)
    return make_outcome(ClaimState(outcome.kind.value), outcome.reason, body)


def outcome_from_claim(view: ClaimView) -> Outcome:
    """Return the outcome that a claim records.

    An expired key and a request in progress are `unknown`.
    """
    if view.is_tombstone:
        return Outcome(OutcomeKind.unknown, None, REASON_KEY_EXPIRED)
    record = view.outcome
    if record is None:
        return Outcome(OutcomeKind.unknown, None, REASON_IN_PROGRESS)
    kind = OutcomeKind(record.state.value)
    return Outcome(
        kind,
        _decode_output(record),
        record.reason,
        _RETRY_AFTER_S if kind is OutcomeKind.not_run else 0,
        output_digest=record.body_digest,
    )


def _decode_output(record: ClaimOutcome) -> dict[str, Any] | None:
    if record.body is None:
        return None
    try:
        return decode_json(record.body, dict[str, Any])
    except CodecError:
        # The digest in the record still identifies the answer.
        return None


def _sort_keys(content: Any) -> Any:
    if isinstance(content, dict):
        return {key: _sort_keys(content[key]) for key in sorted(content)}
    if isinstance(content, list):
        return [_sort_keys(element) for element in content]
    return content
