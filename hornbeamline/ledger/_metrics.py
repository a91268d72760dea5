"""Ledger metrics, counted on the leader."""

from __future__ import annotations

from typing import Final

from prometheus_client import Counter

from hornbeamline.telemetry import registry

OPERATIONS: Final = Counter(
    'hornbeamline_ledger_operations',
    'Operations applied for callers, by kind and result.',
    ('kind', 'status'),
    registry=registry,
)
PROPOSALS: Final = Counter(
    'hornbeamline_ledger_proposals',
    'Batches of operations proposed to the log.',
    registry=registry,
)
SESSIONS_EXPIRED: Final = Counter(
    'hornbeamline_ledger_sessions_expired',
    'Sessions ended because their owner was silent.',
    registry=registry,
)
