"""Configurations contained in the log, by index."""

from __future__ import annotations

from hornbeamline.helpers.codec import decode
from hornbeamline.replog._entries import NO_MEMBERS, Entry, Members
from hornbeamline.replog.const import ENTRY_MEMBERS


class Configurations:
    """Tracks configurations; the latest applies, even before its commit."""

    def __init__(self) -> None:
        """Initialize with an empty configuration."""
        self._history: list[tuple[int, Members]] = [(0, NO_MEMBERS)]

    @property
    def latest(self) -> Members:
        """Return the configuration in effect."""
        return self._history[-1][1]

    @property
    def latest_index(self) -> int:
        """Return the index of the configuration in effect."""
        return self._history[-1][0]

    def at(self, index: int) -> Members:
        """Return the configuration that was in effect at an index."""
        found = NO_MEMBERS
        for position, members in self._history:
            if position <= index:
                found = members
        return found

    def track(self, index: int, entry: Entry) -> None:
        """Record the configuration of an entry, if it contains one."""
        if entry.kind == ENTRY_MEMBERS:
            self._history.append((index, decode(entry.command, Members)))

    def truncate(self, index: int) -> None:
        """Drop the configurations at and after an index."""
        self._history = [item for item in self._history if item[0] < index]

    def drop_before(self, index: int) -> None:
        """Drop the configurations older than the one in effect at an index."""
        older = [item for item in self._history if item[0] <= index]
        newer = [item for item in self._history if item[0] > index]
        self._history = [*older[-1:], *newer]

    def reset(self, index: int, members: Members) -> None:
        """Replace all configurations by that of a snapshot."""
        self._history = [(index, members)]
