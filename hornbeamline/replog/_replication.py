"""Replication of the log from the leader to one member."""

from __future__ import annotations

import asyncio
import contextlib
import zlib
from typing import TYPE_CHECKING, Final

from hornbeamline.exceptions import PeeringError
from hornbeamline.peering import CallTimeoutError
from hornbeamline.replog._entries import Snapshot
from hornbeamline.replog._messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
)
from hornbeamline.replog._metrics import SNAPSHOTS_SENT
from hornbeamline.replog._node import Node
from hornbeamline.replog._progress import Progress
from hornbeamline.replog._records import unpack
from hornbeamline.replog.const import (
    SNAPSHOT_CHUNK_BYTES,
    SNAPSHOT_CHUNK_TIMEOUT_S,
)
from hornbeamline.replog.errors import LogStoppedError
from hornbeamline.telemetry import log_event

if TYPE_CHECKING:
    from hornbeamline.replog._leadership import Leadership

# Consecutive replies without progress after which the transfer of a snapshot
# is restarted.
_MAX_STALLED_CHUNKS: Final = 3


class Replication:
    """Sends entries, heartbeats and snapshots to one member.

    At most one message is in flight. Entries that are appended meanwhile
    are sent together in the next one.
    """

    def __init__(
        self,
        node: Node,
        leadership: Leadership,
        progress: Progress,
    ) -> None:
        """Initialize for a member, given by its progress."""
        self._node = node
        self._leadership = leadership
        self._progress = progress
        self._heartbeat_s = node.settings.storage.heartbeat_interval_s

    async def run(self) -> None:
        """Replicate until the leadership or the membership ends."""
        while self._leadership.replicates_to(self._progress):
            self._progress.wake.clear()
            try:
                await self._exchange()
            except CallTimeoutError:
                continue
            except PeeringError as error:
                await self._pause_after(error)
                continue
            except LogStoppedError as error:
                self._node.fail(error)
                return
            if not self._has_more():
                await self._wait_for_work()

    async def _pause_after(self, error: PeeringError) -> None:
        log_event(
            'replog.peer_failed',
            peer=self._progress.name,
            error=str(error),
        )
        await asyncio.sleep(self._heartbeat_s)

    async def _wait_for_work(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._heartbeat_s):
                await self._progress.wake.wait()

    async def _exchange(self) -> None:
        progress = self._progress
        journal = self._node.journal
        previous_index = progress.next_index - 1
        previous_term = journal.term_at(previous_index)
        if previous_term is None:
            await self._send_snapshot()
            return
        entries = journal.batch_from(progress.next_index)
        sent_at = self._node.clock.monotonic()
        sent_round = self._leadership.latest_round
        reply = await self._node.peering.call(
            progress.name,
            Append(
                self._leadership.term,
                previous_index,
                previous_term,
                self._node.commit.position,
                entries,
            ),
            AppendReply,
            # Short, so that a lost message is followed by another one before
            # the follower's election timer expires.
            2 * self._heartbeat_s,
        )
        if not self._note_contact(reply, sent_at):
            return
        progress.answered_round = max(progress.answered_round, sent_round)
        self._leadership.advance_round()
        if reply.accepted:
            self._note_match(previous_index + len(entries))
        else:
            progress.next_index = max(
                1,
                min(progress.next_index - 1, reply.hint + 1),
            )

    async def _send_snapshot(self) -> None:
        raw = await self._node.run_blocking(self._node.store.read_snapshot)
        if raw is None:
            raise LogStoppedError('the snapshot file is missing')
        snapshot = await self._node.run_blocking(
            unpack,
            raw,
            Snapshot,
            'snapshot',
        )
        checksum = zlib.crc32(raw)
        SNAPSHOTS_SENT.inc()
        offset = 0
        stalled = 0
        while stalled < _MAX_STALLED_CHUNKS:
            request = InstallSnapshot(
                self._leadership.term,
                snapshot.last_index,
                snapshot.last_term,
                offset,
                len(raw),
                checksum,
                raw[offset : offset + SNAPSHOT_CHUNK_BYTES],
            )
            reply = await self._send_chunk(request)
            if reply is None:
                return
            if reply.is_installed:
                self._note_match(snapshot.last_index)
                return
            stalled = 0 if reply.next_offset > offset else stalled + 1
            offset = reply.next_offset

    async def _send_chunk(
        self,
        request: InstallSnapshot,
    ) -> SnapshotReply | None:
        sent_at = self._node.clock.monotonic()
        reply = await self._node.peering.call(
            self._progress.name,
            request,
            SnapshotReply,
            SNAPSHOT_CHUNK_TIMEOUT_S,
        )
        if self._note_contact(reply, sent_at):
            return reply
        return None

    def _note_contact(
        self,
        reply: AppendReply | SnapshotReply,
        sent_at: float,
    ) -> bool:
        """Return whether the reply belongs to this leadership."""
        if not self._leadership.replicates_to(self._progress):
            return False
        if reply.term > self._leadership.term:
            # A task of its own, since stepping down cancels this one.
            self._node.tasks.spawn(
                self._node.observe_term(reply.term),
                'replog higher term',
            )
            return False
        self._progress.note_identity(reply.identity)
        self._progress.last_contact_at = max(
            self._progress.last_contact_at, sent_at
        )
        return True

    def _note_match(self, index: int) -> None:
        progress = self._progress
        progress.match_index = max(progress.match_index, index)
        progress.next_index = progress.match_index + 1
        self._leadership.advance_commit()

    def _has_more(self) -> bool:
        progress = self._progress
        behind = progress.next_index <= self._node.journal.last_index
        return behind or progress.answered_round < self._leadership.latest_round
