"""Follower role: receives entries and snapshots from the leader."""

from __future__ import annotations

import zlib

from hornbeamline.replog._applier import Applier
from hornbeamline.replog._entries import Snapshot
from hornbeamline.replog._messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
)
from hornbeamline.replog._node import Node
from hornbeamline.replog._records import unpack
from hornbeamline.replog.errors import LogStoppedError
from hornbeamline.telemetry import log_event


class Follower:
    """Handles the messages from a leader."""

    def __init__(self, node: Node, applier: Applier) -> None:
        """Initialize for the node and register the message handlers."""
        self._node = node
        self._applier = applier
        # Index, term and checksum of the snapshot being received.
        self._incoming_key: tuple[int, int, int] | None = None
        self._incoming = bytearray()
        node.peering.on(Append, self._on_append)
        node.peering.on(InstallSnapshot, self._on_install_snapshot)

    async def _on_append(self, sender: str, request: Append) -> AppendReply:
        node = self._node
        node.require_running()
        if request.term == node.term:
            # Noted before waiting for the lock, so that a slow disk on this
            # node does not look like the loss of the leader.
            node.note_leader_contact(sender)
        async with node.lock:
            node.require_running()
            if not await self._accept_leader(sender, request.term):
                return self._refusal(0)
            journal = node.journal
            previous_index = max(request.previous_index, journal.base_index)
            skipped = previous_index - request.previous_index
            if not skipped:
                known_term = journal.term_at(previous_index)
                if known_term != request.previous_term:
                    return self._refusal(journal.hint_before(previous_index))
            journal.merge(request.previous_index, request.entries)
            node.link_voters()
            match = request.previous_index + len(request.entries)
            await journal.durable.wait(match)
            node.commit.advance(min(request.commit_index, match))
            self._note_report(request, match)
            return AppendReply(node.term, True, node.identity, match)

    async def _on_install_snapshot(
        self,
        sender: str,
        request: InstallSnapshot,
    ) -> SnapshotReply:
        node = self._node
        node.require_running()
        async with node.lock:
            node.require_running()
            if not await self._accept_leader(sender, request.term):
                return self._snapshot_reply(0)
            if node.journal.term_at(request.last_index) == request.last_term:
                # The log already contains the entries of the snapshot.
                node.commit.advance(request.last_index)
                return self._snapshot_reply(request.total, is_installed=True)
            if node.commit.position >= request.last_index:
                return self._snapshot_reply(request.total, is_installed=True)
            key = (request.last_index, request.last_term, request.checksum)
            if key != self._incoming_key:
                self._incoming_key = key
                self._incoming.clear()
            if request.offset == len(self._incoming):
                self._incoming += request.chunk
            if len(self._incoming) < request.total:
                return self._snapshot_reply(len(self._incoming))
            return await self._install(request)

    async def _install(self, request: InstallSnapshot) -> SnapshotReply:
        raw = bytes(self._incoming)
        self._incoming_key = None
        self._incoming.clear()
        if zlib.crc32(raw) != request.checksum:
            log_event('replog.snapshot_refused', index=request.last_index)
            return self._snapshot_reply(0)
        try:
            snapshot = await self._node.run_blocking(
                unpack,
                raw,
                Snapshot,
                'received snapshot',
            )
            await self._applier.install(raw, snapshot)
            self._node.link_voters()
        except LogStoppedError as error:
            self._node.fail(error)
            raise
        return self._snapshot_reply(request.total, is_installed=True)

    def _note_report(self, request: Append, match: int) -> None:
        node = self._node
        if request.commit_index > match:
            return
        if node.journal.term_at(request.commit_index) == request.term:
            node.freshness.note_report(
                request.commit_index, node.applied.position
            )

    async def _accept_leader(self, sender: str, term: int) -> bool:
        """Accept the sender as leader, unless its term is outdated."""
        node = self._node
        if term < node.term:
            return False
        if term > node.term:
            await node.enter_term(term)
        node.note_leader_contact(sender)
        return True

    def _refusal(self, hint: int) -> AppendReply:
        return AppendReply(self._node.term, False, self._node.identity, hint)

    def _snapshot_reply(
        self,
        next_offset: int,
        *,
        is_installed: bool = False,
    ) -> SnapshotReply:
        return SnapshotReply(
            self._node.term,
            self._node.identity,
            next_offset,
            is_installed,
        )
