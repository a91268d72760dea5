"""Replication progress of the members and the resulting quorums."""

from __future__ import annotations

import asyncio

from hornbeamline.replog._entries import Member
from hornbeamline.replog._node import Node
from hornbeamline.replog.const import CAUGHT_UP_MAX_LAG_ENTRIES


class Progress:
    """Replication progress of one other member, kept by the leader."""

    def __init__(self, name: str, next_index: int, now_s: float) -> None:
        """Initialize with the first index to send and the present time."""
        self.name = name
        self.next_index = next_index
        self.match_index = 0
        # Identity of the data folder that the other fields refer to.
        self.identity = ''
        # Send time of the latest message that was answered.
        self.last_contact_at = now_s
        # Latest confirmation round that the member has answered.
        self.answered_round = 0
        self.wake = asyncio.Event()

    def note_identity(self, identity: str) -> None:
        """Record the identity; reset the progress if it has changed."""
        if identity != self.identity:
            self.identity = identity
            self.match_index = 0
            self.answered_round = 0


class ProgressTable:
    """Progress of all other members.

    This node itself is included in the quorums.
    """

    def __init__(self, node: Node) -> None:
        """Initialize for the leader."""
        self._node = node
        self.progress_by_name: dict[str, Progress] = {}

    def wake_all(self) -> None:
        """Make all replication tasks send without further delay."""
        for progress in self.progress_by_name.values():
            progress.wake.set()

    def agreed_index(self) -> int:
        """Return the highest index that is durable on a quorum."""
        own = self._node.journal.durable.position
        return self._agreed(
            [
                own if self._is_self(member) else self._match_index(member)
                for member in self._node.journal.members.voters
            ],
        )

    def agreed_round(self, own_round: int) -> int:
        """Return the latest round that a quorum has answered."""
        return self._agreed(
            [
                own_round
                if self._is_self(member)
                else self._answered_round(member)
                for member in self._node.journal.members.voters
            ],
        )

    def has_quorum_contact(self) -> bool:
        """Return whether a quorum responded within the election timeout."""
        members = self._node.journal.members
        responsive = sum(
            self._is_self(member) or self._is_responsive(member)
            for member in members.voters
        )
        return responsive >= members.quorum

    def is_caught_up(self, member: Member) -> bool:
        """Return whether a member responds as this identity and lags little."""
        if self._is_self(member):
            return True
        lag = self._node.journal.last_index - self._match_index(member)
        return self._is_responsive(member) and lag <= CAUGHT_UP_MAX_LAG_ENTRIES

    def _agreed(self, positions: list[int]) -> int:
        if not positions:
            return 0
        descending = sorted(positions, reverse=True)
        return descending[self._node.journal.members.quorum - 1]

    def _match_index(self, member: Member) -> int:
        progress = self._progress_of(member)
        return 0 if progress is None else progress.match_index

    def _answered_round(self, member: Member) -> int:
        progress = self._progress_of(member)
        return 0 if progress is None else progress.answered_round

    def _is_responsive(self, member: Member) -> bool:
        progress = self.progress_by_name.get(member.name)
        # Before the first reply in this term the identity is unknown, and
        # the time of the last contact is the start of the replication.
        if progress is None or progress.identity not in {'', member.identity}:
            return False
        silence_s = self._node.clock.monotonic() - progress.last_contact_at
        return silence_s < self._node.settings.storage.election_timeout_max_s

    def _progress_of(self, member: Member) -> Progress | None:
        progress = self.progress_by_name.get(member.name)
        if progress is None or progress.identity != member.identity:
            return None
        return progress

    def _is_self(self, member: Member) -> bool:
        node = self._node
        return (member.name, member.identity) == (node.name, node.identity)
