"""Mapping that evicts the entries used least recently."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

_Key = TypeVar('_Key', bound=Hashable)
_Entry = TypeVar('_Entry')


class RecentEntries(Generic[_Key, _Entry]):
    """At most `max_entries` entries by key."""

    def __init__(self, max_entries: int) -> None:
        """Create an empty mapping."""
        self._max_entries = max_entries
        self._entry_by_key: OrderedDict[_Key, _Entry] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entry_by_key)

    def peek(self, key: _Key) -> _Entry | None:
        """Return an entry without counting this as a use."""
        return self._entry_by_key.get(key)

    def use(self, key: _Key) -> _Entry | None:
        """Return an entry and make it the most recent one."""
        entry = self._entry_by_key.get(key)
        if entry is not None:
            self._entry_by_key.move_to_end(key)
        return entry

    def store(self, key: _Key, entry: _Entry) -> None:
        """Store an entry; evicts the oldest one if there are too many."""
        self._entry_by_key[key] = entry
        self._entry_by_key.move_to_end(key)
        if len(self._entry_by_key) > self._max_entries:
            self._entry_by_key.popitem(last=False)

    def by_key(self) -> dict[_Key, _Entry]:
        """Return a copy of all entries."""
        return dict(self._entry_by_key)
