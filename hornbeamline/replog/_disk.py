"""File operations of the log storage.

Tests replace them to inject faults.
"""

from __future__ import annotations

import errno
import fcntl
import itertools
import os
from pathlib import Path

from hornbeamline.helpers.files import sync_folder, write_atomic


class Disk:
    """Blocking file operations on the disk; all raise `OSError`."""

    def lock(self, path: Path) -> int:
        """Create a file and lock it until its descriptor is closed."""
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, or None without the file."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def replace(self, path: Path, content: bytes) -> None:
        """Replace a file atomically and sync it."""
        write_atomic(path, content)

    def open(self, path: Path) -> int:
        """Open or create a file for writing and sync its directory entry."""
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        sync_folder(path.parent)
        return descriptor

    def write(self, descriptor: int, content: bytes, offset: int) -> None:
        """Write all bytes at an offset."""
        remaining = memoryview(content)
        while remaining:
            written = os.pwrite(descriptor, remaining, offset)
            if written == 0:
                raise OSError(errno.EIO, 'nothing was written')
            offset += written
            remaining = remaining[written:]

    def sync(self, descriptor: int) -> None:
        """Sync the content and the size of a file."""
        os.fdatasync(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.ftruncate(descriptor, size)

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)

    def remove(self, path: Path) -> None:
        """Remove a file; the removal need not be durable."""
        path.unlink(missing_ok=True)


class MemoryDisk(Disk):
    """In-memory files for hosts without a disk, lost when the process ends."""

    def __init__(self) -> None:
        """Initialize without files."""
        self._files_by_path: dict[Path, bytes] = {}
        self._paths_by_descriptor: dict[int, Path] = {}
        self._descriptors = itertools.count(1)

    def lock(self, path: Path) -> int:
        """Open a file; needs no lock, as no other process can access it."""
        return self.open(path)

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, or None without the file."""
        return self._files_by_path.get(path)

    def replace(self, path: Path, content: bytes) -> None:
        """Replace the content of a file."""
        self._files_by_path[path] = content

    def open(self, path: Path) -> int:
        """Open or create a file for writing."""
        descriptor = next(self._descriptors)
        self._files_by_path.setdefault(path, b'')
        self._paths_by_descriptor[descriptor] = path
        return descriptor

    def write(self, descriptor: int, content: bytes, offset: int) -> None:
        """Write all bytes at an offset."""
        path = self._paths_by_descriptor[descriptor]
        before = self._files_by_path.get(path, b'')
        start = before[:offset].ljust(offset, b'\0')
        end = before[offset + len(content) :]
        self._files_by_path[path] = start + content + end

    def sync(self, descriptor: int) -> None:
        """Do nothing, since memory does not survive a loss of power."""

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncate a file to a size in bytes."""
        path = self._paths_by_descriptor[descriptor]
        self._files_by_path[path] = self._files_by_path[path][:size]

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        self._paths_by_descriptor.pop(descriptor)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        self._files_by_path.pop(path, None)
