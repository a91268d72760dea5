"""Counters of refusals, retries and hedges by reason."""

from __future__ import annotations

from typing import Final

from prometheus_client import Counter

from hornbeamline.telemetry import registry

_LABELS: Final = ('service', 'reason')

REFUSALS: Final = Counter(
    'hornbeamline_refusals',
    'Requests and calls refused before a target ran them.',
    _LABELS,
    registry=registry,
)
RETRIES: Final = Counter(
    'hornbeamline_retries',
    'Retries granted, by the result of the attempt before.',
    _LABELS,
    registry=registry,
)
HEDGES: Final = Counter(
    'hornbeamline_hedges',
    'Hedges asked for, by the answer.',
    _LABELS,
    registry=registry,
)
EJECTIONS: Final = Counter(
    'hornbeamline_ejections',
    'Targets taken out of routing, by the evidence.',
    _LABELS,
    registry=registry,
)


class ReasonCounter:
    """Counts by service and reason without a label lookup per event."""

    def __init__(self, counter: Counter) -> None:
        """Take a counter with the labels service and reason."""
        self._counter = counter
        self._children: dict[tuple[str, str], Counter] = {}

    def add(self, service: str, reason: str) -> None:
        """Count one event; an empty service means the whole request."""
        key = (service, reason)
        child = self._children.get(key)
        if child is None:
            child = self._counter.labels(service, reason)
            self._children[key] = child
        child.inc()


refusals: Final = ReasonCounter(REFUSALS)
retries: Final = ReasonCounter(RETRIES)
hedges: Final = ReasonCounter(HEDGES)
ejections: Final = ReasonCounter(EJECTIONS)
