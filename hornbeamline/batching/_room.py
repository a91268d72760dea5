"""Space for results at targets, as their owner knows it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from hornbeamline.batching.const import (
    ROOM_SHARE_FALL,
    ROOM_SHARE_MAX,
    ROOM_SHARE_MIN,
    ROOM_SHARE_RISE,
    ROOM_SHARE_START,
)


class _Held(NamedTuple):
    size: int
    since: float
    # When the target drops it by itself.
    expires_at: float


class RoomShare:
    """How much of the nominal space calls may fill.

    Real sizes differ from the configured ones: the share rises slowly
    while it keeps work waiting, and falls when a target has no space.
    """

    def __init__(self) -> None:
        """Start a little below the nominal space."""
        self.share = ROOM_SHARE_START

    def note_call(self, *, was_short: bool, had_room: bool) -> None:
        """Learn from a call.

        `was_short` says that the share kept a group out of the call.
        """
        if not had_room:
            self.share = max(self.share - ROOM_SHARE_FALL, ROOM_SHARE_MIN)
        elif was_short:
            self.share = min(self.share + ROOM_SHARE_RISE, ROOM_SHARE_MAX)


class ResultRoom:
    """Results that one target holds.

    Counts a piece from the start of its call until the result is freed or
    expires, as the target does.
    """

    def __init__(self) -> None:
        """Start with an empty target."""
        self._held_by_handle: dict[str, _Held] = {}
        self._reserved = 0
        self._full_until: float = 0

    def is_full(self, now: float) -> bool:
        """Return whether the target has just had no space."""
        return now < self._full_until

    def note_full(self, until: float) -> None:
        """Take the target for full until a time or the next release."""
        self._full_until = until

    def used(self, now: float) -> int:
        """Return the bytes in use."""
        self._held_by_handle = {
            handle: held
            for handle, held in self._held_by_handle.items()
            if held.expires_at > now
        }
        held_bytes = sum(held.size for held in self._held_by_handle.values())
        return held_bytes + self._reserved

    def reserve(self, size: int) -> None:
        """Count the results of a call that begins."""
        self._reserved += size

    def unreserve(self, size: int) -> None:
        """Stop counting a call that has ended."""
        self._reserved -= size

    def hold(
        self,
        handle: str,
        size: int,
        now: float,
        expires_at: float,
    ) -> None:
        """Count a result until it is freed or expires."""
        self._held_by_handle[handle] = _Held(size, now, expires_at)

    def free(self, handles: Iterable[str], now: float) -> list[float]:
        """Stop counting results that the target has freed.

        Returns how long they were held after their call, in seconds.
        """
        held_s: list[float] = []
        for handle in handles:
            held = self._held_by_handle.pop(handle, None)
            if held is not None:
                held_s.append(now - held.since)
                self._full_until = 0
        return held_s
