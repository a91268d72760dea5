"""Plain form of inventory and rules, as it is stored and sent."""

from __future__ import annotations

import hashlib
from typing import Any, TypeAlias

import msgspec

from hornbeamline.inventory._schema import Fleet
from hornbeamline.inventory.errors import InvalidDocumentError

# Section, name inside the section, table. The sections `fleet` and `rules`
# hold one table per key like all others.
Document: TypeAlias = dict[str, dict[str, Any]]


def fleet_of(document: Document) -> Fleet:
    """Return the typed fleet; raises `InvalidDocumentError`.

    Only the schema is checked here; `validate` checks references.
    """
    fleet: Fleet = convert(document, Fleet)
    return fleet


def document_of(fleet: Fleet) -> Document:
    """Return the plain form of a fleet with all defaults filled in."""
    plain: Document = msgspec.to_builtins(fleet)
    return plain


def document_digest(document: Document) -> str:
    """Return the SHA-256 of the document's canonical JSON form."""
    text = msgspec.json.encode(document, order='deterministic')
    return hashlib.sha256(text).hexdigest()


def convert(plain: Any, kind: Any) -> Any:
    """Convert plain data to a typed table; raises `InvalidDocumentError`."""
    try:
        return msgspec.convert(plain, kind)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(' - at `')
        key_path = path.rstrip('`').removeprefix('$').lstrip('.')
        raise InvalidDocumentError(key_path or '(root)', reason) from error
