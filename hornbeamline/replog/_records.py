"""Record format with checksums of the log, vote and snapshot files."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from typing import Final, NamedTuple, TypeVar

from hornbeamline.helpers.codec import CodecError, decode, encode
from hornbeamline.replog._entries import Run
from hornbeamline.replog.errors import LogStoppedError

_MAGIC: Final = b'hbl1'
# Magic number, body length, CRC of the body, CRC of these three fields.
_HEADER: Final = struct.Struct('>4sIII')
_HEADER_PART: Final = struct.Struct('>4sII')

_ContentT = TypeVar('_ContentT')


class Record(NamedTuple):
    """A valid record of a file, with its start and end offsets."""

    body: bytes
    start: int
    end: int


def pack(content: object) -> bytes:
    """Return a value encoded as a record."""
    body = encode(content)
    part = _HEADER_PART.pack(_MAGIC, len(body), zlib.crc32(body))
    return part + struct.pack('>I', zlib.crc32(part)) + body


def unpack(raw: bytes, content_type: type[_ContentT], source: str) -> _ContentT:
    """Decode a file that consists of one record.

    `source` names the file in errors. Raises `LogStoppedError` if the file
    is corrupt.
    """
    record = read_record(raw, 0)
    if record is None or record.end != len(raw):
        raise LogStoppedError(f'{source}: checksum mismatch')
    return decode_body(record.body, content_type, source)


def decode_body(
    body: bytes, content_type: type[_ContentT], source: str
) -> _ContentT:
    """Decode the body of a record; raises `LogStoppedError`."""
    try:
        return decode(body, content_type)
    except CodecError as error:
        raise LogStoppedError(f'{source}: cannot decode: {error}') from error


def read_record(raw: bytes, start: int) -> Record | None:
    """Return the record at an offset, or None if it is not valid."""
    length = _body_length(raw, start)
    if length is None:
        return None
    body_start = start + _HEADER.size
    body = raw[body_start : body_start + length]
    checksum = _HEADER_PART.unpack_from(raw, start)[2]
    if len(body) != length or zlib.crc32(body) != checksum:
        return None
    return Record(body, start, body_start + length)


def scan(raw: bytes, *, may_be_torn: bool, source: str) -> Iterator[Record]:
    """Yield the records of a log file, up to a torn write at its end.

    Every record is synced before the next one is written, so only the last
    record of the last file can be torn. An invalid record that is followed
    by a valid one or by another file is corrupt: raises `LogStoppedError`.
    """
    start = 0
    while start < len(raw):
        record = read_record(raw, start)
        if record is None:
            if not may_be_torn or _has_record_after(raw, start):
                raise LogStoppedError(
                    f'{source}: corrupt record at offset {start}',
                )
            return
        yield record
        start = record.end


def decode_runs(record: Record, source: str) -> list[Run]:
    """Decode the entries of a log record; raises `LogStoppedError`."""
    return decode_body(record.body, list[Run], source)


def _body_length(raw: bytes, start: int) -> int | None:
    if start + _HEADER.size > len(raw):
        return None
    magic, length, _, checksum = _HEADER.unpack_from(raw, start)
    part = raw[start : start + _HEADER_PART.size]
    if magic != _MAGIC or zlib.crc32(part) != checksum:
        return None
    return int(length)


def _has_record_after(raw: bytes, start: int) -> bool:
    # The length of the invalid record may be wrong, so every later offset
    # with the magic number is tried. If the header is valid, its body is
    # skipped, as it may contain any bytes, even those of a record.
    length = _body_length(raw, start)
    after = start + 1 if length is None else start + _HEADER.size + length
    found = raw.find(_MAGIC, after)
    while found >= 0:
        if read_record(raw, found) is not None:
            return True
        found = raw.find(_MAGIC, found + 1)
    return False
