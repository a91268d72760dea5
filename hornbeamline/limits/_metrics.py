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
COLD = Gauge(
    'hornbeamline_targets_cold',
    'Targets that this host believes cold.',
    registry=registry,
)
COLD_CHANGES = Counter(
    'hornbeamline_targets_cold_changes',
    'Changes of the belief that a target is cold, by new state and source.',
    ('state', 'source'),
    registry=registry,
)
