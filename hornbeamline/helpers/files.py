"""Durable files: atomic replacement and folder syncs."""

from __future__ import annotations

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Sync a folder so that its entries survive a power loss."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_atomic(path: Path, content: bytes) -> None:
    """Replace a file atomically and sync it; raises `OSError`."""
    temporary = path.with_name(f'{path.name}.tmp')
    with temporary.open('wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())
    temporary.replace(path)
    sync_folder(path.parent)
