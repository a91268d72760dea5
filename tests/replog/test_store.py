"""Recovery of the data folder after torn writes, corruption and faults."""

from __future__ import annotations

import random
from collections.abc import Iterator
from pathlib import Path

import pytest

from hornbeamline.helpers.clock import SystemClock
from hornbeamline.replog import LogStoppedError, RaftLog
from hornbeamline.replog._disk import Disk
from hornbeamline.replog._entries import (
    Entry,
    Members,
    Run,
    Snapshot,
    VoteState,
)
from hornbeamline.replog._records import pack
from hornbeamline.replog._store import Recovered, Store
from hornbeamline.replog.const import ENTRY_COMMAND
from tests.local_network import LocalNetwork
from tests.replog.group import (
    MACHINE,
    FaultyDisk,
    ListMachine,
    control_settings,
    eventually,
)


def entry(text: str, term: int = 1) -> Entry:
    """Return a command entry."""
    return Entry(term, ENTRY_COMMAND, 'list', text.encode())


def recovered_texts(folder: Path) -> list[str]:
    """Open and close a store and return its commands."""
    store = Store(str(folder), Disk())
    try:
        return texts_of(store.open())
    finally:
        store.close()


def texts_of(recovered: Recovered) -> list[str]:
    """Return the commands of a recovered log."""
    return [kept.command.decode() for kept in recovered.entries]


def segments(folder: Path) -> list[Path]:
    """Return the log files, oldest first."""
    return sorted((folder / 'replog').glob('log-*'))


@pytest.fixture
def three_records(tmp_path: Path) -> Iterator[tuple[Path, bytes, list[int]]]:
    """Return a data folder, the content of its log and the record ends."""
    store = Store(str(tmp_path), Disk())
    store.open()
    path = segments(tmp_path)[0]
    ends = []
    for index, text in enumerate(('a', 'b', 'c'), 1):
        store.append([Run(index, [entry(text)])])
        ends.append(path.stat().st_size)
    store.close()
    yield tmp_path, path.read_bytes(), ends


def test_torn_tail_is_cut_at_every_offset(three_records) -> None:
    """Guards against a torn last record that breaks the recovery."""
    folder, raw, ends = three_records
    for size in range(ends[1], ends[2]):
        segments(folder)[0].write_bytes(raw[:size])
        store = Store(str(folder), Disk())
        assert texts_of(store.open()) == ['a', 'b']
        store.append([Run(3, [entry('again')])])
        store.close()
        assert recovered_texts(folder) == ['a', 'b', 'again']


def test_last_record_with_missing_blocks_is_cut(three_records) -> None:
    """Guards against a file that was extended before its data was written."""
    folder, raw, ends = three_records
    for offset in range(ends[1], ends[2]):
        hole = bytes(ends[2] - offset)
        if hole == raw[offset:]:
            continue
        segments(folder)[0].write_bytes(raw[:offset] + hole)
        assert recovered_texts(folder) == ['a', 'b']


def test_corrupt_middle_stops_at_every_offset(three_records) -> None:
    """Guards against dropping synced entries after a corrupt one."""
    folder, raw, ends = three_records
    for offset in range(ends[1]):
        damaged = bytearray(raw)
        damaged[offset] ^= 0xFF
        segments(folder)[0].write_bytes(damaged)
        with pytest.raises(LogStoppedError, match='corrupt record at offset'):
            recovered_texts(folder)
        # A refused start must leave the file as it is for analysis.
        assert segments(folder)[0].read_bytes() == bytes(damaged)


def test_replaced_suffix_stays_replaced(tmp_path) -> None:
    """Guards against recovering entries that a later leader replaced."""
    store = Store(str(tmp_path), Disk())
    store.open()
    store.append([Run(1, [entry('a'), entry('b'), entry('c')])])
    store.rotate(4, 1)
    store.append([Run(2, [entry('x', term=2)])])
    store.close()
    assert recovered_texts(tmp_path) == ['a', 'x']


def test_unsynced_bytes_are_lost_without_harm(tmp_path) -> None:
    """Guards against a failed recovery after the loss of unsynced bytes."""
    for seed in range(40):
        folder = tmp_path / str(seed)
        disk = FaultyDisk(random.Random(seed))
        store = Store(str(folder), disk)
        store.open()
        store.append([Run(1, [entry('a')])])
        record = pack([Run(2, [entry('b')])])
        disk.write(store._segment, record, store._segment_size)
        store.close()
        disk.crash()
        assert recovered_texts(folder) in (['a'], ['a', 'b'])


def test_failed_sync_is_reported(tmp_path) -> None:
    """Guards against an acknowledgement after a failed sync."""
    disk = FaultyDisk(random.Random(1))
    store = Store(str(tmp_path), disk)
    store.open()
    disk.sync_fails = True
    with pytest.raises(LogStoppedError, match='Input/output error'):
        store.append([Run(1, [entry('a')])])


