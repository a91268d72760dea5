"""Log lines and metrics about the turns of queued stages."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from hornbeamline.batching._metrics import GIVEN_UP, WAIT_SECONDS
from hornbeamline.batching._queue import QueuedPiece, by_stage
from hornbeamline.telemetry import log_event

# Reasons why pieces leave a queue without a turn.
EXPIRED: Final = 'expired'
HOPELESS: Final = 'hopeless'


def note_turns(
    service: str,
    target_id: str,
    chosen: Sequence[QueuedPiece],
    now: float,
    call_s: float,
) -> None:
    """Note how long stages waited and how much time their calls leave."""
    for (request_id, stage), pieces in by_stage(chosen).items():
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


def note_given_up(
    service: str,
    dropped: Sequence[QueuedPiece],
    reason: str,
    now: float,
) -> None:
    """Note stages that leave the queue without a turn."""
    for (request_id, stage), pieces in by_stage(dropped).items():
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
