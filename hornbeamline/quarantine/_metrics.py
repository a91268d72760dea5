"""Metrics of the quarantine."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

from hornbeamline.telemetry import registry

QUARANTINED = Gauge(
    'hornbeamline_quarantine_parts',
    'Prompt parts in quarantine, as this host knows.',
    registry=registry,
)
CRASHES = Counter(
    'hornbeamline_quarantine_crashes',
    'Requests of this host whose engine ended before an event, by phase.',
    ('phase',),
    registry=registry,
)
VERDICTS = Counter(
    'hornbeamline_quarantine_verdicts',
    'Prompt parts that this host has put in quarantine.',
    registry=registry,
)
INTERRUPTED = Counter(
    'hornbeamline_quarantine_interrupted',
    'Requests in progress that a verdict has ended.',
    registry=registry,
)
