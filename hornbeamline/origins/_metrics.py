"""Metrics of the origins of streams."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

from hornbeamline.telemetry import registry

BEGUN = Counter(
    'hornbeamline_origins_begun',
    'Streams begun at this host, by how their version is remembered.',
    ('outcome',),
    registry=registry,
)
FOUND = Counter(
    'hornbeamline_origins_found',
    'Versions looked up at this host, by their source.',
    ('source',),
    registry=registry,
)
RECORDS = Gauge(
    'hornbeamline_origins_records',
    'Records of streams in the replicated state, at the leader.',
    registry=registry,
)
