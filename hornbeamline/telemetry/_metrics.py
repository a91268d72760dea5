"""Metrics of this process; components register theirs on `registry`."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

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


async def metrics_app(
    scope: Mapping[str, Any],
    _receive: Callable[[], Awaitable[Any]],
    send: Callable[[Any], Awaitable[None]],
) -> None:
    """Serve the metrics page as an ASGI application."""
    if scope['type'] != 'http':
        return
    page = metrics_page()
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [
                (b'content-type', b'text/plain; version=0.0.4'),
                (b'content-length', str(len(page)).encode()),
            ],
        },
    )
    await send({'type': 'http.response.body', 'body': page})
