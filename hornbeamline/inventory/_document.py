"""Conversion between documents, as stored and sent, and the typed fleet."""

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
# Type of the tables in each section that maps names to tables.
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
    """Convert a document to the typed fleet.

    Only the schema is checked here; `validate` also checks references.
    Raises `InvalidDocumentError`.
    """
    try:
        fleet: Fleet = convert(document, Fleet)
    except InvalidDocumentError:
        # The key path of a msgspec error doesn't contain the names of
        # tables, so each table is converted again to find the invalid one.
        for section in _TABLE_TYPES.keys() & document.keys():
            for name, table in document[section].items():
                _typed_table(section, name, table)
        raise
    return fleet


def document_of(fleet: Fleet) -> Document:
    """Return the document of a fleet with all defaults filled in."""
    plain: Document = msgspec.to_builtins(fleet)
    return plain


def document_digest(document: Document) -> str:
    """Return the digest of a document in hexadecimal.

    The digest is the sum of the SHA-256 digests of all tables modulo
    2**256, so that the cost of `digest_after` depends on the size of the
    change and not on the size of the document. It detects copies that
    differ by mistake, but not deliberate tampering.
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
    """Return the digest of a document after operations.

    `digest` and `document` are from before the operations.
    """
    total = int(digest, _HEXADECIMAL_BASE)
    changed: dict[tuple[str, str], int] = {}
    for operation in operations:
        table_key = (operation.section, operation.name)
        if table_key not in changed:
            total -= _digest_at(document, *table_key)
        changed[table_key] = 0
        if operation.action == ACTION_PUT:
            changed[table_key] = _table_digest(*table_key, operation.table)
    return _hexadecimal(total + sum(changed.values()))


def fleet_after(
    fleet: Fleet,
    document: Document,
    operations: Iterable[Operation],
) -> Fleet:
    """Return the typed fleet of a changed document.

    `fleet` is the fleet before the operations, `document` the document
    after them. Unchanged tables are not converted again. Raises
    `InvalidDocumentError`.
    """
    sections: dict[str, Any] = {}
    for operation in operations:
        section = operation.section
        if section not in _TABLE_TYPES:
            # `fleet` and `rules` don't map names to tables, and an unknown
            # section must be refused: the whole document is converted.
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
    """Convert plain data to a type; raises `InvalidDocumentError`."""
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
