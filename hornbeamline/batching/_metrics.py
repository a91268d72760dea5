"""Metrics of batched stage calls."""

from __future__ import annotations

from prometheus_client import Counter, Histogram

from hornbeamline.telemetry import registry

CALLS = Counter(
    'hornbeamline_batching_calls',
    'Calls with pieces by outcome.',
    ('outcome',),
    registry=registry,
)
PIECES = Counter(
    'hornbeamline_batching_pieces',
    'Pieces by outcome; those computed again count each time.',
    ('outcome',),
    registry=registry,
)
CALL_SECONDS = Histogram(
    'hornbeamline_batching_call_seconds',
    'Time of calls with pieces.',
    registry=registry,
    buckets=(0.1, 0.2, 0.3, 0.4, 0.5, 0.7, 1, 1.5, 2, 4),
)
WAIT_SECONDS = Histogram(
    'hornbeamline_batching_wait_seconds',
    'Time that the pieces of a stage wait for their turn, by service.',
    ('service',),
    registry=registry,
    buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12),
)
GIVEN_UP = Counter(
    'hornbeamline_batching_given_up',
    'Pieces that left a queue without a turn, by service and reason.',
    ('service', 'reason'),
    registry=registry,
)
