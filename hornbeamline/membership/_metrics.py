"""Metrics of target availability."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

from hornbeamline.telemetry import registry

POLLS = Counter(
    'hornbeamline_membership_polls',
    'Polls of the list of targets, by result.',
    ('result',),
    registry=registry,
)
LEAVING = Gauge(
    'hornbeamline_targets_leaving',
    'Targets that reported in a response that they are leaving.',
    registry=registry,
)
RESTING = Gauge(
    'hornbeamline_targets_resting',
    'Targets in a pause that they have requested.',
    registry=registry,
)
UNAVAILABLE = Gauge(
    'hornbeamline_membership_unavailable',
    'Targets that get no new work.',
    registry=registry,
)
