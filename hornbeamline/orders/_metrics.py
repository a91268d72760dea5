"""Metrics of orders to model engines."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

from hornbeamline.telemetry import registry

ORDERS = Counter(
    'hornbeamline_orders',
    'Orders by action and result.',
    ('action', 'result'),
    registry=registry,
)
GRANTS = Counter(
    'hornbeamline_order_grants',
    'Order grants that this host took.',
    registry=registry,
)
WEIGHTS_GB = Counter(
    'hornbeamline_orders_weights_gb',
    'Gigabytes charged to the budget of the weight store.',
    registry=registry,
)
HELD = Gauge(
    'hornbeamline_orders_held',
    'Orders held back because they would take the last ready copy.',
    registry=registry,
)
