"""Data types of the gateway: routes, targets and requests."""

from __future__ import annotations

import enum
import math
from typing import NamedTuple

from hornbeamline.limits import WarmupLimits


class RouteKind(enum.Enum):
    """Retry semantics of the requests of a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class Stage(NamedTuple):
    """Step at a batching service that precedes the request itself."""

    service: str
    # Indexes of the stages whose results are inputs of this one.
    after: tuple[int, ...]
    result_bytes: int


class Route(NamedTuple):
    """Routing rules for one host name and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    # Time limit for the complete response.
    timeout_s: float
    # Latency objective for the response head or the first event of a stream.
    aim_s: float
    # Priority; 0 is the most urgent.
    rank: int
    # Relative share of the requests of each service.
    weight_by_service: dict[str, float]
    max_attempts: int
    stages: tuple[Stage, ...]
    needs_account: bool
    can_resume: bool
    # Objective for the longest pause between two events of a stream.
    max_pause_s: float
    # Time after which callers without a first event disconnect.
    first_event_timeout_s: float

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.can_resume
        return self.kind is RouteKind.IDEMPOTENT


class BatchLimits(NamedTuple):
    """Capacity and timing of one target of a batching service."""

    calls_running: int
    calls_waiting: int
    pieces_per_call: int
    # Fixed duration of a call, and the duration that each piece adds.
    call_s: float
    piece_s: float
    results_mb: float
    result_ttl_s: float


class EngineLimits(NamedTuple):
    """Capacity of one model engine."""

    slots: int
    cache_tokens: int


class Service(NamedTuple):
    """Group of interchangeable targets."""

    name: str
    health_path: str
    # Limit of one target for the connections of all callers together.
    max_connections: int
    batch: BatchLimits | None
    engine: EngineLimits | None
    # None if targets are never cold.
    warmup: WarmupLimits | None = None


class Account(NamedTuple):
    """A client account."""

    name: str
    # Takes precedence over the rank of the route if set.
    rank: int | None


class Target(NamedTuple):
    """A server of a service, as listed by the platform."""

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    # Version of the software; empty if the list does not tell it.
    version: str = ''
    # The list says that the target is cold. A flag, not the time, so that
    # the digest of the list changes with it only.
    is_cold: bool = False


class PromptPart(NamedTuple):
    """A part of a prompt that several requests may share."""

    id: str
    tokens: int


class CallerRequest(NamedTuple):
    """A request as received from a caller."""

    id: str
    method: str
    host: str
    # Path and query, byte for byte.
    raw_target: str
    path: str
    # Headers to forward, without hop-by-hop headers and without those that
    # the system sets itself.
    headers: tuple[tuple[str, str], ...]
    credential: str | None
    received_at: float
    # Time that the caller waits, counted from `received_at`.
    caller_timeout_s: float | None
    # All parts but the last may be shared with other requests.
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    # Number of pieces of each stage; 0 skips the stage.
    pieces_by_stage: tuple[int, ...]
    # Identifies the data of the caller, for stages without inputs.
    piece_key: str
    # Id of the last event that the caller has, if it resumes a stream.
    last_event_id: int | None
    # Id of the caller's attempt that brought the first event of that stream.
    resumes: str | None = None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have as well."""
        return self.prompt[:-1]

    def pieces_of(self, stage_index: int) -> int:
        """Return the number of pieces of a stage."""
        if stage_index < len(self.pieces_by_stage):
            return self.pieces_by_stage[stage_index]
        return 0


class TargetLoad(NamedTuple):
    """Load that a target reports in its response headers."""

    running: int
    waiting: int
    slots: int
    # Duration of work now relative to the usual one (1.0); None if the target
    # does not report it.
    slowness: float | None = None


class AnswerHead(NamedTuple):
    """Status and parsed headers of a target's response."""

    status: int
    # Headers to forward to the caller.
    headers: tuple[tuple[str, str], ...]
    request_id: str
    # The response has the header by which targets identify their responses.
    is_signed: bool
    # The target declares that it did not run the request.
    not_run: bool
    # The response comes from another target than the expected one.
    wrong_target: bool
    is_encoded: bool
    load: TargetLoad | None
    # The target closes the connection after the response.
    closes: bool
    # The target is draining and accepts no further requests.
    is_leaving: bool = False
    # The target refused the request and asks for a pause of this length.
    pause_s: float | None = None
    # Rate limit of the target for all hosts together, in requests per second:
    # infinite if it sends none, None if the limit cannot be parsed.
    limit_per_s: float | None = math.inf
    # How long the target stays cold; None if it does not tell or the time
    # cannot be parsed.
    warmup_left_s: float | None = None


class Refusal(NamedTuple):
    """Error response of the gateway to a request."""

    status: int
    # One of the constants `REASON_*`.
    reason: str
    detail: str = ''
    # Delay in seconds before a retry; only set if the request has not run.
    retry_after_s: float | None = None
