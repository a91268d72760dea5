"""Log entries and the other values that are stored."""

from __future__ import annotations

from typing import Final, NamedTuple


class Entry(NamedTuple):
    """One log entry; its index follows from its position."""

    term: int
    kind: int
    # State machine that applies the command; both are empty for a no-op.
    machine: str = ''
    command: bytes = b''


class Run(NamedTuple):
    """Consecutive entries that replace the log from `first_index` on."""

    first_index: int
    entries: list[Entry]
    # Set after the installation of a snapshot: all earlier entries are void.
    starts_log: bool = False


class Member(NamedTuple):
    """A voter or learner: its name, identity and peering address."""

    name: str
    identity: str
    is_voter: bool
    address: str = ''


class Members(NamedTuple):
    """Configuration: the voters and learners at one index of the log."""

    members_by_name: dict[str, Member]
    # Member added, changed or removed last; empty in the first configuration.
    changed: str = ''

    @property
    def voters(self) -> list[Member]:
        """Return the voters, sorted by name."""
        return [
            member
            for _, member in sorted(self.members_by_name.items())
            if member.is_voter
        ]

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def is_voter(self, name: str, identity: str) -> bool:
        """Return whether this name votes under this identity."""
        member = self.members_by_name.get(name)
        if member is None or not member.is_voter:
            return False
        return member.identity == identity


class VoteState(NamedTuple):
    """Durable state of a voter: identity, current term and vote."""

    identity: str
    term: int
    # Identity of the candidate voted for in `term`, or empty.
    vote: str = ''


class Snapshot(NamedTuple):
    """State of all state machines after the entry at `last_index`."""

    last_index: int
    last_term: int
    members: Members
    states_by_machine: dict[str, bytes]


NO_MEMBERS: Final = Members({})
