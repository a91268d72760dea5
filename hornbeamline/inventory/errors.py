"""Errors of settings, inventory and rules."""

from __future__ import annotations

from hornbeamline.exceptions import InventoryError


class UnreadableFileError(InventoryError):
    """A file is missing, unreadable or not TOML."""

    def __init__(self, file: str, reason: str) -> None:
        """Initialize with the file and the reason."""
        super().__init__(f'{file}: {reason}')
        self.file = file
        self.reason = reason


class InvalidDocumentError(InventoryError):
    """A key has a value that the schema or a further check rejects."""

    def __init__(self, key_path: str, reason: str, file: str = '') -> None:
        """Initialize with the key path, the reason and the file, if known."""
        prefix = f'{file}: ' if file else ''
        super().__init__(f'{prefix}{key_path}: {reason}')
        self.key_path = key_path
        self.reason = reason
        self.file = file

    def in_file(self, file: str) -> InvalidDocumentError:
        """Return the same error for a file."""
        return InvalidDocumentError(self.key_path, self.reason, file)
