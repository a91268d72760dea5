"""Registry of message types, filled by a decorator."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, TypeVar

from hornbeamline.exceptions import PeeringError

_MessageT = TypeVar('_MessageT')

_types_by_kind: Final[dict[str, type[Any]]] = {}
_kinds_by_type: Final[dict[type[Any], str]] = {}


def message(kind: str) -> Callable[[type[_MessageT]], type[_MessageT]]:
    """Register a `NamedTuple` as the message of a kind.

    Raises `PeeringError` when the kind is taken.
    """

    def register(message_class: type[_MessageT]) -> type[_MessageT]:
        if kind in _types_by_kind:
            raise PeeringError(f'message kind {kind} is already registered')
        _types_by_kind[kind] = message_class
        _kinds_by_type[message_class] = kind
        return message_class

    return register


def message_type(kind: str) -> type[Any] | None:
    """Return the type of a kind, or None for an unknown kind."""
    return _types_by_kind.get(kind)


def kind_of(message_class: type[Any]) -> str:
    """Return the kind of a type; raises `PeeringError`."""
    kind = _kinds_by_type.get(message_class)
    if kind is None:
        raise PeeringError(f'{message_class.__name__} is not registered')
    return kind
