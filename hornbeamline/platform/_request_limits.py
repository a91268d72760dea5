"""Decodes the limits of requests that a document states."""

from __future__ import annotations

from typing import Final

import msgspec

from hornbeamline.clients import RequestLimits

_MS_PER_S: Final = 1000
# Bounds within which the limits of a document apply.
_MIN_BYTES: Final = 1_024
_MAX_HEADER_BYTES: Final = 1_048_576
_MAX_BODY_BYTES: Final = 67_108_864
_MIN_S: Final = 0.1
_MAX_S: Final = 3_600


class LimitsTable(msgspec.Struct, frozen=True, kw_only=True, rename='kebab'):
    """Table `limits` of a document; all figures may be arbitrary numbers."""

    max_header_bytes: float = 16_384
    max_body_bytes: float = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


def read_limits(table: LimitsTable) -> RequestLimits:
    """Return the limits of requests, each within usable bounds.

    A document is not refused for them: earlier versions ignored the table.
    """
    return RequestLimits(
        int(_clamp(table.max_header_bytes, _MIN_BYTES, _MAX_HEADER_BYTES)),
        int(_clamp(table.max_body_bytes, _MIN_BYTES, _MAX_BODY_BYTES)),
        _clamp(table.header_timeout_ms / _MS_PER_S, _MIN_S, _MAX_S),
        _clamp(table.idle_timeout_ms / _MS_PER_S, _MIN_S, _MAX_S),
    )


def _clamp(figure: float, lowest: float, highest: float) -> float:
    return min(max(figure, lowest), highest)
