"""Metrics of the links between processes."""

from __future__ import annotations

from prometheus_client import Counter

from hornbeamline.telemetry import registry

FRAMES = Counter(
    'hornbeamline_peering_frames',
    'Frames sent to and received from other processes.',
    ('direction',),
    registry=registry,
)
MESSAGES = Counter(
    'hornbeamline_peering_messages',
    'Messages inside the frames sent and received.',
    ('direction',),
    registry=registry,
)
DROPPED = Counter(
    'hornbeamline_peering_dropped',
    'Frames and messages that were dropped, by reason.',
    ('reason',),
    registry=registry,
)
REDIALS = Counter(
    'hornbeamline_peering_redials',
    'Sockets replaced because of silence or a new address.',
    registry=registry,
)
FRAMES_SENT = FRAMES.labels('sent')
FRAMES_RECEIVED = FRAMES.labels('received')
MESSAGES_SENT = MESSAGES.labels('sent')
MESSAGES_RECEIVED = MESSAGES.labels('received')


def count_dropped(reason: str, amount: int = 1) -> None:
    """Count dropped frames or messages."""
    DROPPED.labels(reason).inc(amount)
