"""Leadership of one term: proposals, commits and read barriers."""

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
    """Exists while this node leads one term."""

    def __init__(self, node: Node) -> None:
        """Take the node, whose term has just been won."""
        self._node = node
        self.term = node.term
        self.is_closed = False
        self.is_announced = False
        self.noop_index = 0
        self.table = ProgressTable(node)
        # Number of the newest quorum round; a message carries the proof
        # for all rounds that began before it was sent.
        self.round = 0
        self._applied = Watermark(node.applied.position)
        self._confirmed = Watermark()
        self._proposals_by_index: dict[int, asyncio.Future[bytes]] = {}
        self._sizes_by_index: dict[int, int] = {}
        # Sum of the commands without an outcome.
        self.pending_bytes = 0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def pending(self) -> int:
        """Return the number of proposals without an outcome."""
        return len(self._proposals_by_index)

    @property
    def members(self) -> Members:
        """Return the configuration that counts now."""
        return self._node.journal.members

    def start(self) -> None:
        """Append the no-op of the term and begin to replicate."""
        self.noop_index = self._append(Entry(self.term, ENTRY_NOOP))

    def propose(self, entry: Entry) -> asyncio.Future[bytes]:
        """Append an entry; the result is that of its `apply`."""
        future: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        index = self._append(entry)
        self._proposals_by_index[index] = future
        self._sizes_by_index[index] = len(entry.command)
        self.pending_bytes += len(entry.command)
        return future

    def note_applied(self, index: int, outcome: bytes) -> None:
        """Answer the proposal at an applied index."""
        self._applied.advance(index)
        self.pending_bytes -= self._sizes_by_index.pop(index, 0)
        future = self._proposals_by_index.pop(index, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    async def wait_applied(self, index: int) -> None:
        """Wait for an index; `NotLeaderError` when leadership ends."""
        await self._applied.wait(index)

    def follows(self, progress: Progress) -> bool:
        """Return whether entries are still sent to this member."""
        if self.is_closed or self._node.stopped is not None:
            return False
        return self.table.progress_by_name.get(progress.name) is progress

    def advance_commit(self) -> None:
        """Commit what a quorum holds, if it is of the own term."""
        if self.is_closed:
            return
        agreed = self.table.agreed_index()
        if self._node.journal.term_at(agreed) == self.term:
            self._node.commit.advance(agreed)

    def advance_round(self) -> None:
        """Release the readers whose round a quorum has answered."""
        if not self.is_closed:
            self._confirmed.advance(self.table.agreed_round(self.round))

    async def confirm(self) -> None:
        """Return after a quorum answered a message sent after the call.

        All callers that wait when a message is sent share its round.
        Raises `NotLeaderError` when the leadership ends.
        """
        self.round += 1
        target = self.round
        self.table.wake_all()
        self.advance_round()
        await self._confirmed.wait(target)

    def close(self) -> None:
        """End the leadership; pending proposals become unknown."""
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
        """Begin and end replication as the configuration says."""
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
            node.tasks.spawn(
                replication.run(),
                f'replog replication to {member.name}',
            ),
        )
