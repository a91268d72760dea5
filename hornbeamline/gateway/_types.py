"""Routes, targets and requests as the gateway sees them."""

from __future__ import annotations

import enum
import math
from typing import NamedTuple


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class Stage(NamedTuple):
    """Work at a batching service that precedes the request itself."""

    service: str
    # Stages whose results are inputs of this one.
    after: tuple[int, ...]
    result_bytes: int


class Route(NamedTuple):
    """Requests of one host name and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    # Longest time until the answer is complete.
    timeout_s: float
    # Time until the answer, or the first event of a stream, is still good.
    aim_s: float
    # 0 is the most urgent.
    rank: int
    # Services with their share of the requests.
    weight_by_service: dict[str, float]
    max_attempts: int
    stages: tuple[Stage, ...]
    needs_account: bool
    can_resume: bool
    # Longest pause between two events of a stream that is still good.
    max_pause_s: float
    # Callers leave when the first event of a stream takes longer.
    first_event_patience_s: float

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.can_resume
        return self.kind is RouteKind.IDEMPOTENT


class BatchLimits(NamedTuple):
    """What one target of a batching service takes."""

    calls_running: int
    calls_waiting: int
    pieces_per_call: int
    # Time of a call, and what each piece adds to it.
    call_s: float
    piece_s: float
    results_mb: float
    result_ttl_s: float


class EngineLimits(NamedTuple):
    """What one model engine holds."""

    slots: int
    cache_tokens: int


class Service(NamedTuple):
    """Targets with the same function."""

    name: str
    health_path: str
    # Connections that one target accepts from all callers together.
    max_connections: int
    batch: BatchLimits | None
    engine: EngineLimits | None


class Account(NamedTuple):
    """A client account."""

    name: str
    # Overrides the rank of the route when it is set.
    rank: int | None


class Target(NamedTuple):
    """A server of a service, from the platform's list."""

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool


class PromptPart(NamedTuple):
    """A part of a prompt that requests may share."""

    id: str
    tokens: int


class CallerRequest(NamedTuple):
    """A request as it was received."""

    id: str
    method: str
    host: str
    # Path and query, byte for byte.
    raw_target: str
    path: str
    # Headers to pass on; those of one connection and those that the
    # system sets itself are left out.
    headers: tuple[tuple[str, str], ...]
    credential: str | None
    received_at: float
    # Time that the caller waits, from `received_at` on.
    patience_s: float | None
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    # Pieces of each stage; 0 omits the stage.
    pieces_by_stage: tuple[int, ...]
    piece_key: str
    # Id of the last event that the caller holds, when it resumes a stream.
    last_event_id: int | None

    def pieces_of(self, stage: int) -> int:
        """Return the number of pieces of a stage."""
        if stage < len(self.pieces_by_stage):
            return self.pieces_by_stage[stage]
        return 0


class TargetLoad(NamedTuple):
    """Load that a target reports with an answer."""

    running: int
    waiting: int
    slots: int


class AnswerHead(NamedTuple):
    """What the headers of a target's answer say."""

    status: int
    # Headers to pass on to the caller.
    headers: tuple[tuple[str, str], ...]
    request_id: str
    is_signed: bool
    # The target says that it did not run the request.
    not_run: bool
    # The answer comes from another target than the expected one.
    wrong_target: bool
    is_encoded: bool
    load: TargetLoad | None
    closes: bool
    # The target leaves: it wants no further request.
    is_leaving: bool = False
    # The target turned the request away and wants nothing for this long.
    rest_s: float | None = None
    # Requests a second that the target takes from all hosts together:
    # infinite when it names no limit, None when the limit is unreadable.
    limit_per_s: float | None = math.inf


class Refusal(NamedTuple):
    """Why a request ends without a target's answer."""

    status: int
    # One of the constants `REASON_*`.
    reason: str
    detail: str = ''
    # When to come back, in seconds; only where the request has not run.
    retry_after_s: float | None = None
