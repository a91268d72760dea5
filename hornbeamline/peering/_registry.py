"""Registry of message types and the decorator that fills it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, TypeVar

from hornbeamline.exceptions import PeeringError

_MessageT = TypeVar('_MessageT')

_types_by_kind: Final[dict[str, type[Any]]] = {}
_kinds_by_type: Final[dict[type[Any], str]] = {}


def message(kind: str) -> Callable[[type[_MessageT]], type[_MessageT]]:
    """Register the decorated `NamedTuple` as the message type of a kind.

    Raises `PeeringError` if the kind is already registered.
    """

    def register(message_class: type[_MessageT]) -> type[_MessageT]:
        if kind in _types_by_kind:
            raise PeeringError(f'message kind {kind} is already registered')
        _types_by_kind[kind] = message_class
        _kinds_by_type[message_class] = kind
        return message_class

    return register


def message_type(kind: str) -> type[Any] | None:
    """Return the message type of a kind, or None if it is unknown."""
    return _types_by_kind.get(kind)


def kind_of(message_class: type[Any]) -> str:
    """Return the kind of a message type.

    Raises `PeeringError` if the type is not registered.
    """
    kind = _kinds_by_type.get(message_class)
    if kind is None:
        raise PeeringError(f'{message_class.__name__} is not registered')
    return kind
