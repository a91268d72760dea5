"""In-memory log whose entries are written to the store in batches."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, TypeAlias

from hornbeamline.replog._configurations import Configurations
from hornbeamline.replog._entries import Entry, Members, Run, Snapshot
from hornbeamline.replog._metrics import SYNC_SECONDS
from hornbeamline.replog._records import pack
from hornbeamline.replog._store import Recovered, Store
from hornbeamline.replog._watermark import Watermark
from hornbeamline.replog.const import MAX_BATCH_BYTES, MAX_BATCH_ENTRIES

# Awaits a blocking function that runs in a thread.
BlockingRunner: TypeAlias = Callable[..., Awaitable[Any]]

_ENTRY_OVERHEAD_BYTES: Final = 32


class _SegmentChange(NamedTuple):
    """A queued rotation or reset of the segments."""

    next_index: int
    keep_from: int
    is_reset: bool
    done: asyncio.Future[None]


class Journal:
    """Log entries after the second-latest snapshot and their durability."""

    def __init__(
        self,
        store: Store,
        run_blocking: BlockingRunner,
        on_durable: Callable[[], None],
    ) -> None:
        """Initialize with the store.

        `on_durable` is called after each sync.
        """
        self._store = store
        self._run_blocking = run_blocking
        self._on_durable = on_durable
        self._first = 1
        self._entries: list[Entry] = []
        # Term of the entry before the first one in memory.
        self._base_term = 0
        self._queue: list[Run | _SegmentChange] = []
        self._wake = asyncio.Event()
        self.configurations = Configurations()
        self.snapshot_index = 0
        self.snapshot_term = 0
        self.durable = Watermark()

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, durable or not."""
        return self._first + len(self._entries) - 1

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self._base_term

    @property
    def base_index(self) -> int:
        """Return the lowest index whose term is known."""
        return self._first - 1

    @property
    def members(self) -> Members:
        """Return the latest configuration, committed or not."""
        return self.configurations.latest

    def load(self, recovered: Recovered) -> None:
        """Load what the store recovered, all of which is durable."""
        snapshot = recovered.snapshot
        if snapshot is not None:
            self._adopt_snapshot(snapshot)
        skipped = self._first - recovered.first_index
        self._entries = recovered.entries[max(skipped, 0) :]
        for offset, entry in enumerate(self._entries):
            self.configurations.track(self._first + offset, entry)
        self.durable.move_to(self.last_index)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not known."""
        if index == self.base_index:
            return self._base_term
        if self._first <= index <= self.last_index:
            return self._entries[index - self._first].term
        return None

    def entry_at(self, index: int) -> Entry:
        """Return an entry, which must be in memory."""
        return self._entries[index - self._first]

    def batch_from(self, index: int) -> list[Entry]:
        """Return entries from an index on, as many as fit in one message."""
        start = index - self._first
        batch: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + MAX_BATCH_ENTRIES]:
            size += len(entry.command) + _ENTRY_OVERHEAD_BYTES
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(entry)
        return batch

    def append(self, entries: list[Entry]) -> int:
        """Append entries and return the last index."""
        first = self.last_index + 1
        for offset, entry in enumerate(entries):
            self.configurations.track(first + offset, entry)
        self._entries.extend(entries)
        self._enqueue(Run(first, entries))
        return self.last_index

    def merge(self, previous_index: int, entries: list[Entry]) -> None:
        """Append a leader's entries; truncate the log where it conflicts."""
        for offset, entry in enumerate(entries):
            index = previous_index + 1 + offset
            if index <= self.base_index:
                continue
            if self.term_at(index) == entry.term:
                continue
            if index <= self.last_index:
                self._truncate(index)
            self.append(entries[offset:])
            return

    def hint_before(self, index: int) -> int:
        """Return the last index where both logs may match.

        Sent to a leader whose previous entry does not match at `index`.
        Skips the whole conflicting term, which saves round trips.
        """
        if index > self.last_index:
            return self.last_index
        position = index
        term = self.term_at(position)
        while position > self.base_index and self.term_at(position) == term:
            position -= 1
        return position

    def reset_to_snapshot(self, snapshot: Snapshot) -> asyncio.Future[None]:
        """Replace the log by an installed snapshot.

        The returned future is done when the files are replaced too.
        """
        self._entries = []
        self._adopt_snapshot(snapshot)
        self.durable.move_to(snapshot.last_index)
        next_index = snapshot.last_index + 1
        return self._enqueue_segment_change(
            next_index, next_index, is_reset=True
        )

    def compact(self, snapshot: Snapshot) -> None:
        """Record a stored snapshot; drop what the previous one covers.

        The entries between both snapshots are kept for members that lag
        behind, which then need no snapshot.
        """
        keep_from = self.snapshot_index + 1
        self._drop_before(keep_from)
        self.snapshot_index = snapshot.last_index
        self.snapshot_term = snapshot.last_term
        self._enqueue_segment_change(
            self.last_index + 1, keep_from, is_reset=False
        )

    async def run(self) -> None:
        """Write queued entries; all that wait share one record and sync."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                await self._write_next()

    async def _write_next(self) -> None:
        head = self._queue[0]
        if isinstance(head, _SegmentChange):
            self._queue.pop(0)
            await self._change_segment(head)
            return
        runs = _take_runs(self._queue)
        with SYNC_SECONDS.time():
            await self._run_blocking(self._store.append, runs)
        position = runs[-1].first_index + len(runs[-1].entries) - 1
        for waiting in self._queue:
            # Entries that a queued write replaces are no longer in the log,
            # so they must not count as durable.
            if isinstance(waiting, Run):
                position = min(position, waiting.first_index - 1)
            elif waiting.is_reset:
                return
        self.durable.move_to(position)
        self._on_durable()

    async def _change_segment(self, change: _SegmentChange) -> None:
        if change.is_reset:
            await self._run_blocking(self._store.reset, change.next_index)
        else:
            await self._run_blocking(
                self._store.rotate,
                change.next_index,
                change.keep_from,
            )
        if not change.done.done():
            change.done.set_result(None)

    def _enqueue(self, work: Run | _SegmentChange) -> None:
        self._queue.append(work)
        self._wake.set()

    def _enqueue_segment_change(
        self,
        next_index: int,
        keep_from: int,
        *,
        is_reset: bool,
    ) -> asyncio.Future[None]:
        done = asyncio.get_running_loop().create_future()
        self._enqueue(_SegmentChange(next_index, keep_from, is_reset, done))
        return done

    def _truncate(self, index: int) -> None:
        self._entries = self._entries[: index - self._first]
        self.configurations.truncate(index)
        self.durable.move_to(min(self.durable.position, index - 1))

    def _drop_before(self, keep_from: int) -> None:
        dropped = keep_from - self._first
        if dropped <= 0:
            return
        self._base_term = self._entries[dropped - 1].term
        self._entries = self._entries[dropped:]
        self._first = keep_from
        self.configurations.drop_before(keep_from - 1)

    def _adopt_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot_index = snapshot.last_index
        self.snapshot_term = snapshot.last_term
        self._first = snapshot.last_index + 1
        self._base_term = snapshot.last_term
        self.configurations.reset(snapshot.last_index, snapshot.members)


def snapshot_bytes(snapshot: Snapshot) -> bytes:
    """Return the encoded snapshot, as it is stored and sent."""
    return pack(snapshot)


def _take_runs(queue: list[Run | _SegmentChange]) -> list[Run]:
    """Dequeue the writes up to a segment change; join consecutive runs."""
    runs: list[Run] = []
    while queue:
        head = queue[0]
        if not isinstance(head, Run):
            break
        queue.pop(0)
        last = runs[-1] if runs else None
        if last and last.first_index + len(last.entries) == head.first_index:
            last.entries.extend(head.entries)
        else:
            runs.append(Run(head.first_index, list(head.entries)))
    return runs
