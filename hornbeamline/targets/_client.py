"""Calls to targets over HTTP/1.1 by aiohttp."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any, Final

import aiohttp

from hornbeamline.helpers.codec import CodecError, decode_json, encode_json
from hornbeamline.helpers.pause import read_pause_s
from hornbeamline.inventory import Target
from hornbeamline.targets._connections import (
    CONNECT_TIMEOUT_S,
    SendProgress,
    current_progress,
    open_session,
)
from hornbeamline.targets._messages import (
    CacheEventsBody,
    LoadBody,
    StageAnswer,
    TargetCall,
    TokenBatch,
    Usage,
)
from hornbeamline.targets._streams import StreamParser
from hornbeamline.targets.errors import (
    TargetFailedError,
    TargetLostError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
)

HEADER_NOT_RUN: Final = 'X-Not-Run'
HEADER_LEAVING: Final = 'X-Leaving'
HEADER_REQUEST_ID: Final = 'X-Request-Id'
# Answers above this size are refused while they are read.
MAX_ANSWER_BYTES: Final = 8_388_608
_HTTP_OK: Final = 200
_REFUSAL_STATUSES: Final = frozenset((429, 503))
_FLAG_SET: Final = 'true'
_REPORT_TIMEOUT_S: Final = 1.0
_BODY_END_S: Final = 0.02


class TargetClient:
    """Connections to targets; no call is ever repeated by the client."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._reused: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pools."""
        self._reused = open_session(reuse=True)
        self._fresh = open_session(reuse=False)

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._reused, self._fresh):
            if session is not None:
                await session.close()

    async def call(
        self,
        name: str,
        target: Target,
        call: TargetCall,
    ) -> StageAnswer:
        """Run one stage at a target and return its whole answer.

        Raises `TargetUnreachableError`, `TargetRefusedError` and what
        `before_send` raises when the call provably did not run;
        `TargetLostError`, `TargetTimeoutError` and `TargetFailedError`
        when it may have run.
        """
        url = f'http://{target.address}/v1/run'
        async with self._sending(name, url, call) as response:
            body = await _read_bounded(name, response)
        try:
            answer = decode_json(body, StageAnswer)
        except CodecError as error:
            raise TargetFailedError(f'{name}: {error}') from error
        _check_request_id(name, call, answer['request_id'])
        return answer

    async def stream(
        self,
        name: str,
        target: Target,
        call: TargetCall,
        first: int = 0,
    ) -> AsyncGenerator[TokenBatch | Usage, None]:
        """Yield the tokens from index `first` on, lastly the usage.

        Raises as `call` does. A gap, a repeated token and an end without
        the usage are errors; a time without tokens that is longer than the
        call's bound is a `TargetTimeoutError`.
        """
        url = f'http://{target.address}/v1/completions'
        parser = StreamParser(name, first)
        async with self._sending(name, url, call) as response:
            shown_id = response.headers.get(HEADER_REQUEST_ID, '')
            _check_request_id(name, call, shown_id)
            clock = asyncio.get_running_loop().time
            silent_since = clock()
            async for chunk in response.content.iter_any():
                batch = parser.feed(chunk)
                if batch is not None:
                    yield batch
                    silent_since = clock()
                if parser.usage is not None:
                    break
                if clock() - silent_since > call.silence_s:
                    # Parts of a token, or of none, are no progress.
                    raise TargetTimeoutError(f'{name}: no token in time')
            await _read_end(response)
        if parser.usage is None:
            raise TargetLostError(f'{name}: stream ended early')
        yield parser.usage

    async def cancel(
        self,
        name: str,
        target: Target,
        request_id: str,
    ) -> bool:
        """Ask a target to stop an attempt; return whether it answered."""
        assert self._reused is not None
        url = f'http://{target.address}/v1/cancel/{request_id}'
        try:
            async with self._reused.post(
                url,
                timeout=aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                return response.status == _HTTP_OK
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def load(self, name: str, target: Target) -> LoadBody:
        """Return the load that a target reports; raises `TargetError`."""
        load: LoadBody = await self._report(name, target, 'load', LoadBody)
        return load

    async def cache_events(
        self,
        name: str,
        target: Target,
        after: int,
    ) -> CacheEventsBody:
        """Return cache events above a number; raises `TargetError`."""
        path = f'cache_events?after={after}'
        body: CacheEventsBody
        body = await self._report(name, target, path, CacheEventsBody)
        return body

    async def _report(
        self,
        name: str,
        target: Target,
        path: str,
        kind: Any,
    ) -> Any:
        assert self._reused is not None
        try:
            async with self._reused.get(
                f'http://{target.address}/v1/{path}',
                timeout=aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                _check_status(name, response)
                body = await _read_bounded(name, response)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise TargetLostError(f'{name}: {error!r}') from error
        try:
            return decode_json(body, kind)
        except CodecError as error:
            raise TargetFailedError(f'{name}: {error}') from error

    @contextlib.asynccontextmanager
    async def _sending(
        self,
        name: str,
        url: str,
        call: TargetCall,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        session = self._reused if call.idempotent else self._fresh
        assert session is not None
        progress = SendProgress(call.before_send)
        current_progress.set(progress)
        try:
            async with session.post(
                url,
                data=encode_json(call.payload),
                headers=_headers(call),
                timeout=_timeout(call),
                allow_redirects=False,
            ) as response:
                current_progress.set(None)
                _check_status(name, response)
                yield response
        except (aiohttp.ClientError, OSError) as error:
            # The built-in TimeoutError is an OSError.
            raise _converted(name, error, progress) from error
        finally:
            # A later call of this task must not meet the hook of this one.
            current_progress.set(None)


def _converted(
    name: str,
    error: Exception,
    progress: SendProgress,
) -> Exception:
    if not progress.may_be_sent:
        return TargetUnreachableError(f'{name}: {error!r}')
    if isinstance(error, TimeoutError):
        return TargetTimeoutError(f'{name}: no answer in time')
    return TargetLostError(f'{name}: {error!r}')


def _timeout(call: TargetCall) -> aiohttp.ClientTimeout:
    streams = bool(call.payload.get('stream'))
    return aiohttp.ClientTimeout(
        total=call.timeout_s,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=call.silence_s if streams else None,
        # aiohttp rounds longer timeouts up to whole seconds.
        ceil_threshold=call.timeout_s + 1,
    )


def _headers(call: TargetCall) -> dict[str, str]:
    headers = {
        'Content-Type': 'application/json',
        HEADER_REQUEST_ID: call.request_id,
        'X-Deadline-Ms': str(int(call.timeout_s * 1000)),
        'X-Priority': str(call.priority),
    }
    if call.idempotency_key:
        headers['Idempotency-Key'] = call.idempotency_key
    return headers


def _check_status(name: str, response: aiohttp.ClientResponse) -> None:
    refused = response.headers.get(HEADER_NOT_RUN) == _FLAG_SET
    if refused and response.status in _REFUSAL_STATUSES:
        leaving = response.headers.get(HEADER_LEAVING) == _FLAG_SET
        raise TargetRefusedError(
            name,
            leaving=leaving,
            rest_s=read_pause_s(response.headers.get('Retry-After')) or 0,
        )
    if response.status != _HTTP_OK:
        raise TargetFailedError(f'{name}: status {response.status}')


def _check_request_id(name: str, call: TargetCall, shown_id: str) -> None:
    # A late answer on a reused connection must not reach another request.
    if shown_id != call.request_id:
        raise TargetFailedError(f'{name}: answer of another request')


async def _read_end(response: aiohttp.ClientResponse) -> None:
    # The answer is whole; its connection is reused only if the end of the
    # body comes at once, and never delays the answer.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_BODY_END_S):
            await response.content.readany()


async def _read_bounded(
    name: str,
    response: aiohttp.ClientResponse,
) -> bytes:
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise TargetFailedError(f'{name}: answer too large')
        chunks.append(chunk)
    return b''.join(chunks)
