"""Splits a byte stream into complete server-sent events."""

from __future__ import annotations

import re
from typing import Final, NamedTuple

from hornbeamline.gateway.errors import MayHaveRunError

# A run of comments and empty lines, or one event of lines that are not empty.
# Possessive, so that the time is linear in the size.
_NEXT: Final = re.compile(
    rb'(?P<comments>(?:(?::[^\n]*+\n)*+\n)++)|(?:[^\n]++\n)++\n'
)
_END: Final = b'\n\n'
_ID: Final = re.compile(rb'^id:[ ]?(\d{1,18})[ \r]*$', re.MULTILINE)
# Far above the size of any event of a token stream.
MAX_EVENT_BYTES: Final = 1_048_576


class StreamEvent(NamedTuple):
    """One complete event, including its terminator.

    Consecutive events without content, such as heartbeats, are one comment.
    """

    raw: bytes
    id: int | None
    is_comment: bool


class EventSplitter:
    """Buffer bytes and return the events that are complete."""

    def __init__(self) -> None:
        """Create a splitter at the start of a stream."""
        self._rest = b''

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._rest)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that `chunk` completes.

        Raises `MayHaveRunError` when an event exceeds `MAX_EVENT_BYTES`.
        """
        buffered = self._rest + chunk
        events = []
        position = 0
        if not self._rest or buffered.find(_END, len(self._rest) - 1) >= 0:
            while match := _NEXT.match(buffered, position):
                position = match.end()
                events.append(_event_of(match))
        self._rest = buffered[position:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise MayHaveRunError('stream event exceeds the size limit')
        return events


def _event_of(match: re.Match[bytes]) -> StreamEvent:
    raw = match.group()
    if match.lastgroup == 'comments':
        return StreamEvent(raw, None, is_comment=True)
    found = _ID.search(raw)
    event_id = None if found is None else int(found.group(1))
    return StreamEvent(raw, event_id, is_comment=False)
