"""Finds the ends of request heads and bodies, and enforces their limits.

The parser of the server reports neither the position of these ends nor an
unfinished field. Each reader accepts bytes in any pieces; the result depends
only on the bytes. The parser gets the same bytes and decides what they mean.
"""

from __future__ import annotations

from typing import Final

from hornbeamline.clients.errors import (
    BodyOverheadError,
    BodyTooLargeError,
    FramingError,
    HeadTooLargeError,
)

_LINE_END: Final = b'\r\n'
_HEAD_END: Final = b'\r\n\r\n'
_HEAD_END_BYTES: Final = 4
# Room for the request line and for clients that count only the fields.
_HEAD_SLACK: Final = 1.25
# A chunk size of a legal body has 6 digits; some clients write leading zeros.
_MAX_SIZE_DIGITS: Final = 16
_SIZE_LINE_BYTES: Final = _MAX_SIZE_DIGITS + 2
_HEX: Final = 16


class HeadReader:
    """Collects the bytes of one request head after another."""

    def __init__(self) -> None:
        """Create a reader at the start of a head."""
        self._kept = b''
        # Size of the empty lines before the head.
        self._skipped = 0

    @property
    def has_begun(self) -> bool:
        """Return whether bytes of an unfinished head have arrived."""
        return bool(self._kept or self._skipped)

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that are kept."""
        return len(self._kept)

    def take(self, data: bytes, max_bytes: int) -> tuple[bytes, bytes] | None:
        """Return a whole head and the bytes after it, or None without one.

        Raises `HeadTooLargeError` if the head and the empty lines before it
        exceed the limit.
        """
        max_bytes = int(max_bytes * _HEAD_SLACK)
        searched = max(len(self._kept) - _HEAD_END_BYTES, 0)
        if self._kept:
            data = self._kept + data
        else:
            size = len(data)
            data = data.lstrip(_LINE_END)
            self._skipped += size - len(data)
        end = data.find(_HEAD_END, searched)
        size = self._skipped
        size += len(data) if end < 0 else end + _HEAD_END_BYTES
        if size > max_bytes:
            raise HeadTooLargeError(f'the head exceeds {max_bytes} bytes')
        if end < 0:
            self._kept = data
            return None
        self._kept = b''
        self._skipped = 0
        end += _HEAD_END_BYTES
        if end == len(data):
            return data, b''
        return data[:end], data[end:]


class SizedBody:
    """Finds the end of a body of known length."""

    # No byte of a body of known length is over a limit.
    error: FramingError | None = None

    def __init__(self, length: int) -> None:
        """Create a reader for a body of `length` bytes."""
        self._left = length

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body has been taken."""
        return not self._left

    def take(self, data: bytes) -> int:
        """Return how many of the bytes belong to the body."""
        used = min(len(data), self._left)
        self._left -= used
        return used


class ChunkedBody:
    """Finds the end of a chunked body and limits what surrounds the data."""

    def __init__(self, max_bytes: int, max_overhead: int) -> None:
        """Create a reader with the limits of the data and of the rest.

        `max_overhead` applies to the sum of chunk extensions and trailers.
        """
        self._max_bytes = max_bytes
        self._max_overhead = max_overhead
        self.is_complete = False
        # What the limits refuse; no bytes are taken after it.
        self.error: FramingError | None = None
        # Size of all chunks whose size line is complete.
        self.declared_bytes = 0
        self._overhead = 0
        # Bytes of the present chunk, including its line end.
        self._chunk_left = 0
        self._is_in_trailers = False
        # The first bytes and the length of an unfinished line.
        self._line = b''
        self._line_bytes = 0

    def take(self, data: bytes) -> int:
        """Return how many of the bytes belong to the body.

        Bytes after an `error` do not; the parser may refuse those before it
        for another reason, which comes first.
        """
        position = 0
        while position < len(data) and not self._has_ended:
            if self._chunk_left:
                used = min(len(data) - position, self._chunk_left)
                self._chunk_left -= used
                position += used
            else:
                position = self._take_line(data, position)
        return position

    @property
    def _has_ended(self) -> bool:
        return self.is_complete or self.error is not None

    def _take_line(self, data: bytes, position: int) -> int:
        """Take the next bytes of a line; return the position after them."""
        allowed = self._max_overhead - self._overhead - self._line_bytes
        if not self._is_in_trailers:
            allowed += _SIZE_LINE_BYTES
        end = data.find(b'\n', position, position + allowed)
        stop = min(len(data), position + allowed) if end < 0 else end + 1
        free = _SIZE_LINE_BYTES - len(self._line)
        self._line += data[position : min(stop, position + free)]
        self._line_bytes += stop - position
        if end >= 0:
            try:
                self._end_line()
            except FramingError as error:
                self.error = error
        elif stop < len(data):
            self.error = BodyOverheadError(
                f'extensions and trailers exceed {self._max_overhead} bytes'
            )
        return stop

    def _end_line(self) -> None:
        line, size = self._line, self._line_bytes
        self._line = b''
        self._line_bytes = 0
        if self._is_in_trailers:
            self._overhead += size
            self.is_complete = line == _LINE_END
            return
        self._overhead += max(size - _SIZE_LINE_BYTES, 0)
        chunk = _parse_size(line)
        if not chunk:
            self._is_in_trailers = True
            return
        self.declared_bytes += chunk
        if self.declared_bytes > self._max_bytes:
            raise BodyTooLargeError(f'the body exceeds {self._max_bytes} bytes')
        self._chunk_left = chunk + len(_LINE_END)


def _parse_size(line: bytes) -> int:
    digits = line.partition(b';')[0].strip()
    if len(digits) <= _MAX_SIZE_DIGITS and digits.isalnum():
        try:
            return int(digits, _HEX)
        except ValueError as error:
            raise FramingError('unreadable chunk size') from error
    raise FramingError('unreadable chunk size')
