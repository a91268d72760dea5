"""Parser of token streams that does little work per token."""

from __future__ import annotations

from typing import Final

from hornbeamline.helpers.codec import CodecError, decode_json
from hornbeamline.targets._messages import TokenBatch, Usage
from hornbeamline.targets.errors import TargetFailedError

_EVENT_END: Final = b'\n\n'
_TOKEN_START: Final = b'event: token\nid: '
_DONE_START: Final = b'event: done\ndata: '
# Limits the buffer for an incomplete event; valid events are smaller.
_MAX_EVENT_BYTES: Final = 65_536


class StreamParser:
    """Splits a stream into batches of complete events.

    Only the first and last index of a batch are parsed. Together with the
    number of events, they reveal missing and repeated tokens.
    """

    def __init__(
        self,
        target: str,
        next_index: int,
        software_version: str | None = None,
    ) -> None:
        """Create a parser that expects `next_index` as the first index.

        `target` is the name of the target in error messages, and
        `software_version` the version that it has stated.
        """
        self._target = target
        self._software_version = software_version
        self._incomplete_event = b''
        self.next_index = next_index
        self.usage: Usage | None = None

    def feed(self, chunk: bytes) -> TokenBatch | None:
        """Return the new complete token events, None if there are none.

        Raises `TargetFailedError` if the stream is invalid.
        """
        received = (
            self._incomplete_event + chunk if self._incomplete_event else chunk
        )
        end = received.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            end = 0
        self._incomplete_event = received[end:]
        if len(self._incomplete_event) > _MAX_EVENT_BYTES:
            raise TargetFailedError(
                f'{self._target}: event in token stream too long',
            )
        events = self._extract_usage(received[:end])
        return self._validate_batch(events) if events else None

    def _extract_usage(self, events: bytes) -> bytes:
        done_at = events.find(_DONE_START)
        if done_at < 0:
            return events
        done = events[done_at + len(_DONE_START) :]
        try:
            self.usage = decode_json(done, Usage)
        except CodecError as error:
            raise TargetFailedError(f'{self._target}: {error}') from error
        return events[:done_at]

    def _validate_batch(self, events: bytes) -> TokenBatch | None:
        first = self._index_at(events, 0)
        count = events.count(_EVENT_END)
        if first < self.next_index:
            # An engine that ignores `resume_from` resends earlier tokens.
            events, count = self._drop_known_tokens(events)
            if not count:
                return None
            first = self._index_at(events, 0)
        last_at = events.rfind(_TOKEN_START)
        last = self._index_at(events, last_at)
        if first != self.next_index or last != first + count - 1:
            raise TargetFailedError(
                f'{self._target}: tokens {first} to {last} in {count} events,'
                f' expected from {self.next_index}',
            )
        self.next_index = last + 1
        return TokenBatch(first, count, events, self._software_version)

    def _drop_known_tokens(self, events: bytes) -> tuple[bytes, int]:
        kept = [
            event + _EVENT_END
            for event in events.split(_EVENT_END)
            if event and self._index_at(event, 0) >= self.next_index
        ]
        return b''.join(kept), len(kept)

    def _index_at(self, events: bytes, position: int) -> int:
        start = position + len(_TOKEN_START)
        digits = events[start : events.find(b'\n', start)]
        if events[max(position, 0) : start] != _TOKEN_START:
            raise TargetFailedError(
                f'{self._target}: invalid event in token stream',
            )
        try:
            return int(digits)
        except ValueError as error:
            raise TargetFailedError(f'{self._target}: {error}') from error
