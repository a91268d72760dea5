"""Files of one node: log segments, vote and snapshot."""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import Final, NamedTuple

from hornbeamline.replog._disk import Disk
from hornbeamline.replog._entries import Entry, Run, Snapshot, VoteState
from hornbeamline.replog._records import Record, decode_runs, pack, scan, unpack
from hornbeamline.replog.errors import DataFolderError, LogStoppedError

_FOLDER: Final = 'replog'
_LOCK_FILE: Final = 'lock'
_VOTE_FILE: Final = 'vote'
_SNAPSHOT_FILE: Final = 'snapshot'
_SEGMENT_PREFIX: Final = 'log-'


class Recovered(NamedTuple):
    """Content of the data folder when it is opened."""

    vote_state: VoteState
    snapshot: Snapshot | None
    # Index of the first entry; meaningless without entries.
    first_index: int
    entries: list[Entry]


class Store:
    """Blocking storage of one node; all methods raise `LogStoppedError`.

    Not thread-safe: only one of `append`, `rotate` and `reset` may run at a
    time. The same holds for `save_vote` and for `save_snapshot`.
    """

    def __init__(self, data_folder: str, disk: Disk) -> None:
        """Initialize with the data folder and the file operations."""
        self._folder = Path(data_folder) / _FOLDER
        self._disk = disk
        self._lock: int | None = None
        self._segment: int | None = None
        self._segment_size = 0
        # Highest index ever written to each segment, oldest segment first.
        self._last_index_by_segment: dict[Path, int] = {}

    def open(self) -> Recovered:
        """Lock the data folder, recover its content and make it durable."""
        try:
            return self._open()
        except OSError as error:
            self.close()
            raise DataFolderError(
                f'data folder {self._folder} cannot be used: {error}',
            ) from error
        except LogStoppedError:
            self.close()
            raise

    def append(self, runs: list[Run]) -> None:
        """Append entries as one record and sync it."""
        record = pack(runs)
        try:
            self._write_record(record)
        except OSError as error:
            raise LogStoppedError(f'cannot write the log: {error}') from error
        path = next(reversed(self._last_index_by_segment))
        last = max(run.first_index + len(run.entries) - 1 for run in runs)
        self._last_index_by_segment[path] = max(
            self._last_index_by_segment[path],
            last,
        )

    def rotate(self, next_index: int, keep_from: int) -> None:
        """Start a segment; remove those that end before `keep_from`."""
        try:
            self._begin_segment(next_index)
            self._drop_segments(keep_from)
        except OSError as error:
            raise LogStoppedError(f'cannot rotate the log: {error}') from error

    def reset(self, next_index: int) -> None:
        """Start a new log after an installed snapshot; drop older entries."""
        try:
            self._reset(next_index)
        except OSError as error:
            raise LogStoppedError(f'cannot reset the log: {error}') from error

    def save_vote(self, vote_state: VoteState) -> None:
        """Replace identity, term and vote, which are durable on return."""
        self._replace(_VOTE_FILE, pack(vote_state))

    def save_snapshot(self, raw: bytes) -> None:
        """Replace the snapshot by a packed one, which is durable on return."""
        self._replace(_SNAPSHOT_FILE, raw)

    def read_snapshot(self) -> bytes | None:
        """Return the packed snapshot, or None if there is none."""
        try:
            return self._disk.read(self._folder / _SNAPSHOT_FILE)
        except OSError as error:
            raise LogStoppedError(
                f'cannot read the snapshot: {error}'
            ) from error

    def close(self) -> None:
        """Close the files and unlock the data folder."""
        for descriptor in (self._segment, self._lock):
            if descriptor is not None:
                self._disk.close(descriptor)
        self._segment = None
        self._lock = None

    def _open(self) -> Recovered:
        self._folder.mkdir(parents=True, exist_ok=True)
        try:
            self._lock = self._disk.lock(self._folder / _LOCK_FILE)
        except BlockingIOError as error:
            raise LogStoppedError(
                f'data folder {self._folder} is in use by another process',
            ) from error
        raw_snapshot = self._disk.read(self._folder / _SNAPSHOT_FILE)
        snapshot = None
        if raw_snapshot is not None:
            snapshot = unpack(raw_snapshot, Snapshot, _SNAPSHOT_FILE)
        assembly = _Assembly(0 if snapshot is None else snapshot.last_index)
        self._read_segments(assembly)
        if snapshot is not None and assembly.contradicts(snapshot):
            # The process ended during an installation, after the snapshot was
            # stored and before the log was replaced.
            assembly.clear()
            self._reset(snapshot.last_index + 1)
        assembly.check_start()
        vote_state = self._open_vote(is_new=assembly.is_empty)
        if self._segment is None:
            self._begin_segment(assembly.last_index + 1)
        return Recovered(
            vote_state,
            snapshot,
            assembly.first_index,
            assembly.entries,
        )

    def _open_vote(self, *, is_new: bool) -> VoteState:
        raw = self._disk.read(self._folder / _VOTE_FILE)
        if raw is not None:
            return unpack(raw, VoteState, _VOTE_FILE)
        if not is_new:
            raise LogStoppedError(
                f'{self._folder / _VOTE_FILE} is missing, but a log exists',
            )
        vote_state = VoteState(uuid.uuid4().hex, 0)
        # The vote file marks an initialized data folder, so it is written
        # after the first segment.
        if self._segment is None:
            self._begin_segment(1)
        self._disk.replace(self._folder / _VOTE_FILE, pack(vote_state))
        return vote_state

    def _read_segments(self, assembly: _Assembly) -> None:
        paths = sorted(self._folder.glob(f'{_SEGMENT_PREFIX}*'))
        has_vote = self._disk.read(self._folder / _VOTE_FILE) is not None
        if has_vote and not paths:
            raise LogStoppedError(f'{self._folder}: the log files are missing')
        for path in paths:
            is_last = path == paths[-1]
            raw = self._disk.read(path) or b''
            tail: Record | None = None
            self._last_index_by_segment[path] = 0
            for record in scan(raw, may_be_torn=is_last, source=path.name):
                assembly.add(decode_runs(record, path.name), path.name)
                tail = record
                self._last_index_by_segment[path] = max(
                    self._last_index_by_segment[path],
                    assembly.last_index,
                )
            if is_last:
                self._reopen_segment(path, raw, tail)

    def _reopen_segment(
        self,
        path: Path,
        raw: bytes,
        tail: Record | None,
    ) -> None:
        self._segment = self._disk.open(path)
        self._segment_size = 0 if tail is None else tail.end
        if len(raw) > self._segment_size:
            self._disk.truncate(self._segment, self._segment_size)
        if tail is not None:
            # After a failed sync the page cache may contain a record that
            # is not on the disk but is marked as clean, so a further sync
            # would not write it. Writing it again makes the page dirty.
            self._disk.write(
                self._segment,
                raw[tail.start : tail.end],
                tail.start,
            )
        self._disk.sync(self._segment)

    def _write_record(self, record: bytes) -> None:
        if self._segment is None:
            raise OSError('the log is closed')
        self._disk.write(self._segment, record, self._segment_size)
        self._disk.sync(self._segment)
        self._segment_size += len(record)

    def _begin_segment(self, next_index: int) -> None:
        # The sequence number orders segments that start at the same index.
        number = len(self._last_index_by_segment)
        if number:
            newest = next(reversed(self._last_index_by_segment))
            number = int(newest.name.split('-')[1]) + 1
        path = self._folder / f'{_SEGMENT_PREFIX}{number:010d}-{next_index}'
        descriptor = self._disk.open(path)
        if self._segment is not None:
            self._disk.close(self._segment)
        self._segment = descriptor
        self._segment_size = 0
        self._last_index_by_segment[path] = 0

    def _reset(self, next_index: int) -> None:
        self._begin_segment(next_index)
        # Removed segments may reappear after a power loss. This record makes
        # recovery discard their entries.
        self._write_record(pack([Run(next_index, [], starts_log=True)]))
        self._drop_segments(next_index)

    def _drop_segments(self, keep_from: int) -> None:
        # Oldest first, so that no gap arises; never the segment in use.
        for path in tuple(self._last_index_by_segment)[:-1]:
            if self._last_index_by_segment[path] >= keep_from:
                return
            self._disk.remove(path)
            self._last_index_by_segment.pop(path)

    def _replace(self, name: str, content: bytes) -> None:
        path = self._folder / name
        try:
            self._disk.replace(path, content)
        except OSError as error:
            raise LogStoppedError(f'cannot write {path}: {error}') from error


