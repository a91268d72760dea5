"""Accounting of result space at targets, kept by the service owner."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from hornbeamline.batching.const import (
    SPACE_SHARE_FALL,
    SPACE_SHARE_MAX,
    SPACE_SHARE_MIN,
    SPACE_SHARE_RISE,
    SPACE_SHARE_START,
)


class _Held(NamedTuple):
    size: int
    since: float
    # When the target evicts the result by itself.
    expires_at: float


class SpaceShare:
    """Adapt the share of the nominal space that calls may fill.

    Actual result sizes differ from the configured ones. The share rises
    slowly while it limits calls, and falls when a target runs out of space.
    """

    def __init__(self) -> None:
        """Start slightly below the nominal space."""
        self.share = SPACE_SHARE_START

    def note_call(self, *, is_limited_by_space: bool, had_space: bool) -> None:
        """Adjust the share after a call.

        `is_limited_by_space` says that the share kept a group out of the
        call, `had_space` that the target had space for all results.
        """
        if not had_space:
            self.share = max(self.share - SPACE_SHARE_FALL, SPACE_SHARE_MIN)
        elif is_limited_by_space:
            self.share = min(self.share + SPACE_SHARE_RISE, SPACE_SHARE_MAX)


class ResultSpace:
    """Track the result space used at one target.

    Mirrors the accounting of the target: a piece counts from the start of
    its call until its result is freed or expires.
    """

    def __init__(self) -> None:
        """Start without any results."""
        self._held_by_handle: dict[str, _Held] = {}
        self._reserved = 0
        self._full_until: float = 0

    def is_full(self, now: float) -> bool:
        """Return whether the target has recently refused a result."""
        return now < self._full_until

    def note_full(self, until: float) -> None:
        """Treat the target as full until this time or the next release."""
        self._full_until = until

    def used(self, now: float) -> int:
        """Return the held and reserved bytes."""
        self._held_by_handle = {
            handle: held
            for handle, held in self._held_by_handle.items()
            if held.expires_at > now
        }
        held_bytes = sum(held.size for held in self._held_by_handle.values())
        return held_bytes + self._reserved

    def reserve(self, size: int) -> None:
        """Reserve space for the results of a starting call."""
        self._reserved += size

    def unreserve(self, size: int) -> None:
        """Release the reservation of a call that has ended."""
        self._reserved -= size

    def hold(
        self,
        handle: str,
        size: int,
        now: float,
        expires_at: float,
    ) -> None:
        """Account for a result until it is freed or expires."""
        self._held_by_handle[handle] = _Held(size, now, expires_at)

    def free(self, handles: Iterable[str], now: float) -> list[float]:
        """Remove results that the target has freed.

        Returns the seconds that each was held after its call.
        """
        held_s: list[float] = []
        for handle in handles:
            held = self._held_by_handle.pop(handle, None)
            if held is not None:
                held_s.append(now - held.since)
                self._full_until = 0
        return held_s
