"""HTTP protocol of all listeners, with bounds on what clients may use."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, cast

import httptools
from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from hornbeamline.clients._bounded import BoundedProtocol
from hornbeamline.clients._budget import (
    DROP_BODY_LATE,
    DROP_CROWDED,
    DROP_HEAD_LATE,
    DROP_UNREAD,
    SMALL_BYTES,
    Phase,
    Share,
)
from hornbeamline.clients._framing import ChunkedBody, HeadReader, SizedBody
from hornbeamline.clients._interface import HeadRefusal
from hornbeamline.clients._limits import BODY_COPIES
from hornbeamline.clients._listener import ListenerTerms
from hornbeamline.clients.errors import BodyTooLargeError, FramingError

# A decoded field takes about this much besides its bytes.
_FIELD_BYTES: Final = 192
# Bodies up to this size are read before the application sees the head; to
# check the head separately would cost more.
_UNCHECKED_BYTES: Final = 16_384
# Requests of less are part of what a connection is expected to take.
_UNCOUNTED_BYTES: Final = 8_192
# Bytes that are discarded after a refusal, so that a client which sends its
# whole body before it reads gets the response.
_MAX_DISCARDED: Final = 8_388_608
_RETRY_AFTER_S: Final = 1.0
# Key of the application state with the time at which the head was complete,
# on the clock of the event loop. Set if the body took further reads.
HEAD_AT: Final = 'hornbeamline.head_at'

_TIMED_OUT: Final = 408
_UNAVAILABLE: Final = 503
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_STATUS_BY_DROP: Final[Mapping[str, int]] = MappingProxyType(
    {
        DROP_CROWDED: _UNAVAILABLE,
        DROP_HEAD_LATE: _TIMED_OUT,
        DROP_BODY_LATE: _TIMED_OUT,
    }
)


class ClientProtocol(BoundedProtocol):
    """Connection of a client within the budget of the process.

    Bytes reach the parser only as whole heads, and as parts of one body.
    What follows a request that has not been answered is held back.
    """

    def __init__(self, terms: ListenerTerms, **arguments: Any) -> None:
        """Create a protocol; uvicorn passes the arguments."""
        super().__init__(**arguments)
        self._terms = terms
        self._budget = terms.budget
        self._share: Share = cast(Share, None)
        self._heads = HeadReader()
        self._body: SizedBody | ChunkedBody | None = None
        self._held_back = b''
        self._discarded = 0
        self._is_refused = False

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Join the budget, or refuse the connection."""
        super().connection_made(transport)
        address = self.client[0] if self.client else ''
        self._share = Share(
            address, self._dropped, transport.get_write_buffer_size
        )
        self._terms.arm()
        if not self._budget.open(self._share):
            self._refuse(_UNAVAILABLE, DROP_CROWDED)

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the budget and free what the connection holds."""
        super().connection_lost(exc)
        self._budget.close(self._share)
        self._share.detach()
        self._held_back = b''
        self._forget_request()

    def data_received(self, data: bytes) -> None:
        """Process bytes of the client, which arrive in any pieces."""
        phase = self._share.phase
        if phase is Phase.REFUSED:
            self._discarded += len(data)
            if self._discarded > _MAX_DISCARDED:
                self.transport.abort()
        elif phase is Phase.RUNNING:
            self._hold_back(data)
        elif not self.transport.is_closing():
            self._read(data)

    def pause_writing(self) -> None:
        """Pause the source of the response; count what is unsent."""
        super().pause_writing()
        self._budget.note_unread(
            self._share, self.transport.get_write_buffer_size()
        )

    def resume_writing(self) -> None:
        """Resume the source of the response."""
        super().resume_writing()
        self._budget.note_unread(self._share, 0)
        if self._share.phase is Phase.RUNNING and self._is_answered:
            self._end_request()

    def on_response_complete(self) -> None:
        """Get ready for the next request once the response is sent."""
        self.server_state.total_requests += 1
        if self.transport.is_closing():
            return
        if self._share.phase is Phase.RUNNING and not self._share.unread:
            self._end_request()

    def _hold_back(self, data: bytes) -> None:
        """Keep what follows a request that has not been answered.

        Without room, the connection closes after the response, as a server
        may; the further requests have not run.
        """
        self.transport.pause_reading()
        self._held_back += data
        share = self._share
        if not self._budget.reserve(share, share.held + len(data)):
            self._held_back = b''
            self.cycle.keep_alive = False

    def _end_request(self) -> None:
        self._budget.release(self._share)
        self._budget.enter(self._share, Phase.IDLE)
        if self._held_back and not self.transport.is_closing():
            held_back = self._held_back
            self._held_back = b''
            self.transport.resume_reading()
            self._read(held_back)

    def _read(self, data: bytes) -> None:
        """Pass bytes to the parser up to the end of one request."""
        try:
            while data and self._share.phase is not Phase.REFUSED:
                if self._share.phase is Phase.RUNNING:
                    self._hold_back(data)
                    return
                data = self._advance(data)
        except FramingError as error:
            self._refuse(error.status, error.reason)
        except httptools.HttpParserError:
            self._refuse(FramingError.status, FramingError.reason)

    def _advance(self, data: bytes) -> bytes:
        """Process the next head or part of a body; return what follows."""
        if self._body is not None:
            return self._advance_body(self._body, data)
        whole = self._heads.take(data, self._terms.max_header_bytes)
        if whole is None:
            self._keep_head()
            return b''
        return self._begin(*whole)

    def _keep_head(self) -> None:
        if self._share.phase is Phase.IDLE and self._heads.has_begun:
            self._budget.enter(self._share, Phase.HEAD)
        if not self._budget.reserve(self._share, self._heads.held_bytes):
            self._refuse(_UNAVAILABLE, DROP_CROWDED)

    def _begin(self, head: bytes, rest: bytes) -> bytes:
        """Begin the request of a whole head; return what follows it."""
        self._is_message_complete = False
        self._feed(head)
        length = self._body_length()
        if not 0 <= length <= len(rest):
            self._admit(length)
            return rest
        if self._reserve(length):
            # The usual case: the whole request has arrived at once.
            if length:
                self._feed(rest[:length])
            if not self._is_message_complete:
                raise FramingError('the end of the body is ambiguous')
            self._complete()
        return rest[length:]

    def _admit(self, length: int) -> None:
        """Decide from the head whether to read the body."""
        share = self._share
        if self._terms.reads_whole and not self._check_head(length):
            return
        self._budget.enter(share, Phase.BODY)
        if not self._reserve(max(length, 0)):
            return
        if length < 0:
            self._body = ChunkedBody(
                self._terms.max_body_bytes, self._terms.max_header_bytes
            )
        else:
            self._body = SizedBody(length)
        if not self._terms.reads_whole:
            self._run()
        elif self.cycle.waiting_for_100_continue:
            self.cycle.waiting_for_100_continue = False
            self.transport.write(_CONTINUE)

    def _check_head(self, length: int) -> bool:
        """Return whether the application and the size allow the request."""
        self.cycle.scope['state'][HEAD_AT] = self.loop.time()
        if not 0 <= length <= _UNCHECKED_BYTES:
            verdict = self._terms.checks.check(self.scope)
            if isinstance(verdict, HeadRefusal):
                self._refuse_with(verdict)
                return False
            if verdict:
                self._budget.identify(self._share, verdict)
        if length > self._terms.max_body_bytes:
            raise BodyTooLargeError('the stated length exceeds the limit')
        return True

    def _reserve(self, body_bytes: int) -> bool:
        """Reserve what the request takes; refuse it without room."""
        size = (1 + self._field_count()) * _FIELD_BYTES
        size += body_bytes * BODY_COPIES
        budget = self._budget
        # Unread responses may exceed the budget.
        if size < _UNCOUNTED_BYTES and budget.used <= budget.capacity:
            return True
        if budget.reserve(self._share, size):
            return True
        self._refuse(_UNAVAILABLE, DROP_CROWDED)
        return False

    def _advance_body(
        self, body: SizedBody | ChunkedBody, data: bytes
    ) -> bytes:
        """Pass bytes of a body on; return those after it."""
        used = body.take(data)
        if isinstance(body, ChunkedBody) and not self._reserve_chunks(body):
            return b''
        self._feed(data if used == len(data) else data[:used])
        if body.error is not None:
            raise body.error
        if body.is_complete != self._is_message_complete:
            raise FramingError('the end of the body is ambiguous')
        if body.is_complete:
            self._complete()
        else:
            self._budget.touch(self._share)
        return data[used:]

    def _reserve_chunks(self, body: ChunkedBody) -> bool:
        """Reserve twice what has been announced, at most a whole body."""
        needed = body.declared_bytes * BODY_COPIES
        if needed <= self._share.held or body.error is not None:
            return True
        most = self._terms.max_body_bytes * BODY_COPIES
        for wanted in (min(max(2 * needed, SMALL_BYTES), most), needed):
            if self._budget.reserve(self._share, wanted):
                return True
        self._refuse(_UNAVAILABLE, DROP_CROWDED)
        return False

    def _complete(self) -> None:
        """Run a request that has arrived in full."""
        self._body = None
        self._budget.enter(self._share, Phase.RUNNING)
        if self._is_answered:
            # The application has answered before the end of the body.
            self._end_request()
        else:
            self._run()

    def _dropped(self, reason: str) -> None:
        """End the connection, or the request that is not running."""
        status = _STATUS_BY_DROP.get(reason)
        if self._share.phase is not Phase.REFUSED:
            self._terms.note_closed(reason, self._share)
            if reason == DROP_UNREAD:
                self.transport.abort()
            else:
                self.transport.close()
        elif status is None or self._is_refused:
            self.transport.abort()
        else:
            self._refuse(status, reason)

    def _refuse(self, status: int, reason: str) -> None:
        retry_after_s = _RETRY_AFTER_S if status == _UNAVAILABLE else None
        # The head is known if the request could run.
        scope: Any = {} if self._waiting_app is None else self.scope
        self._refuse_with(
            self._terms.checks.refusal(scope, status, reason, retry_after_s)
        )

    def _refuse_with(self, refusal: HeadRefusal) -> None:
        """Answer, stop sending, and discard what the client still sends.

        A connection that is closed with unread bytes is reset, and the client
        may lose the response.
        """
        self._is_refused = True
        self._terms.note_refused(refusal, self._share)
        self._budget.release(self._share)
        self._budget.enter(self._share, Phase.REFUSED)
        self._body = None
        self._heads = HeadReader()
        has_run = self._forget_request()
        if self.transport.is_closing():
            return
        if has_run:
            # Nothing is known of what the application has done.
            self.transport.close()
            return
        self.transport.write(_encode(refusal))
        self.transport.write_eof()


def _encode(refusal: HeadRefusal) -> bytes:
    lines = [STATUS_LINE[refusal.status]]
    for name, text in refusal.headers:
        lines.append(f'{name}: {text}\r\n'.encode('latin-1'))
    lines.append(b'Content-Length: %d\r\n' % len(refusal.body))
    lines.append(b'Connection: close\r\n\r\n')
    lines.append(refusal.body)
    return b''.join(lines)
