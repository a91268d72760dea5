"""Bodies of the target interface."""

from __future__ import annotations

from typing import Any, NamedTuple, TypedDict


class StagePayload(TypedDict):
    """Body of `POST /v1/run`."""

    stage: str
    input: dict[str, Any]
    # Outputs of the stages before this one.
    outputs_by_stage: dict[str, Any]


class Usage(TypedDict):
    """What a call cost at the target."""

    target_ms: float
    tokens: int


class StageAnswer(TypedDict):
    """Answer of `POST /v1/run`."""

    request_id: str
    output: dict[str, Any]
    usage: Usage


class TargetCall(NamedTuple):
    """One attempt as the target client sends it."""

    # Unique per attempt; the answer must repeat it.
    request_id: str
    payload: StagePayload
    timeout_s: float
    idempotent: bool = True
    request_key: str = ''
    priority: int = 0
