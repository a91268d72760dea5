"""Completeness of the reference page."""

from __future__ import annotations

import typing
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from hornbeamline.inventory import ControlSettings, EntrySettings, Fleet
from tests.common import ROOT


def key_paths(kind: type[Any], prefix: str = '') -> Iterator[str]:
    """Yield every key of a schema in the notation of the page."""
    for field in msgspec.structs.fields(kind):
        path = f'{prefix}{field.name}'
        yield path
        yield from nested_paths(field.type, path)


def nested_paths(annotation: Any, path: str) -> Iterator[str]:
    """Yield the keys of the tables that a field holds."""
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin is typing.Annotated:
        yield from nested_paths(arguments[0], path)
    elif origin is dict:
        yield from nested_paths(arguments[1], f'{path}.*')
    elif origin is list:
        yield from nested_paths(arguments[0], f'{path}[]')
    elif isinstance(annotation, type) and issubclass(
        annotation,
        msgspec.Struct,
    ):
        yield from key_paths(annotation, f'{path}.')


@pytest.mark.parametrize('kind', [Fleet, EntrySettings, ControlSettings])
def test_every_key_is_on_the_reference_page(kind: type[Any]) -> None:
    """Guards against a key without documentation for operators."""
    page = (ROOT / 'docs' / 'reference.md').read_text()
    missing = [path for path in key_paths(kind) if f'| `{path}` |' not in page]
    assert not missing
