"""Metrics of the gateway."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

from hornbeamline.telemetry import registry

ANSWERS = Counter(
    'hornbeamline_gateway_answers',
    'Answers to callers by status.',
    ('status',),
    registry=registry,
)
REFUSALS = Counter(
    'hornbeamline_gateway_refusals',
    'Answers of the gateway itself by status and reason.',
    ('status', 'reason'),
    registry=registry,
)
ATTEMPTS = Counter(
    'hornbeamline_gateway_attempts',
    'Attempts at targets by outcome.',
    ('outcome',),
    registry=registry,
)
LOST_ATTEMPTS = Counter(
    'hornbeamline_gateway_lost_attempts',
    'Attempts whose connection failed, by how far the answer was: sent (no '
    'head), head (no event), events.',
    ('progress',),
    registry=registry,
)
AIMS = Counter(
    'hornbeamline_gateway_aims',
    'Requests by route and whether the answer began within the aim.',
    ('route', 'outcome'),
    registry=registry,
)
CALLS_WITHHELD = Counter(
    'hornbeamline_gateway_kept_away',
    'Calls not sent: their target began to leave or rest while connecting.',
    registry=registry,
)
CALLERS_LEFT = Counter(
    'hornbeamline_gateway_callers_left',
    'Requests whose callers left before the answer was complete.',
    registry=registry,
)
LATENCY = Histogram(
    'hornbeamline_gateway_seconds',
    'Time from receiving a request to the end of its answer.',
    registry=registry,
    buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 24),
)
IN_PROGRESS = Gauge(
    'hornbeamline_gateway_in_progress',
    'Requests in progress.',
    registry=registry,
)
