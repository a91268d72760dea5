"""Log entry and metrics for finished requests."""

from __future__ import annotations

from typing import Final

from hornbeamline.gateway._metrics import AIMS, ANSWERS, LATENCY
from hornbeamline.gateway._reply import Reply
from hornbeamline.gateway._types import CallerRequest
from hornbeamline.telemetry import log_event

_HTTP_OK: Final = 200


def record_request_end(
    request: CallerRequest | None,
    reply: Reply,
    outcome: str,
    now: float,
    document: int,
) -> None:
    """Log and count the outcome of a request.

    `now` is read from the same clock as `request.received_at`; `document` is
    the number of the configuration document.
    """
    if request is None:
        return
    took_s = now - request.received_at
    begun_s = _time_to_head_s(request, reply)
    ANSWERS.labels(str(reply.status)).inc()
    AIMS.labels(reply.route_name, _aim_outcome(reply, begun_s)).inc()
    LATENCY.observe(took_s)
    log_event(
        'request.end',
        request=request.id,
        route=reply.route_name,
        status=reply.status,
        outcome=outcome,
        took_s=took_s,
        begun_s=begun_s,
        aim_s=reply.aim_s,
        longest_pause_s=reply.longest_pause_s,
        document=document,
    )


def _time_to_head_s(request: CallerRequest, reply: Reply) -> float | None:
    """Return the seconds until the response head was sent."""
    if reply.begun_at is None:
        return None
    return reply.begun_at - request.received_at


def _aim_outcome(reply: Reply, begun_s: float | None) -> str:
    if reply.aim_s is None or begun_s is None or reply.status != _HTTP_OK:
        return 'none'
    return 'in_time' if begun_s <= reply.aim_s else 'late'
