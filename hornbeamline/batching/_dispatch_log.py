"""Log lines and metrics of stages that leave the queue."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from hornbeamline.batching._metrics import GIVEN_UP, WAIT_SECONDS
from hornbeamline.batching._queue import QueuedPiece, group_by_stage
from hornbeamline.telemetry import log_event

# Reasons for dropping pieces that were not dispatched.
EXPIRED: Final = 'expired'
HOPELESS: Final = 'hopeless'


def record_dispatches(
    service: str,
    target_id: str,
    chosen: Sequence[QueuedPiece],
    now: float,
    call_s: float,
) -> None:
    """Record the queueing time and the remaining slack of each stage."""
    for (request_id, stage), pieces in group_by_stage(chosen).items():
        first = pieces[0]
        waited_s = now - first.queued_at
        WAIT_SECONDS.labels(service).observe(waited_s)
        log_event(
            'batching.turn',
            request=request_id,
            service=service,
            stage=stage,
            target=target_id,
            pieces=len(pieces),
            attempt=first.attempts + 1,
            waited_s=waited_s,
            spare_s=first.due_at - now - call_s,
        )


def record_given_up(
    service: str,
    dropped: Sequence[QueuedPiece],
    reason: str,
    now: float,
) -> None:
    """Record stages that were dropped from the queue."""
    for (request_id, stage), pieces in group_by_stage(dropped).items():
        first = pieces[0]
        GIVEN_UP.labels(service, reason).inc(len(pieces))
        log_event(
            'batching.given_up',
            request=request_id,
            service=service,
            stage=stage,
            pieces=len(pieces),
            reason=reason,
            waited_s=now - first.queued_at,
            spare_s=first.due_at - now,
        )
