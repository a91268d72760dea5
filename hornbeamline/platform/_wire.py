"""Translates HTTP messages of callers and servers to the gateway's types."""

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
from hornbeamline.helpers.pause import parse_retry_after_s
from hornbeamline.helpers.rates import parse_rate_per_s

_MS_PER_S: Final = 1000
_HTTP_MISDIRECTED: Final = 421
_HTTP_UNAVAILABLE: Final = 503

_REQUEST_ID: Final = 'x-request-id'
_DEADLINE: Final = 'x-deadline-ms'
_CREDENTIAL: Final = 'x-api-key'
_LAST_EVENT: Final = 'last-event-id'
_RESUMES: Final = 'resumes'
_LEAVING: Final = 'server-leaving'
_RATE_LIMIT: Final = 'server-limit'
_WARMUP: Final = 'x-warmup-ms'
_RETRY_AFTER: Final = 'retry-after'

# Headers that apply to one connection only and are never forwarded.
_HOP_BY_HOP_HEADERS: Final = frozenset(
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
# Headers that only the system may set or that it consumes itself; the
# values that a caller sends are not forwarded.
_INTERNAL_HEADERS: Final = frozenset(
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
_DROPPED_HEADERS: Final = _HOP_BY_HOP_HEADERS | _INTERNAL_HEADERS
# Longer figures do not fit a float, and none is meant.
_MAX_DIGITS: Final = 18
# Servers accept priorities from 0 (most urgent) to 9 (least urgent).
_LOWEST_PRIORITY: Final = 9
# Figures of a load that are always present: running, waiting, slots.
_LOAD_COUNTS: Final = 3
# Reported figures beyond these bounds are not believed: a larger count does
# not fit into a float, and no target is a hundred times as slow as usual.
_MAX_LOAD_COUNT: Final = 1_000_000
_MIN_SLOWNESS: Final = 0.01
_MAX_SLOWNESS: Final = 100.0
_PERCENT: Final = 100


class _Item(
    msgspec.Struct,
    kw_only=True,
    rename='kebab',
    omit_defaults=True,
):
    """One piece of a stage call."""

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
    """Stateless translator of HTTP messages."""

    def read_request(
        self,
        scope: Mapping[str, Any],
        received_at: float,
    ) -> CallerRequest:
        """Return the request of an ASGI scope.

        Header values that cannot be parsed count as absent; validating them
        is left to the server that gets the request.
        """
        pairs = _decode_headers(scope['headers'])
        first_by_name = dict(reversed(pairs))
        connection_options = (
            first_by_name.get('connection', '').lower().split(',')
        )
        dropped = _DROPPED_HEADERS.union(
            name.strip() for name in connection_options
        )
        query = scope['query_string']
        raw_path: bytes = scope['raw_path']
        raw_target = b'?'.join((raw_path, query)) if query else raw_path
        tokens = _parse_integers(first_by_name.get('x-token-count', ''))
        deadline_ms = _parse_integer(first_by_name.get(_DEADLINE))
        return CallerRequest(
            id=first_by_name.get(_REQUEST_ID, ''),
            method=scope['method'],
            host=first_by_name.get('host', '').lower().partition(':')[0],
            raw_target=raw_target.decode('latin-1'),
            path=raw_path.decode('latin-1'),
            headers=tuple(pair for pair in pairs if pair[0] not in dropped),
            credential=first_by_name.get(_CREDENTIAL),
            received_at=received_at,
            caller_timeout_s=None
            if deadline_ms is None
            else deadline_ms / _MS_PER_S,
            prompt=_parse_prompt(first_by_name.get('x-prompt-prefix', '')),
            prompt_tokens=tokens[0] if tokens else 0,
            max_output_tokens=tokens[1] if len(tokens) > 1 else 0,
            pieces_by_stage=_parse_integers(first_by_name.get('x-pieces', '')),
            piece_key=first_by_name.get('x-piece-key', ''),
            last_event_id=_parse_integer(first_by_name.get(_LAST_EVENT)),
            resumes=first_by_name.get(_RESUMES),
        )

    def target_headers(
        self,
        request: CallerRequest,
        chosen: TargetHeaders,
    ) -> Headers:
        """Return all request headers of one attempt at a target."""
        headers = list(request.headers)
        if request.caller_timeout_s is not None:
            left_ms = max(int(chosen.left_s * _MS_PER_S), 1)
            headers.append(('X-Deadline-Ms', str(left_ms)))
        headers.append(('X-Expect-Instance', chosen.target.id))
        account: Account | None = chosen.account
        if account is not None:
            headers.append(('X-Tenant', account.name))
        if chosen.inputs:
            headers.append(('X-Inputs', ','.join(chosen.inputs)))
        if request.prompt:
            priority = min(chosen.rank, _LOWEST_PRIORITY)
            headers.append(('X-Request-Priority', str(priority)))
        if chosen.last_event_id is not None:
            headers.append(('Last-Event-Id', str(chosen.last_event_id)))
        return headers

    def read_answer(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> AnswerHead:
        """Parse the status and headers of a server's answer."""
        pairs = _decode_headers(headers)
        first_by_name = dict(reversed(pairs))
        return AnswerHead(
            status=status,
            headers=tuple(
                pair for pair in pairs if pair[0] not in _HOP_BY_HOP_HEADERS
            ),
            request_id=first_by_name.get(_REQUEST_ID, ''),
            is_signed='x-server-stamp' in first_by_name,
            not_run='x-not-executed' in first_by_name,
            wrong_target=status == _HTTP_MISDIRECTED,
            is_encoded='content-encoding' in first_by_name,
            load=_parse_load(first_by_name.get('x-server-load', '')),
            closes='close' in first_by_name.get('connection', '').lower(),
            is_leaving=first_by_name.get(_LEAVING) == '1',
            pause_s=_parse_retry_after_s(
                status, first_by_name.get(_RETRY_AFTER)
            ),
            limit_per_s=parse_rate_per_s(first_by_name.get(_RATE_LIMIT)),
            warmup_left_s=_parse_warmup_s(first_by_name.get(_WARMUP)),
        )

    def refusal_answer(
        self,
        request: CallerRequest | None,
        refusal: Refusal,
    ) -> Answer:
        """Return the answer to a caller whose request is refused."""
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
        """Return path, headers and body of a call that runs pieces.

        `left_s` holds the remaining time of each piece, in the same order.
        """
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
        """Decode the results of a stage call, in the order of its pieces.

        Raises `CallLostError` when the body cannot be decoded or does not
        hold the expected number of results.
        """
        try:
            answer = msgspec.json.decode(body, type=_StageAnswer)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise CallLostError(
                f'results cannot be decoded: {error}'
            ) from error
        if len(answer.items) != expected:
            raise CallLostError(
                f'answer holds {len(answer.items)} of {expected} results'
            )
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


def _decode_headers(
    headers: Sequence[tuple[bytes, bytes]],
) -> list[tuple[str, str]]:
    return [
        (name.decode('latin-1').lower(), text.decode('latin-1'))
        for name, text in headers
    ]


def _parse_integer(text: str | None) -> int | None:
    if text is None or len(text) > _MAX_DIGITS:
        return None
    try:
        return int(text)
    except ValueError:
        return None


def _parse_integers(text: str) -> tuple[int, ...]:
    numbers = [_parse_integer(word) for word in text.split(',') if word.strip()]
    return tuple(number for number in numbers if number is not None)


def _parse_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        count = _parse_integer(tokens)
        if part_id and count is not None:
            parts.append(PromptPart(part_id, count))
    return tuple(parts)


def _parse_load(text: str) -> TargetLoad | None:
    """Return the load in the first figures; further ones are ignored."""
    words = text.split(',')
    counts = [_parse_integer(word) for word in words[:_LOAD_COUNTS]]
    known = [
        count
        for count in counts
        if count is not None and 0 <= count <= _MAX_LOAD_COUNT
    ]
    if len(known) != _LOAD_COUNTS:
        return None
    running, waiting, slots = known
    slowness = _parse_slowness(words[_LOAD_COUNTS:])
    return TargetLoad(running, waiting, slots, slowness)


def _parse_slowness(words: Sequence[str]) -> float | None:
    """Return the slowness in the first word; None if absent or not usable."""
    try:
        percent = float(words[0]) if words else 0
    except ValueError:
        return None
    if _MIN_SLOWNESS <= percent / _PERCENT <= _MAX_SLOWNESS:
        return percent / _PERCENT
    return None


def _parse_warmup_s(text: str | None) -> float | None:
    """Return the remaining warm-up; None without one that can be read.

    Negative times and times that are not numbers count as not stated.
    """
    try:
        left_ms = float(text or 'nan')
    except ValueError:
        return None
    return left_ms / _MS_PER_S if left_ms >= 0 else None


def _parse_retry_after_s(status: int, text: str | None) -> float | None:
    """Return the pause that a 503 answer asks for; None if not usable."""
    return parse_retry_after_s(text) if status == _HTTP_UNAVAILABLE else None
