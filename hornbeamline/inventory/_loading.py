"""Loading of documents and settings from TOML files."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

from hornbeamline.inventory._document import convert
from hornbeamline.inventory._types import Document
from hornbeamline.inventory.errors import (
    InvalidDocumentError,
    UnreadableFileError,
)

_SettingsT = TypeVar('_SettingsT')


def load_settings(path: Path, kind: type[_SettingsT]) -> _SettingsT:
    """Load a settings file as the given type.

    Raises `UnreadableFileError` and `InvalidDocumentError`.
    """
    try:
        settings: _SettingsT = convert(read_toml(path), kind)
    except InvalidDocumentError as error:
        raise error.in_file(str(path)) from error
    return settings


def load_document(paths: Iterable[Path]) -> Document:
    """Merge inventory and rules files into one document.

    Raises `InvalidDocumentError` when two files define the same name, and
    `UnreadableFileError`.
    """
    merged: Document = {}
    for path in paths:
        for section, tables in read_toml(path).items():
            if not isinstance(tables, dict):
                raise InvalidDocumentError(section, 'not a table', str(path))
            _merge_section(merged, section, tables, path)
    return merged


def read_toml(path: Path) -> dict[str, Any]:
    """Return the content of a TOML file; raises `UnreadableFileError`."""
    try:
        return tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        reason = error.strerror or str(error)
        raise UnreadableFileError(str(path), reason) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise UnreadableFileError(str(path), str(error)) from error


def _merge_section(
    merged: Document,
    section: str,
    tables: dict[str, Any],
    path: Path,
) -> None:
    known = merged.setdefault(section, {})
    for name, table in tables.items():
        if name in known:
            key_path = f'{section}.{name}'
            raise InvalidDocumentError(key_path, 'defined twice', str(path))
        known[name] = table