def test_open_writes_the_last_record_again(tmp_path) -> None:
    """Guards against a record that exists only in the page cache."""
    store = Store(str(tmp_path), Disk())
    store.open()
    store.append([Run(1, [entry('a')])])
    store.close()
    raw = segments(tmp_path)[0].read_bytes()
    written: list[bytes] = []

    class RecordingDisk(Disk):
        def write(self, descriptor: int, content: bytes, offset: int) -> None:
            written.append(content)
            super().write(descriptor, content, offset)

        def sync(self, descriptor: int) -> None:
            written.append(b'sync')
            super().sync(descriptor)

    reopened = Store(str(tmp_path), RecordingDisk())
    reopened.open()
    reopened.close()
    assert written == [raw, b'sync']


def test_full_disk_keeps_what_was_synced(tmp_path) -> None:
    """Guards against a partial record that a full disk leaves behind."""
    for room in range(31):
        folder = tmp_path / str(room)
        disk = FaultyDisk(random.Random(1))
        store = Store(str(folder), disk)
        store.open()
        store.append([Run(1, [entry('a')])])
        disk.bytes_until_full = room
        with pytest.raises(LogStoppedError, match='No space left'):
            store.append([Run(2, [entry('b')])])
        with pytest.raises(LogStoppedError, match='No space left'):
            store.save_vote(VoteState('x', 9))
        store.close()
        assert recovered_texts(folder) == ['a']


def test_second_process_is_refused(tmp_path) -> None:
    """Guards against two processes that write the same log."""
    first = Store(str(tmp_path), Disk())
    first.open()
    with pytest.raises(LogStoppedError, match='in use by another process'):
        Store(str(tmp_path), Disk()).open()
    first.close()
    assert recovered_texts(tmp_path) == []


def test_unusable_folder_is_named(tmp_path) -> None:
    """Guards against a start without a writable data folder."""
    (tmp_path / 'file').write_text('')
    with pytest.raises(LogStoppedError, match='cannot be used'):
        Store(str(tmp_path / 'file'), Disk()).open()


@pytest.mark.parametrize('lost', ['vote', 'log-*', 'snapshot'])
def test_partly_lost_folder_stops(tmp_path, lost) -> None:
    """Guards against a start without the vote, log or snapshot."""
    store = Store(str(tmp_path), Disk())
    store.open()
    store.append([Run(1, [entry('a'), entry('b')])])
    store.save_snapshot(pack(Snapshot(2, 1, Members({}), {})))
    store.rotate(3, 3)
    store.append([Run(3, [entry('c')])])
    store.close()
    for path in (tmp_path / 'replog').glob(lost):
        path.unlink()
    with pytest.raises(LogStoppedError, match='missing'):
        recovered_texts(tmp_path)


def test_corrupt_vote_and_snapshot_stop(tmp_path) -> None:
    """Guards against using a corrupt vote or snapshot file."""
    for name in ('vote', 'snapshot'):
        folder = tmp_path / name
        store = Store(str(folder), Disk())
        store.open()
        store.save_snapshot(pack(Snapshot(0, 0, Members({}), {'m': b'x'})))
        store.close()
        path = folder / 'replog' / name
        raw = path.read_bytes()
        for offset in range(len(raw)):
            damaged = bytearray(raw)
            damaged[offset] ^= 0x01
            path.write_bytes(damaged)
            with pytest.raises(LogStoppedError, match='checksum mismatch'):
                recovered_texts(folder)


def test_installed_snapshot_replaces_the_log(tmp_path) -> None:
    """Guards against old entries after the installation of a snapshot.

    The process may crash after it has stored the snapshot, and removed log
    files may reappear, since removals are not synced.
    """
    store = Store(str(tmp_path), Disk())
    store.open()
    store.append([Run(1, [entry(text) for text in 'abcdef'])])
    store.save_snapshot(pack(Snapshot(4, 3, Members({}), {})))
    old = segments(tmp_path)[0]
    old_bytes = old.read_bytes()
    store.close()
    assert recovered_texts(tmp_path) == []
    store = Store(str(tmp_path), Disk())
    store.open()
    store.append([Run(5, [entry('new', term=3)])])
    store.close()
    old.write_bytes(old_bytes)
    assert recovered_texts(tmp_path) == ['new']


async def test_log_runs_on_threads_and_the_real_disk(tmp_path) -> None:
    """Guards against a log that works only with the test harness."""
    settings = control_settings('control-1', ['control-1'], tmp_path)
    for expected in ([b'a'], [b'a', b'b']):
        network = LocalNetwork(random.Random(1))
        machine = ListMachine()
        log = RaftLog(
            settings,
            network.endpoint('control-1'),
            SystemClock(),
            random.Random(1),
        )
        log.register_state_machine(MACHINE, machine)
        await log.start()
        await eventually(lambda log=log: log.is_leader)
        await log.propose(MACHINE, expected[-1])
        await log.read_barrier()
        assert [command for _, command in machine.commands] == expected
        await log.stop()
