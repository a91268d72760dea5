"""Replicated state: the document with the highest number."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Final, NamedTuple

from hornbeamline.helpers.codec import decode, encode

# Documents are JSON with many equal keys; the fastest level already
# shortens them by a factor of ten.
_COMPRESSION_LEVEL: Final = 1


class StoredDocument(NamedTuple):
    """A document as the operator sent it, compressed."""

    number: int
    compressed: bytes

    @property
    def content(self) -> bytes:
        """Return the bytes that the operator sent."""
        return zlib.decompress(self.compressed) if self.compressed else b''


class PutResult(NamedTuple):
    """Number in force after a command."""

    number: int


NO_DOCUMENT: Final = StoredDocument(0, b'')


def compress(number: int, content: bytes) -> StoredDocument:
    """Return a document for the log."""
    return StoredDocument(number, zlib.compress(content, _COMPRESSION_LEVEL))


class DocumentMachine:
    """Keeps the document with the highest number of all commands."""

    def __init__(self) -> None:
        """Start without a document, which is number 0."""
        self.current = NO_DOCUMENT
        self.on_change: Callable[[], None] | None = None

    def apply(self, index: int, command: bytes) -> bytes:
        """Take a document unless a number as high is held."""
        document = decode(command, StoredDocument)
        if document.number > self.current.number:
            self._take(document)
        return encode(PutResult(self.current.number))

    def snapshot(self) -> bytes:
        """Return the state."""
        return encode(self.current)

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot."""
        self._take(decode(state, StoredDocument))

    def _take(self, document: StoredDocument) -> None:
        self.current = document
        if self.on_change is not None:
            self.on_change()
