"""Values that go into and come out of decisions."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, TypeAlias

from hornbeamline.inventory import Stage


class DecisionSettings(NamedTuple):
    """Where the deciding host stands."""

    host: str
    data_centre: str


class RequestInfo(NamedTuple):
    """A caller's request as decisions see it."""

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
    # Digest of the prompt prefix, for prefix affinity; empty when none.
    prefix: str = ''
    # Targets that this stage already tried.
    excluded: frozenset[str] = frozenset()
    # This stage and those after it in the revision that the request began
    # with; those of the newest revision when empty.
    stages: tuple[Stage, ...] = ()
    # Tokens that a generation may produce; 0 means the stage's own bound.
    max_tokens: int = 0


class Dispatch(NamedTuple):
    """Permission to send one call to one target."""

    dispatch_id: int
    call: StageCall
    target: str
    # Bound of this attempt in seconds from now.
    timeout_s: float
    # Whether the stage is idempotent.
    may_repeat: bool = False


class Refusal(NamedTuple):
    """A request or call that is refused at once."""

    reason: str
    retry_after_s: float


Decided: TypeAlias = Callable[[Dispatch | Refusal], None]


class CallResult(Enum):
    """How a dispatched call ended."""

    succeeded = 'succeeded'
    # The target's protocol says that the call did not run.
    refused = 'refused'
    # Connection refused: the call did not run.
    unreachable = 'unreachable'
    # Reset, partial answer or error status: it may have run.
    failed = 'failed'
    timed_out = 'timed_out'
    # Given up by the host, for example the loser of a hedge.
    cancelled = 'cancelled'


class CallReport(NamedTuple):
    """Measured end of a dispatched call."""

    result: CallResult
    duration_s: float
    tokens: int = 0


class LoadReport(NamedTuple):
    """Load that a target published."""

    in_progress: int
    queued: int
    # Age of the figures when they arrived, in seconds.
    age_s: float
