"""Engine reports and orders to engines."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

import msgspec


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """Response of `GET /v1/engine`; unknown keys are ignored."""

    # Versions of the ready models, by model name.
    models: dict[str, str] = {}
    role: str = ''
    # Names of models, or adapters, that are being loaded.
    loading: list[str] = []
    # Adapters by model; None when the engine does not report them.
    adapters: dict[str, list[str]] | None = None


class OrderBody(TypedDict):
    """Body of `POST /v1/orders`."""

    fencing: int
    order_id: str
    action: str
    model: str
    adapter: str
    version: str
    role: str
    # Counted from the receipt of the order at the engine.
    expires_in_ms: int


class OrderKey(NamedTuple):
    """Effect of an order; orders with equal keys are repetitions."""

    target: str
    action: str
    model: str = ''
    adapter: str = ''
    version: str = ''
    role: str = ''


class Order(NamedTuple):
    """Order that is needed to reach the wanted state."""

    key: OrderKey
    # Charged to the weight store budget.
    size_gb: float = 0
    # Models whose copy at the target may become unavailable, temporarily or
    # permanently.
    interrupts: frozenset[str] = frozenset()
