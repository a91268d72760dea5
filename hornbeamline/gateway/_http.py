"""HTTP client for targets: one connection per attempt, no retries."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Final

import aiohttp
import yarl

from hornbeamline.gateway.errors import (
    ConnectionDeniedError,
    MayHaveRunError,
    TargetGoneError,
)
from hornbeamline.helpers.http_client import forbid_resend
from hornbeamline.targets import (
    GuardedConnector,
    SendProgress,
    track_send_progress,
)
from hornbeamline.telemetry import log_event

# Less than the 1 s after which a lost handshake packet is sent again: a path
# that loses these packets is worse than the path to any other target.
CONNECT_TIMEOUT_S: Final = 0.9
# Several round trips between data centres.
CHECK_TIMEOUT_S: Final = 0.1
MAX_ANSWER_BYTES: Final = 8_388_608
# Total size of all buffered responses above which responses that are not small
# are abandoned: those of several targets could together exhaust the memory.
MAX_BUFFERED_BYTES: Final = 33_554_432
SMALL_ANSWER_BYTES: Final = 262_144
_SKIPPED_HEADERS: Final = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


class _BufferedBytes:
    """Total size of the responses that are being buffered."""

    def __init__(self) -> None:
        self.total = 0

    def check(self, size: int) -> None:
        """Raise `MayHaveRunError` if a response of `size` is too large."""
        is_over_total = self.total > MAX_BUFFERED_BYTES
        if size > MAX_ANSWER_BYTES or (
            is_over_total and size > SMALL_ANSWER_BYTES
        ):
            raise MayHaveRunError('response exceeds the size limit')


class TargetResponse:
    """Response of a target whose body can be read."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        buffered: _BufferedBytes,
    ) -> None:
        """Wrap a response whose head has been read."""
        self._response = response
        self._buffered = buffered
        connection = response.connection
        self._protocol = None if connection is None else connection.protocol
        self.status = response.status
        self.headers: Sequence[tuple[bytes, bytes]] = response.raw_headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises `MayHaveRunError` if the response is incomplete.
        """
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise MayHaveRunError(
                f'connection failed while the response was read: {error!r}'
            ) from error
        self._check_end()

    async def body(self) -> bytes:
        """Return the whole body.

        Raises `MayHaveRunError` if it is incomplete or too large.
        """
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
            raise MayHaveRunError(f'connection was lost: {lost!r}')


class TargetHttp:
    """Open a connection for each call and close it afterwards.

    A connection that is used once cannot deliver a late response to an
    earlier request and cannot be stale. Only the forwarder decides whether a
    request is sent again.
    """

    def __init__(self) -> None:
        """Create a client; `start` opens its session."""
        self._session: aiohttp.ClientSession | None = None
        self._buffered = _BufferedBytes()

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the responses that are being buffered."""
        return self._buffered.total

    async def start(self) -> None:
        """Open the client session."""
        self._session = aiohttp.ClientSession(
            connector=GuardedConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            middlewares=(forbid_resend,),
            skip_auto_headers=_SKIPPED_HEADERS,
        )

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def is_listening(self, address: str) -> bool:
        """Return whether a target still accepts connections.

        After the loss of a connection, this tells an ended target from one
        that has closed or reset the connection. False only if the connection
        is refused: a silent path proves nothing about the target.
        """
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return False
        except (OSError, ValueError) as error:
            log_event(
                'targets.check_failed', address=address, error=repr(error)
            )
            return True
        writer.transport.abort()
        return True

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
        """Send a request and yield the response once its head is received.

        `on_sent` is called when the connection is open. Raises
        `TargetGoneError` if nothing was sent, `MayHaveRunError` otherwise.
        There is no timeout beyond that of the connect; the caller sets one.
        """
        assert self._session is not None
        progress = SendProgress(on_sent)
        url = yarl.URL(f'http://{address}{raw_target}', encoded=True)
        try:
            with track_send_progress(progress):
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
        """Return a response and its body; raises the errors of `send`."""
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
    if isinstance(getattr(error, 'os_error', error), ConnectionRefusedError):
        return ConnectionDeniedError(repr(error))
    return TargetGoneError(repr(error))
