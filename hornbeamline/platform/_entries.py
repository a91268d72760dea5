"""Finds the entries of a list page without reading what they contain.

Entries may come from other writers: text that no JSON decoder accepts in one of
them must not hide the others.
"""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterator
from typing import Final, NamedTuple

# A string, or a character that shapes the document. What stands in a string is
# skipped, whether it is valid or not.
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{},:]', re.DOTALL)
_OPENING: Final = frozenset((b'{', b'['))
_CLOSING: Final = frozenset((b'}', b']'))
_depth_changes: Final = {b'{': 1, b'[': 1, b'}': -1, b']': -1}


class PageParts(NamedTuple):
    """Raw values of a page."""

    entries: list[bytes]
    # Value of the member that names the following page; empty without one.
    next_page: bytes


def split_page(page: bytes, entries_key: bytes, next_key: bytes) -> PageParts:
    """Return the raw entries of a page and the raw name of the next one.

    The keys are given as they stand in the page, with quotes. Raises
    `ValueError` if the page has no list of entries that ends.
    """
    members = _split(page, b'{')
    raw_by_key: dict[bytes, bytes] = {}
    for member in members:
        key, _, raw = member.partition(b':')
        raw_by_key.setdefault(key.strip(), raw.strip())
    entries = raw_by_key.get(entries_key)
    if entries is None:
        raise ValueError('page without entries')
    return PageParts(_split(entries, b'['), raw_by_key.get(next_key, b''))


def _split(text: bytes, opening: bytes) -> list[bytes]:
    """Return the members of an object or a list; raises `ValueError`."""
    if not text.lstrip().startswith(opening):
        raise ValueError('page of an unknown shape')
    marks = list(_outer_marks(text))
    if marks[-1].group() not in _CLOSING:
        raise ValueError('page that does not end')
    members = [
        text[before.end() : after.start()]
        for before, after in itertools.pairwise(marks)
    ]
    is_empty = len(members) == 1 and not members[0].strip()
    return [] if is_empty else members


def _outer_marks(text: bytes) -> Iterator[re.Match[bytes]]:
    """Yield the marks that begin, separate and end the outer members."""
    depth = 0
    for token in _TOKEN.finditer(text):
        mark = token.group()
        depth += _depth_changes.get(mark, 0)
        is_separator = mark == b',' and depth == 1
        is_begin = mark in _OPENING and depth == 1
        if is_begin or is_separator or not depth:
            yield token
        if not depth:
            return
