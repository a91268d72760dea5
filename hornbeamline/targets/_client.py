"""Client that calls targets over HTTP/1.1."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any, Final

import aiohttp

from hornbeamline.helpers.codec import CodecError, decode_json, encode_json
from hornbeamline.helpers.pause import parse_retry_after_s
from hornbeamline.inventory import Target, is_software_version
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
HEADER_SOFTWARE_VERSION: Final = 'X-Software-Version'
# Reading stops with an error when an answer exceeds this size.
MAX_ANSWER_BYTES: Final = 8_388_608
_HTTP_OK: Final = 200
_REFUSAL_STATUSES: Final = frozenset((429, 503))
_HEADER_TRUE: Final = 'true'
_REPORT_TIMEOUT_S: Final = 1.0
_BODY_END_TIMEOUT_S: Final = 0.02


class TargetClient:
    """Client for all targets; it never repeats a call by itself."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._keepalive_session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pools."""
        self._keepalive_session = open_session(reuse=True)
        self._single_use_session = open_session(reuse=False)

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._keepalive_session, self._single_use_session):
            if session is not None:
                await session.close()

    async def call(
        self,
        name: str,
        target: Target,
        call: TargetCall,
    ) -> StageAnswer:
        """Run one stage at the target `name` and return the answer.

        Raises `TargetUnreachableError`, `TargetRefusedError` or the error
        of `before_send` if the call provably did not run, and
        `TargetLostError`, `TargetTimeoutError` or `TargetFailedError` if it
        may have run.
        """
        url = f'http://{target.address}/v1/run'
        async with self._post(name, url, call) as response:
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
        """Yield the tokens from index `first` on, and finally the usage.

        Raises the same errors as `call`. A missing or repeated token and an
        end without usage are errors. If no token arrives within the
        `token_timeout_s` of the call, `TargetTimeoutError` is raised.
        """
        url = f'http://{target.address}/v1/completions'
        async with self._post(name, url, call) as response:
            version = _stated_version(response)
            parser = StreamParser(name, first, version)
            received_id = response.headers.get(HEADER_REQUEST_ID, '')
            _check_request_id(name, call, received_id)
            clock = asyncio.get_running_loop().time
            last_token_at = clock()
            async for chunk in response.content.iter_any():
                batch = parser.feed(chunk)
                if batch is not None:
                    yield batch
                    last_token_at = clock()
                if parser.usage is not None:
                    break
                if clock() - last_token_at > call.token_timeout_s:
                    # Data without a complete token is not progress.
                    raise TargetTimeoutError(
                        f'{name}: no token within the token timeout',
                    )
            await _read_body_end(response)
        if parser.usage is None:
            raise TargetLostError(f'{name}: token stream ended without usage')
        yield parser.usage

    async def cancel(
        self,
        name: str,
        target: Target,
        request_id: str,
    ) -> bool:
        """Ask a target to cancel a call; return whether it confirmed."""
        assert self._keepalive_session is not None
        url = f'http://{target.address}/v1/cancel/{request_id}'
        try:
            async with self._keepalive_session.post(
                url,
                timeout=aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                return response.status == _HTTP_OK
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def load(self, name: str, target: Target) -> LoadBody:
        """Return the load that a target reports; raises `TargetError`."""
        load: LoadBody = await self._fetch_report(
            name,
            target,
            'load',
            LoadBody,
        )
        return load

    async def cache_events(
        self,
        name: str,
        target: Target,
        after: int,
    ) -> CacheEventsBody:
        """Return cache events after event `after`; raises `TargetError`."""
        path = f'cache_events?after={after}'
        body: CacheEventsBody
        body = await self._fetch_report(name, target, path, CacheEventsBody)
        return body

    async def _fetch_report(
        self,
        name: str,
        target: Target,
        path: str,
        kind: Any,
    ) -> Any:
        assert self._keepalive_session is not None
        try:
            async with self._keepalive_session.get(
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
    async def _post(
        self,
        name: str,
        url: str,
        call: TargetCall,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        session = (
            self._keepalive_session
            if call.idempotent
            else self._single_use_session
        )
        assert session is not None
        progress = SendProgress(call.before_send)
        current_progress.set(progress)
        try:
            async with session.post(
                url,
                data=encode_json(call.payload),
                headers=_headers(call),
                timeout=_client_timeout(call),
                allow_redirects=False,
            ) as response:
                current_progress.set(None)
                _check_refusal(name, call, response)
                _check_status(name, response)
                yield response
        except (aiohttp.ClientError, OSError) as error:
            # `TimeoutError` is a subclass of `OSError`.
            raise _to_target_error(name, error, progress) from error
        finally:
            # A later call of this task must not run the hook of this call.
            current_progress.set(None)


def _to_target_error(
    name: str,
    error: Exception,
    progress: SendProgress,
) -> Exception:
    if not progress.may_be_sent:
        return TargetUnreachableError(f'{name}: {error!r}')
    if isinstance(error, TimeoutError):
        return TargetTimeoutError(f'{name}: no answer before the timeout')
    return TargetLostError(f'{name}: {error!r}')


def _client_timeout(call: TargetCall) -> aiohttp.ClientTimeout:
    is_stream = bool(call.payload.get('stream'))
    return aiohttp.ClientTimeout(
        total=call.timeout_s,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=call.token_timeout_s if is_stream else None,
        # aiohttp rounds timeouts above this threshold up to whole seconds.
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


def _check_refusal(
    name: str,
    call: TargetCall,
    response: aiohttp.ClientResponse,
) -> None:
    """Raise `TargetRefusedError` if the target proves that it ran nothing.

    On a kept connection, a faulty target may repeat an earlier refusal, so
    that only one with the id of the call proves anything.
    """
    if response.headers.get(HEADER_NOT_RUN) != _HEADER_TRUE:
        return
    if response.status not in _REFUSAL_STATUSES:
        return
    received_id = response.headers.get(HEADER_REQUEST_ID)
    is_only_call = received_id is None and not call.idempotent
    if received_id != call.request_id and not is_only_call:
        raise TargetFailedError(f'{name}: refusal of another request')
    is_leaving = response.headers.get(HEADER_LEAVING) == _HEADER_TRUE
    raise TargetRefusedError(
        name,
        is_leaving=is_leaving,
        pause_s=parse_retry_after_s(response.headers.get('Retry-After')) or 0,
    )


def _check_status(name: str, response: aiohttp.ClientResponse) -> None:
    if response.status != _HTTP_OK:
        raise TargetFailedError(f'{name}: HTTP status {response.status}')


def _check_request_id(name: str, call: TargetCall, received_id: str) -> None:
    # A late answer on a reused connection must not be returned for another
    # request.
    if received_id != call.request_id:
        raise TargetFailedError(f'{name}: answer of another request')


def _stated_version(response: aiohttp.ClientResponse) -> str | None:
    """Return the stated software version; None if absent or unreadable."""
    stated = response.headers.get(HEADER_SOFTWARE_VERSION)
    if stated is None or not is_software_version(stated):
        return None
    return stated


async def _read_body_end(response: aiohttp.ClientResponse) -> None:
    # The answer is already complete. The connection can be reused only if the
    # end of the body is read, but waiting for it must not delay the answer.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_BODY_END_TIMEOUT_S):
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
