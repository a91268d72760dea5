"""Leader role in one term: proposals, commits and read barriers."""

from __future__ import annotations

import asyncio

from hornbeamline.replog._entries import Entry, Member, Members
from hornbeamline.replog._node import Node
from hornbeamline.replog._progress import Progress, ProgressTable
from hornbeamline.replog._replication import Replication
from hornbeamline.replog._watermark import Watermark
from hornbeamline.replog.const import ENTRY_NOOP
from hornbeamline.replog.errors import NotLeaderError, ProposalUnknownError


class Leadership:
    """State of this node while it is the leader of one term."""

    def __init__(self, node: Node) -> None:
        """Initialize for a node that has just won the election of its term."""
        self._node = node
        self.term = node.term
        self.is_closed = False
        self.is_announced = False
        self.noop_index = 0
        self.table = ProgressTable(node)
        # Number of the latest confirmation round. The reply to a message
        # confirms all rounds that began before the message was sent.
        self.latest_round = 0
        self._applied = Watermark(node.applied.position)
        self._confirmed = Watermark()
        self._proposals_by_index: dict[int, asyncio.Future[bytes]] = {}
        self._sizes_by_index: dict[int, int] = {}
        # Total size of the commands of pending proposals.
        self.pending_bytes = 0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def pending_count(self) -> int:
        """Return the number of proposals without an outcome."""
        return len(self._proposals_by_index)

    @property
    def members(self) -> Members:
        """Return the configuration in effect."""
        return self._node.journal.members

    def start(self) -> None:
        """Append the no-op of the term and start replication."""
        self.noop_index = self._append(Entry(self.term, ENTRY_NOOP))

    def propose(self, entry: Entry) -> asyncio.Future[bytes]:
        """Append an entry; return a future for the result of its `apply`."""
        future: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        index = self._append(entry)
        self._proposals_by_index[index] = future
        self._sizes_by_index[index] = len(entry.command)
        self.pending_bytes += len(entry.command)
        return future

    def note_applied(self, index: int, outcome: bytes) -> None:
        """Complete the proposal at an applied index."""
        self._applied.advance(index)
        self.pending_bytes -= self._sizes_by_index.pop(index, 0)
        future = self._proposals_by_index.pop(index, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    async def wait_applied(self, index: int) -> None:
        """Wait until an index is applied.

        Raises `NotLeaderError` when the leadership ends.
        """
        await self._applied.wait(index)

    def replicates_to(self, progress: Progress) -> bool:
        """Return whether entries are still replicated to this member."""
        if self.is_closed or self._node.stop_error is not None:
            return False
        return self.table.progress_by_name.get(progress.name) is progress

    def advance_commit(self) -> None:
        """Commit what a quorum has stored, if it is of the current term."""
        if self.is_closed:
            return
        agreed = self.table.agreed_index()
        if self._node.journal.term_at(agreed) == self.term:
            self._node.commit.advance(agreed)

    def advance_round(self) -> None:
        """Complete the waits whose round a quorum has answered."""
        if not self.is_closed:
            self._confirmed.advance(self.table.agreed_round(self.latest_round))

    async def confirm(self) -> None:
        """Wait until a quorum answers a message sent after this call.

        Callers that are waiting when a message is sent share its reply.
        Raises `NotLeaderError` when the leadership ends.
        """
        self.latest_round += 1
        target = self.latest_round
        self.table.wake_all()
        self.advance_round()
        await self._confirmed.wait(target)

    def close(self) -> None:
        """End the leadership; the outcome of pending proposals is unknown."""
        self.is_closed = True
        for future in self._proposals_by_index.values():
            if not future.done():
                future.set_exception(
                    ProposalUnknownError(
                        f'leadership of term {self.term} ended before the '
                        'commit',
                    ),
                )
        self._proposals_by_index.clear()
        self._confirmed.fail(NotLeaderError(None))
        self._applied.fail(NotLeaderError(None))
        for task in self._tasks:
            task.cancel()

    def _append(self, entry: Entry) -> int:
        index = self._node.journal.append([entry])
        self._sync_replications()
        self.table.wake_all()
        return index

    def _sync_replications(self) -> None:
        """Start and end replication to match the configuration."""
        members = self.members.members_by_name
        progress_by_name = self.table.progress_by_name
        for name in sorted(members.keys() - progress_by_name.keys()):
            if name != self._node.name:
                self._begin_replication(members[name])
        for name in progress_by_name.keys() - members.keys():
            progress_by_name.pop(name).wake.set()

    def _begin_replication(self, member: Member) -> None:
        node = self._node
        if member.address and member.name not in node.settings.controls_by_name:
            node.peering.add_peer(member.name, member.address)
        progress = Progress(
            member.name,
            node.journal.last_index,
            node.clock.monotonic(),
        )
        self.table.progress_by_name[member.name] = progress
        replication = Replication(node, self, progress)
        self._tasks.append(
            node.tasks.keep_running(
                replication.run,
                f'replog replication to {member.name}',
            ),
        )
