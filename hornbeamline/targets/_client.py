"""Calls to targets over HTTP/1.1 by aiohttp."""

from __future__ import annotations

from typing import Final

import aiohttp

from hornbeamline.helpers.codec import CodecError, decode_json, encode_json
from hornbeamline.inventory import Target
from hornbeamline.targets._messages import StageAnswer, TargetCall
from hornbeamline.targets.errors import (
    TargetFailedError,
    TargetLostError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
)

CONNECT_TIMEOUT_S: Final = 1.0
IDLE_REUSE_S: Final = 2.0
HEADER_NOT_RUN: Final = 'X-Not-Run'
HEADER_LEAVING: Final = 'X-Leaving'
_HTTP_OK: Final = 200
_REFUSAL_STATUSES: Final = frozenset((429, 503))


class TargetClient:
    """Pool of connections to targets."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        connector = aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=IDLE_REUSE_S,
        )
        self._session = aiohttp.ClientSession(connector=connector)

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        name: str,
        target: Target,
        call: TargetCall,
    ) -> StageAnswer:
        """Run one stage at a target and return its whole answer.

        Raises `TargetUnreachableError` and `TargetRefusedError` when the
        call provably did not run, `TargetLostError`, `TargetTimeoutError`
        and `TargetFailedError` when it may have run.
        """
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(
            total=call.timeout_s,
            sock_connect=CONNECT_TIMEOUT_S,
        )
        try:
            async with self._session.post(
                f'http://{target.address}/v1/run',
                data=encode_json(call.payload),
                headers=_headers(call),
                timeout=timeout,
            ) as response:
                body = await response.read()
                return _checked_answer(name, call, response, body)
        except aiohttp.ClientConnectorError as error:
            raise TargetUnreachableError(f'{name}: {error}') from error
        except TimeoutError as error:
            raise TargetTimeoutError(f'{name}: no answer in time') from error
        except aiohttp.ClientError as error:
            raise TargetLostError(f'{name}: {error!r}') from error


def _headers(call: TargetCall) -> dict[str, str]:
    headers = {
        'Content-Type': 'application/json',
        'X-Request-Id': call.request_id,
        'X-Deadline-Ms': str(int(call.timeout_s * 1000)),
        'X-Priority': str(call.priority),
    }
    if call.request_key:
        headers['Idempotency-Key'] = call.request_key
    return headers


def _checked_answer(
    name: str,
    call: TargetCall,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> StageAnswer:
    refused = response.headers.get(HEADER_NOT_RUN) == 'true'
    if refused and response.status in _REFUSAL_STATUSES:
        leaving = response.headers.get(HEADER_LEAVING) == 'true'
        raise TargetRefusedError(name, leaving=leaving)
    if response.status != _HTTP_OK:
        raise TargetFailedError(f'{name}: status {response.status}')
    try:
        answer = decode_json(body, StageAnswer)
    except CodecError as error:
        raise TargetFailedError(f'{name}: {error}') from error
    # A late answer on a reused connection must not reach another request.
    if answer['request_id'] != call.request_id:
        raise TargetFailedError(f'{name}: answer of another request')
    return answer
