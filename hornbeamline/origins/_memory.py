"""Streams that this host has begun."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from hornbeamline.origins.const import BEGUN_RETENTION_S, MAX_BEGUN_STREAMS


class BegunStream(NamedTuple):
    """Version of a stream, as far as this host knows it for certain."""

    # None while a record is being stored or if its result is unknown.
    version: str | None
    # Number of the last record that was sent; 0 if none was.
    order: int
    at: float


class BegunStreams:
    """Bounded memory of the streams begun last, by digest."""

    def __init__(self) -> None:
        """Start without streams."""
        self._by_digest: OrderedDict[bytes, BegunStream] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._by_digest)

    def find(self, digest: bytes) -> BegunStream | None:
        """Return a stream, if it is remembered."""
        return self._by_digest.get(digest)

    def note(
        self,
        digest: bytes,
        version: str | None,
        order: int,
        now: float,
    ) -> None:
        """Remember a stream, unless a later record of it was sent."""
        existing = self._by_digest.get(digest)
        if existing is not None and existing.order > order:
            return
        self._by_digest[digest] = BegunStream(version, order, now)
        self._by_digest.move_to_end(digest)
        self._evict(now)

    def _evict(self, now: float) -> None:
        while self._by_digest:
            oldest = next(iter(self._by_digest.values()))
            is_old = now - oldest.at > BEGUN_RETENTION_S
            if len(self._by_digest) <= MAX_BEGUN_STREAMS and not is_old:
                return
            self._by_digest.popitem(last=False)
