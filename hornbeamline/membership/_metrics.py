"""Metrics of the platform's list of targets."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

from hornbeamline.telemetry import registry

POLLS = Counter(
    'hornbeamline_membership_polls',
    'Polls of the list of targets, by result.',
    ('result',),
    registry=registry,
)
UNAVAILABLE = Gauge(
    'hornbeamline_membership_unavailable',
    'Targets that get no new work.',
    registry=registry,
)
