"""Configurations that stand in the log, by index."""

from __future__ import annotations

from hornbeamline.helpers.codec import decode
from hornbeamline.replog._entries import NO_MEMBERS, Entry, Members
from hornbeamline.replog.const import ENTRY_MEMBERS


class Configurations:
    """Follows the log; the last configuration counts, committed or not."""

    def __init__(self) -> None:
        """Begin without any member."""
        self._known: list[tuple[int, Members]] = [(0, NO_MEMBERS)]

    @property
    def latest(self) -> Members:
        """Return the configuration that counts."""
        return self._known[-1][1]

    @property
    def latest_index(self) -> int:
        """Return the index of the configuration that counts."""
        return self._known[-1][0]

    def at(self, index: int) -> Members:
        """Return the configuration at an index."""
        found = NO_MEMBERS
        for position, members in self._known:
            if position <= index:
                found = members
        return found

    def track(self, index: int, entry: Entry) -> None:
        """Note the configuration of an entry, if it holds one."""
        if entry.kind == ENTRY_MEMBERS:
            self._known.append((index, decode(entry.command, Members)))

    def truncate(self, index: int) -> None:
        """Forget configurations from an index on."""
        self._known = [known for known in self._known if known[0] < index]

    def drop_before(self, index: int) -> None:
        """Forget all configurations before the one at an index."""
        older = [known for known in self._known if known[0] <= index]
        newer = [known for known in self._known if known[0] > index]
        self._known = [*older[-1:], *newer]

    def reset(self, index: int, members: Members) -> None:
        """Take the configuration of a snapshot."""
        self._known = [(index, members)]
