"""Metrics of this process; components define theirs on `registry`."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    GCCollector,
    PlatformCollector,
    ProcessCollector,
    generate_latest,
)

registry = CollectorRegistry()
ProcessCollector(registry=registry)
PlatformCollector(registry=registry)
GCCollector(registry=registry)


def metrics_page() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(registry)
