"""HTTP client for targets: one connection an attempt, nothing repeated."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any, Final

import aiohttp
import yarl
from aiohttp.client_proto import ResponseHandler

from hornbeamline.gateway.errors import MayHaveRunError, TargetGoneError
from hornbeamline.targets import GuardedConnector, SendProgress, sending
from hornbeamline.telemetry import log_event

# Covers a lost packet of the handshake, which is sent again after 1 s only
# on a path that is worse than any other target's.
CONNECT_TIMEOUT_S: Final = 0.9
MAX_ANSWER_BYTES: Final = 8_388_608
# Bytes of all answers that are held at the same time; beyond it, answers that
# are not small are given up. Targets together could fill a host's memory.
MAX_BUFFERED_BYTES: Final = 33_554_432
SMALL_ANSWER_BYTES: Final = 262_144
# Bytes until the head of an answer is there, with interim heads and the
# first part of the body; a head alone has 8 KiB a line.
MAX_HEAD_BYTES: Final = 1_048_576
_SKIPPED_HEADERS: Final = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


class _GuardedHandler(ResponseHandler):
    """Remembers whether the connection ended by an error.

    aiohttp takes a reset for the end of an answer that has no length, and
    waits for the head for as long as interim heads come.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Take the event loop."""
        super().__init__(loop)
        self.lost_error: BaseException | None = None
        self.has_head = False
        self._head_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Take bytes, or close a connection that sends no head."""
        if not self.has_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES and self.transport:
                log_event('targets.endless_head', bytes=self._head_bytes)
                self.transport.abort()
                return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note the error, then go on as usual."""
        self.lost_error = exc
        super().connection_lost(exc)


class _BufferedBytes:
    """Bytes of answers that are held until they are whole."""

    def __init__(self) -> None:
        self.total = 0

    def check(self, size: int) -> None:
        """Raise `MayHaveRunError` if an answer has become too large."""
        is_over_total = self.total > MAX_BUFFERED_BYTES
        if size > MAX_ANSWER_BYTES or (
            is_over_total and size > SMALL_ANSWER_BYTES
        ):
            raise MayHaveRunError('answer is too large')


class TargetResponse:
    """Answer of a target while it is read."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        buffered: _BufferedBytes,
    ) -> None:
        """Take the response, whose head has been read."""
        self._response = response
        self._buffered = buffered
        connection = response.connection
        self._protocol = None if connection is None else connection.protocol
        if isinstance(self._protocol, _GuardedHandler):
            self._protocol.has_head = True
        self.status = response.status
        self.headers: Sequence[tuple[bytes, bytes]] = response.raw_headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raises `MayHaveRunError`."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise MayHaveRunError(f'answer broke off: {error!r}') from error
        self._check_end()

    async def body(self) -> bytes:
        """Return the whole body; raises `MayHaveRunError`."""
        collected = bytearray()
        try:
            async for chunk in self.chunks():
                collected += chunk
                self._buffered.total += len(chunk)
                self._buffered.check(len(collected))
        finally:
            self._buffered.total -= len(collected)
        return bytes(collected)

    def _check_end(self) -> None:
        lost = getattr(self._protocol, 'lost_error', None)
        if lost is not None:
            raise MayHaveRunError(f'connection was reset: {lost!r}')


class TargetHttp:
    """Opens a connection for every call and closes it afterwards.

    A connection that is used once can hold neither a late answer to an
    earlier request nor one that its other end has forgotten, and aiohttp
    has no reason to send anything again.
    """

    def __init__(self) -> None:
        """Create a client without a session."""
        self._session: aiohttp.ClientSession | None = None
        self._buffered = _BufferedBytes()

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes of answers that are not whole yet."""
        return self._buffered.total

    async def start(self) -> None:
        """Open the session."""
        connector = GuardedConnector(limit=0, force_close=True)
        handler: Any = functools.partial(
            _GuardedHandler,
            loop=asyncio.get_running_loop(),
        )
        connector._factory = handler
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_HEADERS,
        )

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    @contextlib.asynccontextmanager
    async def send(
        self,
        address: str,
        method: str,
        raw_target: str,
        headers: Sequence[tuple[str, str]],
        body: bytes | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> AsyncIterator[TargetResponse]:
        """Send a request and yield the answer once its head is there.

        `on_sent` is called when the connection is there. Raises
        `TargetGoneError` when nothing was sent, `MayHaveRunError` otherwise.
        The caller bounds the time.
        """
        assert self._session is not None
        progress = SendProgress(on_sent)
        url = yarl.URL(f'http://{address}{raw_target}', encoded=True)
        try:
            with sending(progress):
                response = await self._session.request(
                    method,
                    url,
                    headers=headers,
                    data=body,
                    allow_redirects=False,
                    timeout=_TIMEOUT,
                )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise _to_gateway_error(error, progress) from error
        try:
            yield TargetResponse(response, self._buffered)
        finally:
            response.close()

    async def fetch(
        self,
        address: str,
        method: str,
        raw_target: str,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> tuple[TargetResponse, bytes]:
        """Return a whole answer; raises as `send` does."""
        sent = self.send(address, method, raw_target, headers, body, on_sent)
        async with sent as response:
            return response, await response.body()


_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=None,
    sock_connect=CONNECT_TIMEOUT_S,
)


def _to_gateway_error(error: Exception, progress: SendProgress) -> Exception:
    if progress.may_be_sent:
        return MayHaveRunError(repr(error))
    return TargetGoneError(repr(error))
