"""Application of committed entries, and snapshots of the result."""

from __future__ import annotations

import asyncio

from hornbeamline.replog._entries import Snapshot
from hornbeamline.replog._journal import snapshot_bytes
from hornbeamline.replog._node import Node
from hornbeamline.replog.const import APPLY_BATCH_ENTRIES
from hornbeamline.replog.errors import LogStoppedError
from hornbeamline.telemetry import log_event


class Applier:
    """Applies committed entries, compacts the log, installs snapshots."""

    def __init__(self, node: Node) -> None:
        """Initialize for the node."""
        self._node = node
        # Serializes writes of the snapshot file, so that the newest remains.
        self._lock = asyncio.Lock()
        self._is_saving = False
        # Bytes of the commands applied since the last snapshot.
        self._applied_bytes = 0

    async def run(self) -> None:
        """Apply entries as they are committed."""
        node = self._node
        try:
            while node.stop_error is None:
                await node.commit.wait(node.applied.position + 1)
                self._apply_batch()
                self._save_when_due()
                # Let other tasks run before the next batch.
                await asyncio.sleep(0)
        except LogStoppedError as error:
            node.fail(error)

    async def install(self, raw: bytes, snapshot: Snapshot) -> None:
        """Replace the log and all states by a received snapshot.

        The caller holds the lock of the node. Raises `LogStoppedError`.
        """
        node = self._node
        async with self._lock:
            await node.run_blocking(node.store.save_snapshot, raw)
            node.state_machines.restore(snapshot)
            self._applied_bytes = 0
            node.applied.advance(snapshot.last_index)
            node.commit.advance(snapshot.last_index)
            await node.journal.reset_to_snapshot(snapshot)
        log_event('replog.snapshot_installed', index=snapshot.last_index)

    def _apply_batch(self) -> None:
        node = self._node
        first = node.applied.position + 1
        last = min(node.commit.position, first + APPLY_BATCH_ENTRIES - 1)
        for index in range(first, last + 1):
            entry = node.journal.entry_at(index)
            outcome = node.state_machines.apply(index, entry)
            node.applied.advance(index)
            self._applied_bytes += len(entry.command)
            if node.leadership is not None:
                node.leadership.note_applied(index, outcome)
        node.freshness.note_applied(last)
        self._announce_leadership(last)

    def _announce_leadership(self, applied: int) -> None:
        # Once the no-op of the term is applied, the state machines include
        # everything that was committed in earlier terms.
        leadership = self._node.leadership
        if leadership is None or leadership.is_announced:
            return
        if applied >= leadership.noop_index:
            leadership.is_announced = True
            self._node.freshness.note_leadership(applied)
            self._node.announce(leads=True)

    def _save_when_due(self) -> None:
        node = self._node
        applied = node.applied.position
        storage = node.settings.storage
        entries_since_snapshot = applied - node.journal.snapshot_index
        if (
            self._is_saving
            or entries_since_snapshot < storage.snapshot_entries
            or self._applied_bytes < storage.snapshot_min_bytes
        ):
            return
        snapshot = Snapshot(
            applied,
            node.journal.term_at(applied) or 0,
            node.journal.configurations.at(applied),
            node.state_machines.states(),
        )
        self._is_saving = True
        self._applied_bytes = 0
        node.tasks.spawn(self._save(snapshot), 'replog snapshot')

    async def _save(self, snapshot: Snapshot) -> None:
        node = self._node
        try:
            async with self._lock:
                if snapshot.last_index <= node.journal.snapshot_index:
                    return
                raw = await node.run_blocking(snapshot_bytes, snapshot)
                await node.run_blocking(node.store.save_snapshot, raw)
                node.journal.compact(snapshot)
                log_event(
                    'replog.snapshot',
                    index=snapshot.last_index,
                    size=len(raw),
                )
        except LogStoppedError as error:
            node.fail(error)
        finally:
            self._is_saving = False
