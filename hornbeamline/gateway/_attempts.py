"""State and log of the attempts to forward one request."""

from __future__ import annotations

from typing import Final, NamedTuple

from hornbeamline.costs import AttemptWork
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._metrics import ATTEMPTS, LOST_ATTEMPTS
from hornbeamline.gateway._picker import remote_bytes
from hornbeamline.gateway._types import AnswerHead, CallerRequest, Target
from hornbeamline.limits import Permit
from hornbeamline.quarantine import AnswerTiming, Phase
from hornbeamline.telemetry import log_event

OUTCOME_ANSWERED: Final = 'answered'
OUTCOME_CANCELLED: Final = 'cancelled'
OUTCOME_FAILED: Final = 'failed'
OUTCOME_LOST: Final = 'lost'
OUTCOME_NOT_RUN: Final = 'not_run'

# Time after the first event of an answer within which the end of its target
# counts against the request: one that crashes targets does so soon.
EARLY_EVENTS_S: Final = 1.0
# Prompt parts come from callers, so that log lines bound their number and size.
_MAX_LOGGED_PARTS: Final = 16
_MAX_LOGGED_ID: Final = 32


class BufferedAnswer(NamedTuple):
    """A response whose body has been read."""

    head: AnswerHead
    body: bytes


class PermittedTarget(NamedTuple):
    """Target of the next attempt, with the permit to call it."""

    target: Target
    permit: Permit


class Attempts:
    """State of the attempts to forward one request."""

    def __init__(self) -> None:
        """Create the state of a request that has not been sent."""
        # Ids of the targets of all attempts.
        self.tried: list[str] = []
        # The retry budget has been charged for the next attempt.
        self.is_budgeted = False
        # The rate limits of the targets denied a permit.
        self.was_permit_denied = False
        # Number of attempts that may have run at a target, and of attempts
        # that provably did not.
        self.may_have_run_count = 0
        self.not_run_count = 0
        # The last complete response with a server error, unless its status
        # falsely says that the request did not run.
        self.answer: BufferedAnswer | None = None
        # Streams: id of the last event that was sent to the caller.
        self.last_event_id: int | None = None
        # Streams: media type of the answer that began the reply.
        self.media_type = ''
        # Streams: the answer goes on with an earlier one, and no event with an
        # id has shown yet that it does.
        self.is_unproven_continuation = False
        # The stage results are gone, so no target can run the request.
        self.inputs_lost = False
        # Seconds from receiving the request to sending the last attempt; None
        # if it was not sent.
        self.sent_s: float | None = None
        # Status of the response to the last attempt; None if there was none.
        self.status: int | None = None
        # Seconds from the start of the last attempt to the head of its
        # response and to its first event; None if there was none.
        self.head_s: float | None = None
        self.first_event_s: float | None = None
        # When the first event arrived, by the clock of the forwarder.
        self.begun_at: float | None = None
        # Expected work of the last attempt; None if targets of the service are
        # not chosen by cost.
        self.work: AttemptWork | None = None
        # Cause of the last failure, which is reported if no target answers.
        self.reason = 'no target available'

    def start(self, target: Target) -> None:
        """Begin an attempt at a target."""
        self.tried.append(target.id)
        self.is_budgeted = False
        self.sent_s = None
        self.status = None
        self.head_s = None
        self.first_event_s = None
        self.begun_at = None
        self.work = None

    def phase_at(self, now: float) -> Phase | None:
        """Return how far an answer got that was lost at the time `now`.

        None if it had begun too long before to be the cause of the loss.
        """
        if self.begun_at is not None:
            is_early = now - self.begun_at <= EARLY_EVENTS_S
            return Phase.BEGUN if is_early else None
        return Phase.SENT if self.head_s is None else Phase.HEAD

    def timing_at(self, service: str) -> AnswerTiming:
        """Return how long the answer of a target took to begin."""
        to_head_s = self.head_s or 0
        return AnswerTiming(
            service, to_head_s, (self.first_event_s or 0) - to_head_s
        )

    @property
    def progress(self) -> str:
        """Return how far the last attempt got."""
        if self.first_event_s is not None:
            return 'events'
        return 'sent' if self.head_s is None else 'head'


def log_attempt(
    job: Job,
    target: Target,
    attempts: Attempts,
    outcome: str,
    error: Exception | None,
    *,
    now: float,
    list_age_s: float,
) -> None:
    """Log and count an attempt; `now` is on the clock of `received_at`."""
    ATTEMPTS.labels(outcome).inc()
    if outcome == OUTCOME_LOST:
        LOST_ATTEMPTS.labels(attempts.progress).inc()
    log_event(
        'request.attempt',
        request=job.request.id,
        target=target.id,
        data_centre=target.data_centre,
        remote_bytes=remote_bytes(
            job.input_bytes_by_data_centre,
            target.data_centre,
        ),
        outcome=outcome,
        progress=attempts.progress,
        attempt=len(attempts.tried),
        status=attempts.status,
        since_received_s=now - job.request.received_at,
        sent_s=attempts.sent_s,
        head_s=attempts.head_s,
        first_event_s=attempts.first_event_s,
        left_s=job.deadline_at - now,
        list_age_s=list_age_s,
        prompt=_shared_parts(job.request),
        error='' if error is None else str(error),
        **({} if attempts.work is None else attempts.work.expectation()),
    )


def _shared_parts(request: CallerRequest) -> str:
    parts = request.shared_parts[:_MAX_LOGGED_PARTS]
    return ','.join(part.id[:_MAX_LOGGED_ID] for part in parts)
