"""Messages of the HTTP interface of targets."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeAlias, TypedDict

# Prompts with the same first 1,024 characters have the same prefix digest.
# That is long enough to cover a system prompt and short enough to be shared
# by many requests.
PREFIX_CHARACTERS: Final = 1024


class StagePayload(TypedDict):
    """Body of `POST /v1/run`."""

    stage: str
    input: dict[str, Any]
    # Outputs of the preceding stages.
    outputs_by_stage: dict[str, Any]


class CompletionPayload(TypedDict):
    """Body of `POST /v1/completions`."""

    stage: str
    model: str
    prompt: str
    max_tokens: int
    stream: bool
    # Index of the first token to generate.
    resume_from: int


class Usage(TypedDict):
    """Cost of a call as reported by the target."""

    target_ms: float
    tokens: int


class StageAnswer(TypedDict):
    """Answer of `POST /v1/run`."""

    request_id: str
    output: dict[str, Any]
    usage: Usage


class LoadBody(TypedDict):
    """Answer of `GET /v1/load`."""

    in_progress: int
    queued: int
    age_s: float


class CacheEvent(TypedDict):
    """A prefix that entered or left the prefix cache of an engine."""

    number: int
    prefix: str
    held: bool


class CacheEventsBody(TypedDict):
    """Answer of `GET /v1/cache_events`."""

    events: list[CacheEvent]
    # Greatest event number so far; it decreases only if the engine restarts.
    last: int


class TokenBatch(NamedTuple):
    """Tokens received together, as server-sent events."""

    # Index of the first token.
    first: int
    tokens: int
    # Complete `event: token` events, to be relayed unchanged.
    events: bytes
    # Software version that the target has stated, None if it has not.
    software_version: str | None = None


BeforeSend: TypeAlias = Callable[[], None]


class TargetCall(NamedTuple):
    """One call to a target, sent at most once."""

    # Unique per attempt; the target must return it with the answer.
    request_id: str
    payload: StagePayload | CompletionPayload
    timeout_s: float
    idempotent: bool = True
    idempotency_key: str = ''
    priority: int = 0
    # Called immediately before the first byte is written. An error that it
    # raises aborts the call, which then provably did not run.
    before_send: BeforeSend | None = None
    # Longest time without a new token in a stream.
    token_timeout_s: float = 2.0


def prefix_digest(prompt: str) -> tuple[str, int]:
    """Return the digest of a prompt's prefix and the prefix length.

    The length is in characters, at most `PREFIX_CHARACTERS`.
    """
    prefix = prompt[:PREFIX_CHARACTERS]
    digest = hashlib.sha256(prefix.encode()).hexdigest()
    return digest[:16], len(prefix)
