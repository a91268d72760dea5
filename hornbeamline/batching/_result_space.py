"""Accounting of result space at targets, kept by the service owner."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from hornbeamline.batching.const import (
    FOREIGN_RESULTS_S,
    FULL_TARGET_PAUSE_S,
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

    def __init__(self, result_ttl_s: float) -> None:
        """Start empty; the target evicts results after `result_ttl_s`."""
        self._result_ttl_s = result_ttl_s
        # Since when calls of this owner have come without a long break.
        self._known_since = -math.inf
        self._reserved_at = -math.inf
        self._held_by_handle: dict[str, _Held] = {}
        self._reserved = 0
        self._full_until: float = 0
        # Space taken by results of another owner, and when it was seen.
        self._foreign_bytes: float = 0
        self._foreign_at: float = 0

    def is_full(self, now: float) -> bool:
        """Return whether the target has recently refused a result."""
        return now < self._full_until

    def note_full(self, until: float) -> None:
        """Treat the target as full until this time or the next release."""
        self._full_until = until

    def note_no_space(self, usable_bytes: float, now: float) -> None:
        """Record that the target had no space for a result at a call's end.

        `usable_bytes` is the space that calls may fill. Soon after a change
        of owner, results of the previous owner take the space that this one
        believes free; the target then gets smaller calls instead of none.
        """
        if now - self._known_since >= self._result_ttl_s:
            self.note_full(now + FULL_TARGET_PAUSE_S)
            return
        self._foreign_bytes = 0
        held_bytes = self.used(now) - self._reserved
        self._foreign_bytes = max(usable_bytes - held_bytes, 0)
        self._foreign_at = now

    def used(self, now: float) -> float:
        """Return the held and reserved bytes, and those of other owners."""
        self._held_by_handle = {
            handle: held
            for handle, held in self._held_by_handle.items()
            if held.expires_at > now
        }
        held_bytes = sum(held.size for held in self._held_by_handle.values())
        foreign_left = 1 - (now - self._foreign_at) / FOREIGN_RESULTS_S
        return (
            held_bytes
            + self._reserved
            + self._foreign_bytes * max(foreign_left, 0)
        )

    def reserve(self, size: int, now: float) -> None:
        """Reserve space for the results of a starting call."""
        if now - self._reserved_at > self._result_ttl_s:
            self._known_since = now
        self._reserved_at = now
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
