"""Metrics of the configuration on the leader and on lease holders."""

from __future__ import annotations

from typing import Final

from prometheus_client import Counter, Gauge

from hornbeamline.telemetry import registry

CHANGES: Final = Counter(
    'hornbeamline_configuration_changes',
    'Responses to changes, by status.',
    ('status',),
    registry=registry,
)
RENEWALS: Final = Counter(
    'hornbeamline_configuration_renewals',
    'Renewals of this host, by result.',
    ('result',),
    registry=registry,
)
REVISION: Final = Gauge(
    'hornbeamline_configuration_revision',
    'Revision in force on this host.',
    registry=registry,
)
