"""Settings of a stand-in target."""

from __future__ import annotations

from msgspec import Struct


class StandinSettings(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
):
    """Behaviour of one stand-in target."""

    name: str
    address: str
    service: str
    service_ms: float = 20
    service_jitter_ms: float = 5
    concurrency: int = 8
    seed: int = 0
