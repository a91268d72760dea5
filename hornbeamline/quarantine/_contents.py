"""Requests that crash targets by their own content.

Such a request comes again with the same caller, path and body. In contrast to
a prompt part, its content is the same at each of its crashes, so that they need
not be weighed against those of other requests.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable
from typing import Final

from hornbeamline.quarantine._attribution import (
    Finding,
    attribute,
    separate_occasions,
)
from hornbeamline.quarantine._types import CrashMark
from hornbeamline.quarantine.const import CONTENT_CRASHES, VERDICT_SCORE

_PREFIX: Final = 'content:'
_DIGEST_BYTES: Final = 16


def content_of(*fields: bytes) -> str:
    """Return the key of a request's content, given caller, path and body."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in fields:
        # Without the lengths, bytes could move from one field to the next.
        digest.update(len(field).to_bytes(8))
        digest.update(field)
    return f'{_PREFIX}{digest.hexdigest()}'


def is_content(key: str) -> bool:
    """Return whether a key stands for the content of a request."""
    return key.startswith(_PREFIX)


def find_crashing(
    marks: Iterable[CrashMark], begun_parts: Collection[str]
) -> dict[str, Finding]:
    """Return the findings on prompt parts and on contents, by key.

    Contents have a finding only if they are named.
    """
    marks_by_content: dict[str, list[CrashMark]] = {}
    part_marks: list[CrashMark] = []
    for mark in marks:
        if not is_content(mark.part):
            part_marks.append(mark)
        elif not mark.is_cleared:
            marks_by_content.setdefault(mark.part, []).append(mark)
    findings = attribute(part_marks, begun_parts)
    for content, content_marks in marks_by_content.items():
        crashes = separate_occasions(content_marks)
        if crashes >= CONTENT_CRASHES:
            findings[content] = _named(content, content_marks, crashes)
    return findings


def _named(content: str, marks: list[CrashMark], crashes: int) -> Finding:
    last_at = max(mark.at for mark in marks)
    return Finding(
        content, VERDICT_SCORE, crashes, last_at, following=0, is_named=True
    )
