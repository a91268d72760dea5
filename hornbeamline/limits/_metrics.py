"""Metrics of rate-limited targets."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

from hornbeamline.telemetry import registry

LIMITED = Gauge(
    'hornbeamline_targets_limited',
    'Targets that name a limit of requests, as this host believes.',
    registry=registry,
)
PERMITS = Counter(
    'hornbeamline_limits_permits',
    'Permits that this host asked for, by outcome.',
    ('outcome',),
    registry=registry,
)
GRANTS = Counter(
    'hornbeamline_limits_grants',
    'Permits that this host was asked for as the granter, by outcome.',
    ('outcome',),
    registry=registry,
)