class _Assembly:
    """Log entries assembled from the records of all segments."""

    def __init__(self, snapshot_index: int) -> None:
        self._snapshot_index = snapshot_index
        self.first_index = snapshot_index + 1
        self.entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        return self.first_index + len(self.entries) - 1

    @property
    def is_empty(self) -> bool:
        return not self.entries and self._snapshot_index == 0

    def add(self, runs: list[Run], source: str) -> None:
        for run in runs:
            self._add_run(run, source)

    def clear(self) -> None:
        self.first_index = self._snapshot_index + 1
        self.entries = []

    def contradicts(self, snapshot: Snapshot) -> bool:
        position = snapshot.last_index - self.first_index
        if position < 0:
            return False
        if position >= len(self.entries):
            return True
        return self.entries[position].term != snapshot.last_term

    def check_start(self) -> None:
        if self.first_index > self._snapshot_index + 1:
            raise LogStoppedError(
                f'entries {self._snapshot_index + 1} to '
                f'{self.first_index - 1} are missing',
            )

    def _add_run(self, run: Run, source: str) -> None:
        position = run.first_index - self.first_index
        if run.starts_log:
            position = -1
        if not self.entries or position < 0:
            self.first_index = run.first_index
            self.entries = list(run.entries)
            return
        if position > len(self.entries):
            if run.first_index > self._snapshot_index + 1:
                raise LogStoppedError(
                    f'{source}: entries {self.last_index + 1} to '
                    f'{run.first_index - 1} are missing',
                )
            # An installed snapshot covers the gap.
            self.first_index = run.first_index
            self.entries = []
            position = 0
        self.entries = [*self.entries[:position], *run.entries]
