"""Prefix affinity of generations, with bounded load."""

from __future__ import annotations

import bisect
import zlib
from collections import OrderedDict
from collections.abc import Iterator
from typing import Final

_POINTS_PER_TARGET: Final = 32
_MOST_PREFIXES: Final = 16_384
# Events get lost, so a holder that is not confirmed is not believed longer.
_BELIEVED_S: Final = 60.0
_RING_STEPS: Final = 3


class PrefixAffinity:
    """Knows which targets probably hold a prefix in their cache.

    Cache events arrive late and with gaps, so own dispatches count as
    evidence too. A prefix without a known holder is placed on a hash ring:
    all hosts then send it to the same target without talking to each other.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self._ring: list[tuple[int, str]] = []
        self._members: frozenset[str] = frozenset()
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def update_targets(self, names: frozenset[str]) -> None:
        """Place the targets on the ring."""
        if names == self._members:
            return
        self._members = names
        self._ring = sorted(
            (zlib.crc32(f'{name}/{point}'.encode()), name)
            for name in names
            for point in range(_POINTS_PER_TARGET)
        )

    def note(self, prefix: str, target: str, now: float) -> None:
        """Record that a target holds a prefix or soon will."""
        holders = self._holders.setdefault(prefix, {})
        holders[target] = now
        self._holders.move_to_end(prefix)
        if len(self._holders) > _MOST_PREFIXES:
            self._holders.popitem(last=False)

    def forget(self, prefix: str, target: str) -> None:
        """Record that a target dropped a prefix."""
        holders = self._holders.get(prefix)
        if holders is not None:
            holders.pop(target, None)

    def holders(self, prefix: str, now: float) -> list[str]:
        """Return the targets believed to hold a prefix."""
        return [
            target
            for target, noted_at in self._holders.get(prefix, {}).items()
            if now - noted_at < _BELIEVED_S
        ]

    def places(self, prefix: str) -> Iterator[str]:
        """Iterate over the first targets on the ring after a prefix."""
        if not self._ring:
            return
        start = bisect.bisect(self._ring, (zlib.crc32(prefix.encode()), ''))
        seen: set[str] = set()
        first = start - len(self._ring)
        for step, _ in enumerate(self._ring):
            # A negative index counts from the end, which closes the ring.
            name = self._ring[first + step][1]
            if name not in seen:
                seen.add(name)
                yield name
            if len(seen) == _RING_STEPS:
                return
