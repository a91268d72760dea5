"""Checksummed records of the log file, the vote file and snapshots."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from typing import Final, NamedTuple, TypeVar

from hornbeamline.helpers.codec import CodecError, decode, encode
from hornbeamline.replog._entries import Run
from hornbeamline.replog.errors import LogStoppedError

_MAGIC: Final = b'hbl1'
# Magic, body length, body CRC, CRC of the three before.
_HEADER: Final = struct.Struct('>4sIII')
_HEADER_PART: Final = struct.Struct('>4sII')

_ContentT = TypeVar('_ContentT')


class Record(NamedTuple):
    """A record found in a file."""

    body: bytes
    start: int
    end: int


def pack(content: object) -> bytes:
    """Return the record of a value."""
    body = encode(content)
    part = _HEADER_PART.pack(_MAGIC, len(body), zlib.crc32(body))
    return part + struct.pack('>I', zlib.crc32(part)) + body


def unpack(raw: bytes, kind: type[_ContentT], place: str) -> _ContentT:
    """Return the value of a whole file; raises `LogStoppedError`."""
    record = read_record(raw, 0)
    if record is None or record.end != len(raw):
        raise LogStoppedError(f'{place}: checksum mismatch')
    return decode_body(record.body, kind, place)


def decode_body(body: bytes, kind: type[_ContentT], place: str) -> _ContentT:
    """Return the value of a record; raises `LogStoppedError`."""
    try:
        return decode(body, kind)
    except CodecError as error:
        raise LogStoppedError(f'{place}: unknown content: {error}') from error


def read_record(raw: bytes, start: int) -> Record | None:
    """Return the record at an offset, or None if it is not whole."""
    length = _body_length(raw, start)
    if length is None:
        return None
    body_start = start + _HEADER.size
    body = raw[body_start : body_start + length]
    checksum = _HEADER_PART.unpack_from(raw, start)[2]
    if len(body) != length or zlib.crc32(body) != checksum:
        return None
    return Record(body, start, body_start + length)


def scan(raw: bytes, *, may_be_torn: bool, place: str) -> Iterator[Record]:
    """Yield the records of a log file up to a torn tail.

    Every record is synced before the next one is written, so only the last
    one can be torn. A bad record with a good one after it, or in a file
    that has a successor, is corrupt: raises `LogStoppedError`.
    """
    start = 0
    while start < len(raw):
        record = read_record(raw, start)
        if record is None:
            if not may_be_torn or _has_record_after(raw, start):
                raise LogStoppedError(
                    f'{place}: corrupt record at offset {start}',
                )
            return
        yield record
        start = record.end


def runs_of(record: Record, place: str) -> list[Run]:
    """Return the entries of a log record; raises `LogStoppedError`."""
    return decode_body(record.body, list[Run], place)


def _body_length(raw: bytes, start: int) -> int | None:
    if start + _HEADER.size > len(raw):
        return None
    magic, length, _, checksum = _HEADER.unpack_from(raw, start)
    part = raw[start : start + _HEADER_PART.size]
    if magic != _MAGIC or zlib.crc32(part) != checksum:
        return None
    return int(length)


def _has_record_after(raw: bytes, start: int) -> bool:
    # The length of the bad record cannot be trusted, so every later offset
    # with the magic number is tried. A sound header is skipped with its
    # body, which may hold any bytes, also those of a record.
    length = _body_length(raw, start)
    after = start + 1 if length is None else start + _HEADER.size + length
    found = raw.find(_MAGIC, after)
    while found >= 0:
        if read_record(raw, found) is not None:
            return True
        found = raw.find(_MAGIC, found + 1)
    return False
