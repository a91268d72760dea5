"""Bodies of the target interface."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeAlias, TypedDict

# Prompts that share this many first characters share a prefix digest: long
# enough for a system prompt, short enough to be common to many requests.
PREFIX_CHARACTERS: Final = 1024


class StagePayload(TypedDict):
    """Body of `POST /v1/run`."""

    stage: str
    input: dict[str, Any]
    # Outputs of the stages before this one.
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
    """What a call cost at the target."""

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
    """One change of an engine's prefix cache."""

    number: int
    prefix: str
    held: bool


class CacheEventsBody(TypedDict):
    """Answer of `GET /v1/cache_events`."""

    events: list[CacheEvent]
    # Greatest number so far; a lower one than before shows a restart.
    last: int


class TokenBatch(NamedTuple):
    """Tokens that arrived together, as server-sent events."""

    # Index of the first token.
    first: int
    tokens: int
    # Whole events `event: token`, ready to be relayed.
    events: bytes


BeforeSend: TypeAlias = Callable[[], None]


class TargetCall(NamedTuple):
    """One attempt as the target client sends it."""

    # Unique per attempt; the answer must repeat it.
    request_id: str
    payload: StagePayload | CompletionPayload
    timeout_s: float
    idempotent: bool = True
    idempotency_key: str = ''
    priority: int = 0
    # Called immediately before the first byte is written; an error that it
    # raises aborts the call and proves that it did not run.
    before_send: BeforeSend | None = None
    # Bound of the silence inside a token stream in seconds.
    silence_s: float = 2.0


def prefix_digest(prompt: str) -> tuple[str, int]:
    """Return the digest of a prompt's first part and its characters."""
    prefix = prompt[:PREFIX_CHARACTERS]
    digest = hashlib.sha256(prefix.encode()).hexdigest()
    return digest[:16], len(prefix)
