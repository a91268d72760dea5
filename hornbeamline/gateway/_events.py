"""Splits a byte stream into complete server-sent events."""

from __future__ import annotations

import re
from typing import Final, NamedTuple

from hornbeamline.gateway.errors import MayHaveRunError

_END: Final = b'\n\n'
_ID: Final = re.compile(rb'^id:[ ]?(\d+)[ \r]*$', re.MULTILINE)
# Far above the size of any event of a token stream.
MAX_EVENT_BYTES: Final = 1_048_576


class StreamEvent(NamedTuple):
    """One complete event, including its terminator."""

    raw: bytes
    id: int | None

    @property
    def is_comment(self) -> bool:
        """Return whether the event has no content, as a heartbeat."""
        return all(
            line.startswith(b':') for line in self.raw.splitlines() if line
        )


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
        parts = (self._rest + chunk).split(_END)
        self._rest = parts.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise MayHaveRunError('stream event exceeds the size limit')
        return [StreamEvent(raw + _END, _id_of(raw)) for raw in parts]


def _id_of(raw: bytes) -> int | None:
    match = _ID.search(raw)
    return None if match is None else int(match.group(1))
