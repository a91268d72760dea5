"""Counters and latencies of the gateway."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

from hornbeamline.telemetry import registry

ANSWERS = Counter(
    'hornbeamline_gateway_answers',
    'Answers to callers by status.',
    ('status',),
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
