"""HTTP/1.1 client for engine reports and orders."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

from hornbeamline.helpers.codec import CodecError, decode_json, encode_json
from hornbeamline.helpers.http_client import BoundedConnector, forbid_resend
from hornbeamline.inventory import Target
from hornbeamline.orders._messages import EngineReport, OrderBody
from hornbeamline.orders.const import MAX_REPORT_BYTES
from hornbeamline.orders.errors import (
    EngineUnreadableError,
    OrderLostError,
    OrderNotSentError,
    OrderRefusedError,
    StaleFencingError,
)

_HTTP_OK: Final = 200
_HTTP_CONFLICT: Final = 409
_HTTP_MULTIPLE_CHOICES: Final = 300
_HTTP_SERVER_ERROR: Final = 500


class EngineClient(Protocol):
    """Network interface that the order service needs."""

    async def report(self, target: Target, timeout_s: float) -> EngineReport:
        """Return the report of an engine; raises `EngineUnreadableError`."""

    async def order(
        self,
        target: Target,
        body: OrderBody,
        may_write: Callable[[], bool],
        timeout_s: float,
    ) -> None:
        """Send an order.

        Calls `may_write` immediately before the write. Raises
        `OrderNotSentError` or `OrderRefusedError` when the order has no
        effect, and `OrderLostError` when it may have one.
        """

    async def close(self) -> None:
        """Close all connections."""


class _GuardedPayload(BytesPayload):
    """Request body that is written only when `may_write` allows it.

    The check and the write happen in the same event loop step, so no other
    task runs in between. Headers that were already written without a body
    have no effect at the engine.
    """

    def __init__(self, body: bytes, may_write: Callable[[], bool]) -> None:
        super().__init__(body, content_type='application/json')
        self._may_write = may_write
        self.was_refused = False
        self.was_written = False

    async def write(self, writer: AbstractStreamWriter) -> None:
        await self.write_with_length(writer, None)

    async def write_with_length(
        self,
        writer: AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        if not self._may_write():
            self.was_refused = True
            raise OrderNotSentError(
                'order not written: leadership is not proven'
            )
        self.was_written = True
        await super().write_with_length(writer, content_length)


class HttpEngineClient:
    """aiohttp client that opens a new connection for each call."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._session: aiohttp.ClientSession | None = None

    async def report(self, target: Target, timeout_s: float) -> EngineReport:
        """Return the report of an engine; raises `EngineUnreadableError`."""
        try:
            async with self._get_session().get(
                f'http://{target.address}/v1/engine',
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                return await _read_report(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise EngineUnreadableError(
                f'{target.address}: {error!r}',
            ) from error

    async def order(
        self,
        target: Target,
        body: OrderBody,
        may_write: Callable[[], bool],
        timeout_s: float,
    ) -> None:
        """Send an order; see `EngineClient.order`."""
        payload = _GuardedPayload(encode_json(body), may_write)
        try:
            async with self._get_session().post(
                f'http://{target.address}/v1/orders',
                data=payload,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                _check_status(target, response.status)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            text = f'{target.address}: {error!r}'
            if payload.was_refused or not payload.was_written:
                raise OrderNotSentError(text) from error
            raise OrderLostError(text) from error

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # Connections are not reused: a stalled one must not delay an
            # order beyond its in-flight time.
            connector = BoundedConnector(limit=0, force_close=True)
            self._session = aiohttp.ClientSession(
                connector=connector,
                middlewares=(forbid_resend,),
            )
        return self._session


async def _read_report(response: aiohttp.ClientResponse) -> EngineReport:
    if response.status != _HTTP_OK:
        raise EngineUnreadableError(
            f'engine report has HTTP status {response.status}'
        )
    content = bytearray()
    async for chunk in response.content.iter_any():
        content.extend(chunk)
        if len(content) > MAX_REPORT_BYTES:
            raise EngineUnreadableError('engine report exceeds the size limit')
    try:
        return decode_json(bytes(content), EngineReport)
    except CodecError as error:
        raise EngineUnreadableError(str(error)) from error


def _check_status(target: Target, status: int) -> None:
    text = f'{target.address}: HTTP status {status}'
    if status == _HTTP_CONFLICT:
        raise StaleFencingError(text)
    if status >= _HTTP_SERVER_ERROR:
        # The engine may have failed after it started the order.
        raise OrderLostError(text)
    if status >= _HTTP_MULTIPLE_CHOICES:
        raise OrderRefusedError(text)
