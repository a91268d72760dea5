"""Bounded queue of calls by fair share, priority and deadline."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterator
from typing import Final, NamedTuple, TypeAlias

from hornbeamline.decisions._types import Decided, StageCall

# Calls of accounts within this lead (in calls per average share) of each
# other are ordered by priority and deadline alone.
_LEAD: Final = 1
_PRUNE_ACCOUNTS: Final = 4096


class Waiting(NamedTuple):
    """A call without a decision yet."""

    call: StageCall
    decided: Decided
    # Monotonic time after which the deadline can't be met any more.
    latest_start_at: float
    start_tag: float


_Entry: TypeAlias = tuple[int, int, float, int, Waiting]


class FairTags:
    """Start tags of start-time fair queueing between client accounts.

    An account's tag moves on by 1 / weight per call and is lifted to the
    tag in service when the account was idle, so only an account that sends
    more than its share gets ahead of the others and waits.
    """

    def __init__(self) -> None:
        """Start at tag 0."""
        self._in_service: float = 0
        self._next_by_account: dict[str, float] = {}

    def take(self, account: str, weight: float) -> float:
        """Return the tag of an account's next call and move it on."""
        tag = max(self._in_service, self._next_by_account.get(account, 0))
        self._next_by_account[account] = tag + 1 / weight
        if len(self._next_by_account) > _PRUNE_ACCOUNTS:
            self._prune()
        return tag

    def serve(self, tag: float) -> None:
        """Move on to the tag of a dispatched call."""
        self._in_service = max(self._in_service, tag)

    def _prune(self) -> None:
        self._next_by_account = {
            account: tag
            for account, tag in self._next_by_account.items()
            if tag > self._in_service
        }


class FairQueue:
    """Calls sorted by fair-share group, priority and deadline.

    The share goes before the priority, so that an account cannot take the
    others' share by giving all its requests a high priority.
    """

    def __init__(self, length: int) -> None:
        """Take the greatest number of waiting calls."""
        self.length = length
        self._entries: list[_Entry] = []
        self._serial = 0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._entries)

    def __iter__(self) -> Iterator[Waiting]:
        """Iterate over a copy in the order of service."""
        return iter([entry[-1] for entry in self._entries])

    def push(self, waiting: Waiting, priority: int) -> Waiting | None:
        """Add a call; return the last in order when the queue is full."""
        self._serial += 1
        entry = (
            math.floor(waiting.start_tag / _LEAD),
            -priority,
            waiting.call.request.deadline_at,
            self._serial,
            waiting,
        )
        bisect.insort(self._entries, entry)
        if len(self._entries) > self.length:
            return self._entries.pop()[-1]
        return None

    def peek(self, index: int) -> Waiting:
        """Return the call at a place in the order."""
        return self._entries[index][-1]

    def pop(self, index: int) -> Waiting:
        """Take out the call at a place in the order."""
        return self._entries.pop(index)[-1]

    def remove(self, waiting: Waiting) -> bool:
        """Take a waiting call out; False if it is not there any more."""
        for index, entry in enumerate(self._entries):
            if entry[-1] is waiting:
                self._entries.pop(index)
                return True
        return False

    def find(self, call: StageCall) -> Waiting | None:
        """Return the entry of a call, if it waits."""
        for entry in self._entries:
            # Identity first: comparing whole calls is slow.
            if entry[-1].call is call or entry[-1].call == call:
                return entry[-1]
        return None
