"""Counters of refusals, retries, hedges and ejections by reason."""

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
    """Counter by service and reason that caches its label children."""

    def __init__(self, counter: Counter) -> None:
        """Initialize with a counter labelled by service and reason."""
        self._counter = counter
        self._children: dict[tuple[str, str], Counter] = {}

    def add(self, service: str, reason: str) -> None:
        """Count one event; `service` is empty for events of a whole request."""
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
