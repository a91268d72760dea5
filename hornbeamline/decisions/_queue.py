"""Bounded queue of calls ordered by fair share, priority and deadline."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterator
from typing import Final, NamedTuple, TypeAlias

from hornbeamline.decisions._types import DecisionCallback, StageCall

# Range of start tags, in calls per average share, that is treated as equal:
# within it only priority and deadline determine the order.
_GROUP_WIDTH: Final = 1
_PRUNE_ACCOUNTS: Final = 4096


class QueuedCall(NamedTuple):
    """A queued call that awaits its decision."""

    call: StageCall
    on_decision: DecisionCallback
    # Monotonic time after which the deadline can no longer be met.
    latest_start_at: float
    start_tag: float


_Entry: TypeAlias = tuple[int, int, float, int, QueuedCall]


class FairTags:
    """Start tags for start-time fair queueing between client accounts.

    An account's tag advances by 1 / weight per call and is raised to the
    virtual time after the account was idle. Only an account that sends more
    than its share gets tags ahead of the others and so waits longer.
    """

    def __init__(self) -> None:
        """Initialize with virtual time 0."""
        self._virtual_time: float = 0
        self._next_by_account: dict[str, float] = {}

    def next_tag(self, account: str, weight: float) -> float:
        """Return the start tag of an account's next call and advance it."""
        tag = max(self._virtual_time, self._next_by_account.get(account, 0))
        self._next_by_account[account] = tag + 1 / weight
        if len(self._next_by_account) > _PRUNE_ACCOUNTS:
            self._prune()
        return tag

    def advance(self, tag: float) -> None:
        """Advance the virtual time to the tag of a dispatched call."""
        self._virtual_time = max(self._virtual_time, tag)

    def _prune(self) -> None:
        self._next_by_account = {
            account: tag
            for account, tag in self._next_by_account.items()
            if tag > self._virtual_time
        }


class FairQueue:
    """Calls sorted by fair-share group, priority and deadline.

    Fair share takes precedence over priority, so that an account cannot take
    the share of others by sending all its requests with a high priority.
    """

    def __init__(self, length: int) -> None:
        """Initialize with the maximum number of queued calls."""
        self.max_length = length
        self._entries: list[_Entry] = []
        self._serial = 0

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return len(self._entries)

    def __iter__(self) -> Iterator[QueuedCall]:
        """Iterate over a copy in dispatch order."""
        return iter([entry[-1] for entry in self._entries])

    def push(self, waiting: QueuedCall, priority: int) -> QueuedCall | None:
        """Add a call; return the one dropped from the end if over the limit."""
        self._serial += 1
        entry = (
            math.floor(waiting.start_tag / _GROUP_WIDTH),
            -priority,
            waiting.call.request.deadline_at,
            self._serial,
            waiting,
        )
        bisect.insort(self._entries, entry)
        if len(self._entries) > self.max_length:
            return self._entries.pop()[-1]
        return None

    def peek(self, index: int) -> QueuedCall:
        """Return the call at a position."""
        return self._entries[index][-1]

    def pop(self, index: int) -> QueuedCall:
        """Remove and return the call at a position."""
        return self._entries.pop(index)[-1]

    def remove(self, waiting: QueuedCall) -> bool:
        """Remove a queued call; return whether it was still queued."""
        for index, entry in enumerate(self._entries):
            if entry[-1] is waiting:
                self._entries.pop(index)
                return True
        return False

    def find(self, call: StageCall) -> QueuedCall | None:
        """Return the queue entry of a call, or None."""
        for entry in self._entries:
            # The identity check avoids most of the slow field comparisons.
            if entry[-1].call is call or entry[-1].call == call:
                return entry[-1]
        return None
