"""State machine that keeps the document with the highest number."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Final, NamedTuple

from hornbeamline.helpers.codec import decode, encode

# Documents are JSON with many repeated keys; the fastest level already
# reduces their size by a factor of ten.
_COMPRESSION_LEVEL: Final = 1


class StoredDocument(NamedTuple):
    """Compressed document, as sent by the operator."""

    number: int
    compressed: bytes

    @property
    def content(self) -> bytes:
        """Return the decompressed bytes that the operator sent."""
        return zlib.decompress(self.compressed) if self.compressed else b''


class PutResult(NamedTuple):
    """Highest stored number after a command."""

    number: int


NO_DOCUMENT: Final = StoredDocument(0, b'')


def compress(number: int, content: bytes) -> StoredDocument:
    """Return the compressed document for the replicated log."""
    return StoredDocument(number, zlib.compress(content, _COMPRESSION_LEVEL))


def _always() -> bool:
    return True


class DocumentMachine:
    """Keeps the document with the highest number of all applied commands."""

    def __init__(self) -> None:
        """Start with the empty document, which has number 0."""
        self.current = NO_DOCUMENT
        self.on_change: Callable[[], None] | None = None
        # Whether `current` is known to be the newest stored document.
        self.is_confirmed: Callable[[], bool] = _always

    def announce(self) -> None:
        """Report the document, now that it is known to be the newest."""
        if self.current.number and self.on_change is not None:
            self.on_change()

    def apply(self, index: int, command: bytes) -> bytes:
        """Store the document if its number is higher than the stored one."""
        document = decode(command, StoredDocument)
        if document.number > self.current.number:
            self._replace_current(document)
        return encode(PutResult(self.current.number))

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return encode(self.current)

    def restore(self, state: bytes) -> None:
        """Replace the state with that of a snapshot."""
        self._replace_current(decode(state, StoredDocument))

    def _replace_current(self, document: StoredDocument) -> None:
        self.current = document
        if self.on_change is not None:
            self.on_change()
