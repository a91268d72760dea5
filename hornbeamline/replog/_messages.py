"""Messages between the voters of the replicated log."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.peering import message
from hornbeamline.replog._entries import Entry


@message('replog.hello')
class Hello(NamedTuple):
    """Asks a voter who it is, before there is a log."""

    # Names of the initial voters by the sender's settings.
    names: list[str]


@message('replog.hello_reply')
class HelloReply(NamedTuple):
    """Identity of a voter and whether it may found a fleet."""

    identity: str
    is_empty: bool
    names: list[str]


@message('replog.pre_vote')
class PreVote(NamedTuple):
    """Asks whether a candidacy in `term` would get the vote."""

    term: int
    to_identity: str
    last_index: int
    last_term: int


@message('replog.vote')
class Vote(NamedTuple):
    """Asks for the vote in `term`."""

    term: int
    to_identity: str
    last_index: int
    last_term: int
    candidate: str
    # The leader asked for this candidacy and gives up its leadership.
    is_transfer: bool


@message('replog.vote_reply')
class VoteReply(NamedTuple):
    """Answer to `PreVote` and `Vote`."""

    term: int
    granted: bool


@message('replog.append')
class Append(NamedTuple):
    """Entries after `previous_index`; none in a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: list[Entry]


@message('replog.append_reply')
class AppendReply(NamedTuple):
    """Outcome of an append, sent after the entries are synced."""

    term: int
    accepted: bool
    identity: str
    # On refusal: the last index at which both logs may agree.
    hint: int


@message('replog.install_snapshot')
class InstallSnapshot(NamedTuple):
    """Part of a snapshot for a voter behind the retained log."""

    term: int
    last_index: int
    last_term: int
    offset: int
    total: int
    checksum: int
    chunk: bytes


@message('replog.snapshot_reply')
class SnapshotReply(NamedTuple):
    """Offset that is expected next, or that the snapshot is in use."""

    term: int
    identity: str
    next_offset: int
    is_installed: bool


@message('replog.timeout_now')
class TimeoutNow(NamedTuple):
    """Asks a voter to become a candidate without waiting."""

    term: int


@message('replog.accepted')
class Accepted(NamedTuple):
    """Confirms a message that needs no other answer."""
