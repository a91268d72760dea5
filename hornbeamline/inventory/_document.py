"""Plain form of inventory and rules, as it is stored and sent."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any, Final

import msgspec

from hornbeamline.inventory._operations import ACTION_PUT, Operation
from hornbeamline.inventory._schema import (
    Account,
    DataCentre,
    Fleet,
    Host,
    Model,
    Name,
    Pipeline,
    ServiceEntry,
    Target,
)
from hornbeamline.inventory._types import Document
from hornbeamline.inventory.errors import InvalidDocumentError

_DIGEST_BYTES: Final = 32
_HEXADECIMAL_BASE: Final = 16
ROOT_PATH: Final = '(root)'
# Sections of tables by name, with the type of a table.
_TABLE_TYPES: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'data_centres_by_name': DataCentre,
        'hosts_by_name': Host,
        'services_by_name': ServiceEntry,
        'targets_by_name': Target,
        'models_by_name': Model,
        'accounts_by_name': Account,
        'pipelines_by_name': Pipeline,
    }
)


def fleet_of(document: Document) -> Fleet:
    """Return the typed fleet; raises `InvalidDocumentError`.

    Only the schema is checked here; `validate` checks references.
    """
    try:
        fleet: Fleet = convert(document, Fleet)
    except InvalidDocumentError:
        # The schema's own error does not name keys of tables by name.
        for section in _TABLE_TYPES.keys() & document.keys():
            for name, table in document[section].items():
                _typed_table(section, name, table)
        raise
    return fleet


def document_of(fleet: Fleet) -> Document:
    """Return the plain form of a fleet with all defaults filled in."""
    plain: Document = msgspec.to_builtins(fleet)
    return plain


def document_digest(document: Document) -> str:
    """Return the digest of a document in hexadecimal.

    It is the sum of the SHA-256 digests of all tables modulo 2**256, so
    that `digest_after` costs as much as the change and not as much as the
    document. It finds faults of copies, not forgeries.
    """
    total = sum(
        _table_digest(section, name, table)
        for section, tables in document.items()
        for name, table in tables.items()
    )
    return _hexadecimal(total)


def digest_after(
    digest: str,
    document: Document,
    operations: Iterable[Operation],
) -> str:
    """Return the digest after operations on a document with a digest."""
    total = int(digest, _HEXADECIMAL_BASE)
    changed: dict[tuple[str, str], int] = {}
    for operation in operations:
        place = (operation.section, operation.name)
        if place not in changed:
            total -= _digest_at(document, *place)
        changed[place] = 0
        if operation.action == ACTION_PUT:
            changed[place] = _table_digest(*place, operation.table)
    return _hexadecimal(total + sum(changed.values()))


def fleet_after(
    fleet: Fleet,
    document: Document,
    operations: Iterable[Operation],
) -> Fleet:
    """Return the typed fleet of a changed document.

    `document` is the document after the operations on that of `fleet`;
    tables without a change are not converted again. Raises
    `InvalidDocumentError`.
    """
    sections: dict[str, Any] = {}
    for operation in operations:
        section = operation.section
        if section not in _TABLE_TYPES:
            # `fleet`, `rules` and unknown sections are converted whole.
            return fleet_of(document)
        tables = sections.setdefault(section, {})
        if not tables:
            tables.update(getattr(fleet, section))
        if operation.action == ACTION_PUT:
            tables[operation.name] = _typed_table(
                section,
                operation.name,
                operation.table,
            )
        else:
            tables.pop(operation.name, None)
    return msgspec.structs.replace(fleet, **sections)


def convert(plain: Any, kind: Any) -> Any:
    """Convert plain data to a typed table; raises `InvalidDocumentError`."""
    try:
        return msgspec.convert(plain, kind)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(' - at `')
        key_path = path.rstrip('`').removeprefix('$').lstrip('.')
        raise InvalidDocumentError(key_path or ROOT_PATH, reason) from error


def _typed_table(section: str, name: str, table: Any) -> Any:
    try:
        convert(name, Name)
        return convert(table, _TABLE_TYPES[section])
    except InvalidDocumentError as error:
        path = f'{section}.{name}'
        if error.key_path != ROOT_PATH:
            path = f'{path}.{error.key_path}'
        raise InvalidDocumentError(path, error.reason) from error


def _digest_at(document: Document, section: str, name: str) -> int:
    tables = document.get(section, {})
    return _table_digest(section, name, tables[name]) if name in tables else 0


def _table_digest(section: str, name: str, table: Any) -> int:
    text = msgspec.json.encode([section, name, table], order='deterministic')
    return int.from_bytes(hashlib.sha256(text).digest())


def _hexadecimal(total: int) -> str:
    modulus = 1 << (_DIGEST_BYTES * 8)
    return (total % modulus).to_bytes(_DIGEST_BYTES).hex()
