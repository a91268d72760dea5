"""Metrics of the replicated log."""

from __future__ import annotations

from typing import Final

from prometheus_client import Counter, Histogram

from hornbeamline.telemetry import registry

ELECTIONS_WON: Final = Counter(
    'hornbeamline_replog_elections_won',
    'Elections that this voter won.',
    registry=registry,
)
LEADERSHIPS_LOST: Final = Counter(
    'hornbeamline_replog_leaderships_lost',
    'Leaderships that this voter lost or gave up.',
    registry=registry,
)
PROPOSALS_REFUSED: Final = Counter(
    'hornbeamline_replog_proposals_refused',
    'Proposals refused because too many were pending.',
    registry=registry,
)
SNAPSHOTS_SENT: Final = Counter(
    'hornbeamline_replog_snapshots_sent',
    'Snapshots sent to voters behind the retained log.',
    registry=registry,
)
SYNC_SECONDS: Final = Histogram(
    'hornbeamline_replog_sync_seconds',
    'Time to write and sync one record of the log.',
    buckets=(0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1),
    registry=registry,
)
