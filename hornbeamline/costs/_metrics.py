"""Metrics of the choice by expected cost."""

from __future__ import annotations

from prometheus_client import Counter, Histogram

from hornbeamline.telemetry import registry

CHOICES = Counter(
    'hornbeamline_costs_choices',
    'Targets chosen by expected cost, by kind of service: plain or engine.',
    ('kind',),
    registry=registry,
)
ACTUAL_TO_EXPECTED = Histogram(
    'hornbeamline_costs_actual_to_expected',
    'Duration of responses relative to the expected one.',
    registry=registry,
    buckets=(0.1, 0.2, 0.5, 0.8, 1.25, 2, 5, 10),
)
