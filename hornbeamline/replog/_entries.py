"""Entries of the log and the values that are stored with them."""

from __future__ import annotations

from typing import Final, NamedTuple


class Entry(NamedTuple):
    """One entry; its index follows from its position."""

    term: int
    kind: int
    # Machine and command are empty for a no-op.
    machine: str = ''
    command: bytes = b''


class Run(NamedTuple):
    """Consecutive entries that replace the log from `first_index` on."""

    first_index: int
    entries: list[Entry]
    # An installed snapshot made all earlier entries void.
    starts_log: bool = False


class Member(NamedTuple):
    """A voter or learner: its name, identity and peering address."""

    name: str
    identity: str
    is_voter: bool
    address: str = ''


class Members(NamedTuple):
    """Configuration of the log at one index."""

    members_by_name: dict[str, Member]
    # Member that the last change concerned; empty in the first one.
    changed: str = ''

    @property
    def voters(self) -> list[Member]:
        """Return the voters in the order of their names."""
        return [
            member
            for _, member in sorted(self.members_by_name.items())
            if member.is_voter
        ]

    @property
    def quorum(self) -> int:
        """Return the number of voters that a decision needs."""
        return len(self.voters) // 2 + 1

    def is_voter(self, name: str, identity: str) -> bool:
        """Return whether this name votes under this identity."""
        member = self.members_by_name.get(name)
        if member is None or not member.is_voter:
            return False
        return member.identity == identity


class VoteState(NamedTuple):
    """What a voter must not forget between two messages."""

    identity: str
    term: int
    # Identity of the candidate that got the vote of `term`, or empty.
    vote: str = ''


class Snapshot(NamedTuple):
    """State of all machines after the entry at `last_index`."""

    last_index: int
    last_term: int
    members: Members
    states_by_machine: dict[str, bytes]


NO_MEMBERS: Final = Members({})
