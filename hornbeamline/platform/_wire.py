"""HTTP messages of callers and servers, in the gateway's terms."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Final

import msgspec

from hornbeamline.batching import (
    CallLostError,
    Piece,
    PieceResult,
)
from hornbeamline.gateway import (
    Account,
    Answer,
    AnswerHead,
    CallerRequest,
    Headers,
    PromptPart,
    Refusal,
    Target,
    TargetHeaders,
    TargetLoad,
)
from hornbeamline.helpers.pause import read_pause_s
from hornbeamline.helpers.rates import read_rate_per_s

_MS_PER_S: Final = 1000
_WRONG_TARGET: Final = 421
_UNAVAILABLE: Final = 503

_REQUEST_ID: Final = 'x-request-id'
_DEADLINE: Final = 'x-deadline-ms'
_CREDENTIAL: Final = 'x-api-key'
_LAST_EVENT: Final = 'last-event-id'
_LEAVING: Final = 'server-leaving'
_RATE_LIMIT: Final = 'server-limit'
_RETRY_AFTER: Final = 'retry-after'

# Headers of one connection, which no proxy passes on.
_CONNECTION_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
# Headers that only the system sets; what a caller sends under these names
# is dropped.
_OWN_HEADERS: Final = frozenset(
    (
        _CREDENTIAL,
        _DEADLINE,
        _LAST_EVENT,
        'kv-fetch',
        'kv-from',
        'x-expect-instance',
        'x-expect-version',
        'x-hold',
        'x-inputs',
        'x-kv-backup',
        'x-pin-ms',
        'x-request-priority',
        'x-tenant',
    ),
)
_DROPPED_HEADERS: Final = _CONNECTION_HEADERS | _OWN_HEADERS
# Priorities that servers know: 0 first, 9 last.
_LAST_PRIORITY: Final = 9


class _Item(
    msgspec.Struct,
    kw_only=True,
    rename='kebab',
    omit_defaults=True,
):
    """One piece in a stage call."""

    id: str
    stage: int = -1
    piece: int = -1
    remaining_ms: int = -1
    key: str = ''
    inputs: list[str] = []


class _StageCall(msgspec.Struct):
    items: list[_Item]


class _Outcome(msgspec.Struct):
    handle: str = ''
    reason: str = ''


class _StageAnswer(msgspec.Struct):
    items: list[_Outcome]


class _Release(msgspec.Struct):
    handles: list[str]


class _Problem(msgspec.Struct):
    error: str


class PlatformWire:
    """Translation of HTTP messages; holds no state."""

    def read_request(
        self,
        scope: Mapping[str, Any],
        received_at: float,
    ) -> CallerRequest:
        """Return the request of an ASGI scope.

        Values that cannot be read count as absent: the server that gets
        the request judges them.
        """
        pairs = _decoded(scope['headers'])
        first = dict(reversed(pairs))
        named = first.get('connection', '').lower().split(',')
        dropped = _DROPPED_HEADERS.union(name.strip() for name in named)
        query = scope['query_string']
        raw_path: bytes = scope['raw_path']
        raw_target = b'?'.join((raw_path, query)) if query else raw_path
        tokens = _integers(first.get('x-token-count', ''))
        patience_ms = _integer(first.get(_DEADLINE))
        return CallerRequest(
            id=first.get(_REQUEST_ID, ''),
            method=scope['method'],
            host=first.get('host', '').lower().partition(':')[0],
            raw_target=raw_target.decode('latin-1'),
            path=raw_path.decode('latin-1'),
            headers=tuple(pair for pair in pairs if pair[0] not in dropped),
            credential=first.get(_CREDENTIAL),
            received_at=received_at,
            patience_s=None if patience_ms is None else patience_ms / _MS_PER_S,
            prompt=_prompt(first.get('x-prompt-prefix', '')),
            prompt_tokens=tokens[0] if tokens else 0,
            max_output_tokens=tokens[1] if len(tokens) > 1 else 0,
            pieces_by_stage=_integers(first.get('x-pieces', '')),
            piece_key=first.get('x-piece-key', ''),
            last_event_id=_integer(first.get(_LAST_EVENT)),
        )

    def target_headers(
        self,
        request: CallerRequest,
        chosen: TargetHeaders,
    ) -> Headers:
        """Return all headers of an attempt."""
        headers = list(request.headers)
        if request.patience_s is not None:
            left_ms = max(int(chosen.left_s * _MS_PER_S), 1)
            headers.append(('X-Deadline-Ms', str(left_ms)))
        headers.append(('X-Expect-Instance', chosen.target.id))
        account: Account | None = chosen.account
        if account is not None:
            headers.append(('X-Tenant', account.name))
        if chosen.inputs:
            headers.append(('X-Inputs', ','.join(chosen.inputs)))
        if request.prompt:
            priority = min(chosen.rank, _LAST_PRIORITY)
            headers.append(('X-Request-Priority', str(priority)))
        if chosen.last_event_id is not None:
            headers.append(('Last-Event-Id', str(chosen.last_event_id)))
        return headers

    def read_answer(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> AnswerHead:
        """Return what the head of a server's answer says."""
        pairs = _decoded(headers)
        first = dict(reversed(pairs))
        return AnswerHead(
            status=status,
            headers=tuple(
                pair for pair in pairs if pair[0] not in _CONNECTION_HEADERS
            ),
            request_id=first.get(_REQUEST_ID, ''),
            is_signed='x-server-stamp' in first,
            not_run='x-not-executed' in first,
            wrong_target=status == _WRONG_TARGET,
            is_encoded='content-encoding' in first,
            load=_load(first.get('x-server-load', '')),
            closes='close' in first.get('connection', '').lower(),
            is_leaving=first.get(_LEAVING) == '1',
            rest_s=_rest_s(status, first.get(_RETRY_AFTER)),
            limit_per_s=read_rate_per_s(first.get(_RATE_LIMIT)),
        )

    def refusal_answer(
        self,
        request: CallerRequest | None,
        refusal: Refusal,
    ) -> Answer:
        """Return the answer to a caller that is refused."""
        headers = [('Content-Type', 'application/json')]
        if request is not None and request.id:
            headers.append(('X-Request-Id', request.id))
        if refusal.retry_after_s is not None:
            headers.append(('Retry-After', f'{refusal.retry_after_s:.3g}'))
        body = msgspec.json.encode(_Problem(refusal.reason))
        return Answer(refusal.status, headers, body)

    def stage_call(
        self,
        target: Target,
        pieces: Sequence[Piece],
        left_s: Sequence[float],
    ) -> tuple[str, Headers, bytes]:
        """Return path, headers and body of a call with pieces."""
        items = [
            _Item(
                id=piece.request_id,
                stage=piece.stage,
                piece=piece.number,
                remaining_ms=max(int(left * _MS_PER_S), 1),
                key=piece.key,
                inputs=piece.inputs,
            )
            for piece, left in zip(pieces, left_s, strict=True)
        ]
        headers = [
            ('Content-Type', 'application/json'),
            ('X-Expect-Instance', target.id),
        ]
        return '/stage-run', headers, msgspec.json.encode(_StageCall(items))

    def read_stage_results(
        self,
        body: bytes,
        expected: int,
    ) -> list[PieceResult]:
        """Return the results in order; raises `CallLostError`."""
        try:
            answer = msgspec.json.decode(body, type=_StageAnswer)
        except (msgspec.DecodeError, ValueError) as error:
            raise CallLostError(f'unreadable results: {error}') from error
        if len(answer.items) != expected:
            raise CallLostError(f'{len(answer.items)} of {expected} results')
        return [
            PieceResult(
                item.handle,
                '' if item.handle else (item.reason or 'error'),
            )
            for item in answer.items
        ]

    def release_call(
        self,
        handles: Sequence[str],
    ) -> tuple[str, Headers, bytes]:
        """Return path, headers and body of a call that frees results."""
        body = msgspec.json.encode(_Release(list(handles)))
        return '/stage-free', [('Content-Type', 'application/json')], body

    def address_of(self, handle: str) -> str:
        """Return the address of the server that holds a result."""
        return handle.partition('/')[0]


def _decoded(headers: Sequence[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    return [
        (name.decode('latin-1').lower(), text.decode('latin-1'))
        for name, text in headers
    ]


def _integer(text: str | None) -> int | None:
    if text is None:
        return None
    try:
        return int(text)
    except ValueError:
        return None


def _integers(text: str) -> tuple[int, ...]:
    numbers = [_integer(word) for word in text.split(',') if word.strip()]
    return tuple(number for number in numbers if number is not None)


def _prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        count = _integer(tokens)
        if part_id and count is not None:
            parts.append(PromptPart(part_id, count))
    return tuple(parts)


def _load(text: str) -> TargetLoad | None:
    numbers = _integers(text)
    return TargetLoad(*numbers) if len(numbers) == 3 else None


def _rest_s(status: int, text: str | None) -> float | None:
    """Return the pause that a server asks for; None without a usable one."""
    return read_pause_s(text) if status == _UNAVAILABLE else None
