"""Metrics of the budget of clients."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

from hornbeamline.telemetry import registry

REFUSED = Counter(
    'hornbeamline_clients_refused',
    'Requests that were refused while they arrived, by status and reason.',
    ('status', 'reason'),
    registry=registry,
)
CLOSED = Counter(
    'hornbeamline_clients_closed',
    'Connections of clients that were closed without a response, by reason.',
    ('reason',),
    registry=registry,
)
CONNECTIONS = Gauge(
    'hornbeamline_clients_connections',
    'Open connections of clients.',
    registry=registry,
)
HELD_BYTES = Gauge(
    'hornbeamline_clients_held_bytes',
    'Bytes reserved for requests of clients and for unread responses.',
    registry=registry,
)
