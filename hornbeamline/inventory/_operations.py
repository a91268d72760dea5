"""Changes to a document, expressed as operations on single tables."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from hornbeamline.inventory._types import Document
from hornbeamline.inventory.errors import InvalidDocumentError

ACTION_PUT: Final = 'put'
ACTION_REMOVE: Final = 'remove'


class Operation(NamedTuple):
    """Adds, replaces or removes one table of a document."""

    action: str
    section: str
    name: str
    # New content for `put`, None for `remove`.
    table: Any = None


def difference(old: Document, new: Document) -> list[Operation]:
    """Return the operations that turn `old` into `new`."""
    operations: list[Operation] = []
    for section in sorted({*old, *new}):
        operations.extend(
            _section_difference(
                section,
                old.get(section, {}),
                new.get(section, {}),
            ),
        )
    return operations


def apply_operations(
    document: Document,
    operations: Iterable[Operation],
) -> Document:
    """Return a copy of the document with the operations applied.

    Raises `InvalidDocumentError` for an unknown action and for the removal
    of a table that does not exist.
    """
    changed = {section: dict(tables) for section, tables in document.items()}
    for operation in operations:
        tables = changed.setdefault(operation.section, {})
        if operation.action == ACTION_PUT:
            tables[operation.name] = operation.table
        elif operation.action == ACTION_REMOVE and operation.name in tables:
            tables.pop(operation.name)
        else:
            raise InvalidDocumentError(
                f'{operation.section}.{operation.name}',
                f'cannot {operation.action}: unknown action or no such table',
            )
    return changed


def _section_difference(
    section: str,
    before: dict[str, Any],
    after: dict[str, Any],
) -> list[Operation]:
    removed = [
        Operation(ACTION_REMOVE, section, name)
        for name in sorted(before.keys() - after.keys())
    ]
    changed = [
        Operation(ACTION_PUT, section, name, after[name])
        for name in sorted(after)
        if name not in before or before[name] != after[name]
    ]
    return removed + changed
