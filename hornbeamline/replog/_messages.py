"""Messages between the nodes of the replicated log."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.peering import message
from hornbeamline.replog._entries import Entry


@message('replog.hello')
class Hello(NamedTuple):
    """Requests the identity of a node that may not be a member yet."""

    # Names of the initial voters in the sender's settings.
    names: list[str]


@message('replog.hello_reply')
class HelloReply(NamedTuple):
    """Identity of a node and whether it may bootstrap a fleet."""

    identity: str
    is_empty: bool
    names: list[str]


@message('replog.pre_vote')
class PreVote(NamedTuple):
    """Asks whether the receiver would grant its vote in `term`."""

    term: int
    to_identity: str
    last_index: int
    last_term: int


@message('replog.vote')
class Vote(NamedTuple):
    """Requests the vote of the receiver in `term`."""

    term: int
    to_identity: str
    last_index: int
    last_term: int
    candidate: str
    # The leader requested this election to hand over its leadership.
    is_transfer: bool


@message('replog.vote_reply')
class VoteReply(NamedTuple):
    """Reply to `PreVote` and `Vote`."""

    term: int
    granted: bool


@message('replog.append')
class Append(NamedTuple):
    """Entries that follow `previous_index`; empty in a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: list[Entry]


@message('replog.append_reply')
class AppendReply(NamedTuple):
    """Reply to `Append`, sent once the entries are synced."""

    term: int
    accepted: bool
    identity: str
    # If accepted, the last index that matches the log of the leader;
    # otherwise the last index where both logs may match.
    hint: int


@message('replog.install_snapshot')
class InstallSnapshot(NamedTuple):
    """Chunk of a snapshot for a member that is behind the retained log."""

    term: int
    last_index: int
    last_term: int
    offset: int
    total: int
    checksum: int
    chunk: bytes


@message('replog.snapshot_reply')
class SnapshotReply(NamedTuple):
    """Reply to `InstallSnapshot`: the offset to send next, or completion."""

    term: int
    identity: str
    next_offset: int
    is_installed: bool


@message('replog.timeout_now')
class TimeoutNow(NamedTuple):
    """Asks a voter to start an election without waiting for its timeout."""

    term: int


@message('replog.accepted')
class Accepted(NamedTuple):
    """Acknowledges a message that needs no other reply."""
