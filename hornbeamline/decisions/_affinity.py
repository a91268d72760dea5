"""Prefix affinity of generation calls."""

from __future__ import annotations

import bisect
import zlib
from collections import OrderedDict
from collections.abc import Iterator
from typing import Final

_POINTS_PER_TARGET: Final = 32
_MAX_PREFIXES: Final = 16_384
# Cache events may be lost, so entries that are not refreshed expire.
_HOLDER_TTL_S: Final = 60.0
_RING_CANDIDATES: Final = 3


class PrefixAffinity:
    """Tracks which targets probably hold a prefix in their cache.

    Cache events may be late or lost, so own dispatches are recorded as well.
    A prefix without a known holder is mapped to targets by consistent
    hashing, so that all hosts choose the same target without coordination.
    """

    def __init__(self) -> None:
        """Initialize without targets."""
        self._ring: list[tuple[int, str]] = []
        self._members: frozenset[str] = frozenset()
        # Time of the last record by prefix and target, oldest prefix first.
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def update_targets(self, names: frozenset[str]) -> None:
        """Rebuild the hash ring if the set of targets has changed."""
        if names == self._members:
            return
        self._members = names
        self._ring = sorted(
            (zlib.crc32(f'{name}/{point}'.encode()), name)
            for name in names
            for point in range(_POINTS_PER_TARGET)
        )

    def record_holder(self, prefix: str, target: str, now: float) -> None:
        """Record that a target holds a prefix, or will after a dispatch."""
        holders = self._holders.setdefault(prefix, {})
        holders[target] = now
        self._holders.move_to_end(prefix)
        if len(self._holders) > _MAX_PREFIXES:
            self._holders.popitem(last=False)

    def remove_holder(self, prefix: str, target: str) -> None:
        """Record that a target evicted a prefix."""
        holders = self._holders.get(prefix)
        if holders is not None:
            holders.pop(target, None)

    def holders(self, prefix: str, now: float) -> list[str]:
        """Return the targets with an unexpired entry for a prefix."""
        return [
            target
            for target, noted_at in self._holders.get(prefix, {}).items()
            if now - noted_at < _HOLDER_TTL_S
        ]

    def ring_targets(self, prefix: str) -> Iterator[str]:
        """Iterate over the first distinct targets on the ring for a prefix."""
        if not self._ring:
            return
        start = bisect.bisect(self._ring, (zlib.crc32(prefix.encode()), ''))
        seen: set[str] = set()
        first = start - len(self._ring)
        for step, _ in enumerate(self._ring):
            # Negative indexes count from the end and so wrap the ring around.
            name = self._ring[first + step][1]
            if name not in seen:
                seen.add(name)
                yield name
            if len(seen) == _RING_CANDIDATES:
                return
