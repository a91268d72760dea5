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
    'Targets that said in an answer that they leave.',
    registry=registry,
)
RESTING = Gauge(
    'hornbeamline_targets_resting',
    'Targets that asked for a pause which has not ended.',
    registry=registry,
)
UNAVAILABLE = Gauge(
    'hornbeamline_membership_unavailable',
    'Targets that get no new work.',
    registry=registry,
)
