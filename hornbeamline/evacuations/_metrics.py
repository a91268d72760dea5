"""Metrics of evacuations."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

from hornbeamline.telemetry import registry

IN_FORCE = Gauge(
    'hornbeamline_evacuations_in_force',
    'Data centres that are evacuated, as this entry host believes.',
    registry=registry,
)
BELIEF_CHANGES = Counter(
    'hornbeamline_evacuations_belief_changes',
    'Changes of the evacuated data centres that this entry host learned.',
    registry=registry,
)
ORDERS = Counter(
    'hornbeamline_evacuations_orders',
    'Orders that reached this control host, by outcome.',
    ('outcome',),
    registry=registry,
)
