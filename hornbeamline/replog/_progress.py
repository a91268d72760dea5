"""What a leader knows about the other members, and quorums of it."""

from __future__ import annotations

import asyncio

from hornbeamline.replog._entries import Member
from hornbeamline.replog._node import Node
from hornbeamline.replog.const import CAUGHT_UP_ENTRIES


class Progress:
    """What the leader knows about one other member."""

    def __init__(self, name: str, next_index: int, now_s: float) -> None:
        """Take the name, the first index to try and the present time."""
        self.name = name
        self.next_index = next_index
        self.match_index = 0
        # Identity of the data folder that the other fields speak of.
        self.identity = ''
        # When the last answered message was sent.
        self.contact_at = now_s
        # Newest quorum round that the member has answered.
        self.answered_round = 0
        self.wake = asyncio.Event()

    def note_identity(self, identity: str) -> None:
        """Forget the progress of an earlier data folder."""
        if identity != self.identity:
            self.identity = identity
            self.match_index = 0
            self.answered_round = 0


class ProgressTable:
    """Progress of all other members; this node counts as well."""

    def __init__(self, node: Node) -> None:
        """Take the leading node."""
        self._node = node
        self.progress_by_name: dict[str, Progress] = {}

    def wake_all(self) -> None:
        """Make every replication task send without waiting."""
        for progress in self.progress_by_name.values():
            progress.wake.set()

    def agreed_index(self) -> int:
        """Return the highest index that a quorum holds durably."""
        own = self._node.journal.durable.position
        return self._agreed(
            [
                own if self._is_self(member) else self._match(member)
                for member in self._node.journal.members.voters
            ],
        )

    def agreed_round(self, own_round: int) -> int:
        """Return the newest round that a quorum answered."""
        return self._agreed(
            [
                own_round if self._is_self(member) else self._round(member)
                for member in self._node.journal.members.voters
            ],
        )

    def quorum_heard(self) -> bool:
        """Return whether a quorum answered within an election timeout."""
        members = self._node.journal.members
        heard = sum(
            self._is_self(member) or self._is_heard(member)
            for member in members.voters
        )
        return heard >= members.quorum

    def is_caught_up(self, member: Member) -> bool:
        """Return whether a member follows closely and under this identity."""
        if self._is_self(member):
            return True
        lag = self._node.journal.last_index - self._match(member)
        return self._is_heard(member) and lag <= CAUGHT_UP_ENTRIES

    def _agreed(self, positions: list[int]) -> int:
        if not positions:
            return 0
        descending = sorted(positions, reverse=True)
        return descending[self._node.journal.members.quorum - 1]

    def _match(self, member: Member) -> int:
        progress = self._progress_of(member)
        return 0 if progress is None else progress.match_index

    def _round(self, member: Member) -> int:
        progress = self._progress_of(member)
        return 0 if progress is None else progress.answered_round

    def _is_heard(self, member: Member) -> bool:
        progress = self.progress_by_name.get(member.name)
        # Without an answer in this term the identity is not known yet; the
        # time of contact is then the start of the leadership.
        if progress is None or progress.identity not in {'', member.identity}:
            return False
        silence_s = self._node.clock.monotonic() - progress.contact_at
        return silence_s < self._node.settings.storage.election_timeout_max_s

    def _progress_of(self, member: Member) -> Progress | None:
        progress = self.progress_by_name.get(member.name)
        if progress is None or progress.identity != member.identity:
            return None
        return progress

    def _is_self(self, member: Member) -> bool:
        node = self._node
        return (member.name, member.identity) == (node.name, node.identity)
