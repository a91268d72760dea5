"""Inputs and results of the decision engine."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, TypeAlias

from hornbeamline.inventory import Stage


class DecisionSettings(NamedTuple):
    """Name and data centre of the host that runs the engine."""

    host: str
    data_centre: str


class RequestInfo(NamedTuple):
    """The parts of a caller's request that decisions depend on."""

    request_id: str
    account: str
    pipeline: str
    # Absolute, on the monotonic clock, in seconds.
    deadline_at: float
    priority: int = 0


class StageCall(NamedTuple):
    """One attempt at one stage of a request."""

    request: RequestInfo
    stage_index: int
    attempt: int = 1
    is_hedge: bool = False
    # Digest of the prompt prefix, for prefix affinity; empty without one.
    prefix: str = ''
    # Targets that have already been tried for this stage.
    excluded: frozenset[str] = frozenset()
    # This stage and the later ones, from the revision in force when the
    # request began. If empty, the newest revision applies.
    stages: tuple[Stage, ...] = ()
    # Maximum tokens of a generation; 0 means the stage's own maximum.
    max_tokens: int = 0
    # Software version that the target must have; None permits any.
    software_version: str | None = None


class Dispatch(NamedTuple):
    """Permission to send one call to one target."""

    dispatch_id: int
    call: StageCall
    target: str
    # Timeout of this attempt, in seconds from the dispatch.
    timeout_s: float
    # Whether the stage is idempotent.
    is_idempotent: bool = False
    # Software version of the target at the time of the dispatch.
    software_version: str = ''


class Refusal(NamedTuple):
    """Refusal of a request or call, with the value of `Retry-After`."""

    reason: str
    retry_after_s: float


DecisionCallback: TypeAlias = Callable[[Dispatch | Refusal], None]


class CallResult(Enum):
    """How a dispatched call ended."""

    succeeded = 'succeeded'
    # The target's response states that the call did not run.
    refused = 'refused'
    # No connection could be made, so the call did not run.
    unreachable = 'unreachable'
    # Connection reset, partial response or error status: it may have run.
    failed = 'failed'
    timed_out = 'timed_out'
    # The target cannot resume the stream, because its software version is
    # another one. This says nothing about its health.
    other_version = 'other_version'
    # Cancelled by this host, for example the slower call of a hedged pair.
    cancelled = 'cancelled'


class CallReport(NamedTuple):
    """Result and duration of a dispatched call."""

    result: CallResult
    duration_s: float
    tokens: int = 0


class LoadReport(NamedTuple):
    """Load that a target has reported."""

    in_progress: int
    queued: int
    # Age of the report on arrival, in seconds.
    age_s: float
