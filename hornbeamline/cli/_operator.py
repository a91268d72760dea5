"""Client of the operator interface, which the leading control host serves."""

from __future__ import annotations

import asyncio
import time
from typing import Annotated, Any, Final, NamedTuple

import aiohttp
import typer

from hornbeamline.exceptions import HornbeamlineError
from hornbeamline.helpers.codec import CodecError, decode_json

EXIT_REFUSED: Final = 1
EXIT_INVALID: Final = 2
EXIT_UNREACHABLE: Final = 4

STATUS_OK: Final = 200
_STATUS_NOT_LEADER: Final = 421
_STATUS_UNAVAILABLE: Final = 503
# Longer than an election and the proposals that follow it.
DEFAULT_TIMEOUT_S: Final = 20.0
# A suspended control process still accepts connections but never answers.
_ATTEMPT_TIMEOUT_S: Final = 3.0
_RETRY_PAUSE_S: Final = 0.2

OperatorOption = Annotated[
    list[str],
    typer.Option(
        '--operator',
        envvar='HORNBEAMLINE_OPERATOR',
        help='Operator address of a control host, ip:port; may be repeated.',
    ),
]
OperatorCredentialOption = Annotated[
    str,
    typer.Option(
        '--credential',
        envvar='HORNBEAMLINE_OPERATOR_CREDENTIAL',
        help='Operator credential.',
    ),
]
TimeoutOption = Annotated[
    float,
    typer.Option('--timeout', min=0.1, help='Time to find the leader in s.'),
]
JsonOption = Annotated[
    bool,
    typer.Option('--json', help='Print JSON for scripts.'),
]


class OperatorUnreachableError(HornbeamlineError):
    """No control host answered as the leader within the timeout."""


class OperatorAnswer(NamedTuple):
    """Status and decoded body of a control host's answer."""

    status: int
    body: dict[str, Any]


class OperatorAccess(NamedTuple):
    """Addresses, credential and timeout for the operator interface."""

    addresses: list[str]
    credential: str
    timeout_s: float


class OperatorClient:
    """Finds the leader and retries requests whose answer was lost."""

    def __init__(self, access: OperatorAccess) -> None:
        """Initialize with addresses, credential and timeout."""
        self._addresses = list(access.addresses)
        self._headers = {'Authorization': f'Bearer {access.credential}'}
        self._timeout_s = access.timeout_s

    async def request(
        self,
        method: str,
        path: str,
        content: Any = None,
    ) -> OperatorAnswer:
        """Return the leader's answer to a request.

        The request must be idempotent, since it may be sent more than once.
        Raises `OperatorUnreachableError`.
        """
        timeout = aiohttp.ClientTimeout(total=_ATTEMPT_TIMEOUT_S)
        async with aiohttp.ClientSession(
            headers=self._headers,
            timeout=timeout,
        ) as session:
            return await self._try_addresses(session, method, path, content)

    async def _try_addresses(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        content: Any,
    ) -> OperatorAnswer:
        deadline_at = time.monotonic() + self._timeout_s
        failure = 'no address given'
        while self._addresses and time.monotonic() < deadline_at:
            address = self._addresses[0]
            url = f'http://{address}{path}'
            answer = await _exchange(session, method, url, content)
            if isinstance(answer, OperatorAnswer):
                if not self._should_try_next(answer):
                    return answer
                answer = answer.body.get('detail', '')
            failure = f'{address}: {answer}'
            self._move_to_end(address)
            await asyncio.sleep(_RETRY_PAUSE_S)
        raise OperatorUnreachableError(
            f'no control host answered as the leader: {failure}',
        )

    def _should_try_next(self, answer: OperatorAnswer) -> bool:
        leader = answer.body.get('leader_address')
        if answer.status == _STATUS_NOT_LEADER and leader:
            # `_try_addresses` moves the first address to the end next, which
            # makes the leader's address the first.
            self._remove(leader)
            self._addresses.insert(1, leader)
        return answer.status in {_STATUS_NOT_LEADER, _STATUS_UNAVAILABLE}

    def _move_to_end(self, address: str) -> None:
        self._remove(address)
        self._addresses.append(address)

    def _remove(self, address: str) -> None:
        if address in self._addresses:
            self._addresses.remove(address)


def call_operator(
    access: OperatorAccess,
    method: str,
    path: str,
    content: Any = None,
) -> OperatorAnswer:
    """Return the leader's answer; exits the program if there is none."""
    client = OperatorClient(access)
    try:
        return asyncio.run(client.request(method, path, content))
    except OperatorUnreachableError as error:
        typer.echo(f'hornbeamline: {error}', err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from error


def require_ok(answer: OperatorAnswer) -> dict[str, Any]:
    """Return the body of a successful answer; exits the program otherwise."""
    if answer.status == STATUS_OK:
        return answer.body
    reason = answer.body.get('reason', answer.status)
    detail = answer.body.get('detail', '')
    typer.echo(f'hornbeamline: {reason}: {detail}', err=True)
    is_invalid = reason in {'invalid', 'invalid_body'}
    raise typer.Exit(EXIT_INVALID if is_invalid else EXIT_REFUSED)


async def _exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    content: Any,
) -> OperatorAnswer | str:
    """Return the answer, or the error when no valid answer arrived."""
    try:
        async with session.request(method, url, json=content) as answer:
            body = decode_json(await answer.read(), dict[str, Any])
            return OperatorAnswer(answer.status, body)
    except (aiohttp.ClientError, TimeoutError, CodecError) as error:
        return repr(error)
