"""Reports of engines and orders to them."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

import msgspec


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of `GET /v1/engine`; unknown keys are ignored."""

    # Versions of the ready models by name.
    models: dict[str, str] = {}
    role: str = ''
    # Names of models, or adapters, that are being loaded.
    loading: list[str] = []
    # Adapters by model; None where an engine does not report them.
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
    # Counted by the engine from the receipt of the order.
    expires_in_ms: int


class OrderKey(NamedTuple):
    """What an order does; two orders of one key are repetitions."""

    target: str
    action: str
    model: str = ''
    adapter: str = ''
    version: str = ''
    role: str = ''


class Order(NamedTuple):
    """An order that the fleet needs now."""

    key: OrderKey
    # Charged to the budget of the weight store.
    size_gb: float = 0
    # Models whose copy at the target may be away for a time or for good.
    interrupts: frozenset[str] = frozenset()
