"""Tests of translating headers and bodies of callers and servers."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest

from hornbeamline.batching import CallLostError, Piece
from hornbeamline.gateway import Account, Refusal, TargetHeaders, TargetLoad
from hornbeamline.platform._list import _read_entry
from hornbeamline.platform._wire import PlatformWire
from tests.gateway.builders import make_target

WIRE = PlatformWire()


def scope(**headers: str) -> dict[str, Any]:
    """Return the ASGI scope of a request."""
    return {
        'method': 'POST',
        'raw_path': b'/a/%2e/b',
        'query_string': b'q=1',
        'headers': [
            (name.replace('_', '-').encode(), text.encode())
            for name, text in headers.items()
        ],
    }


def test_request_is_read_byte_for_byte() -> None:
    """Path and query are not normalised."""
    request = WIRE.read_request(
        scope(
            host='A.example:80',
            x_request_id='r1',
            x_deadline_ms='1500',
            x_prompt_prefix='5c1e:800,91bd:410',
            x_token_count='1460,80',
            x_pieces='1,0,4',
            x_api_key='secret',
            last_event_id='12',
            resumes='r0',
        ),
        5.0,
    )
    assert request.raw_target == '/a/%2e/b?q=1'
    assert request.host == 'a.example'
    assert request.caller_timeout_s == 1.5
    assert [part.tokens for part in request.prompt] == [800, 410]
    assert request.pieces_by_stage == (1, 0, 4)
    assert request.last_event_id == 12
    assert request.resumes == 'r0'
    assert ('resumes', 'r0') in request.headers
    assert request.credential == 'secret'


def test_callers_cannot_set_headers_of_the_system() -> None:
    """Guards against callers that set what only the system may set."""
    request = WIRE.read_request(
        scope(
            x_request_id='r1',
            x_api_key='secret',
            x_tenant='other',
            x_hold='h',
            x_pin_ms='9',
            x_kv_backup='1.2.3.4:5',
            kv_from='1.2.3.4:5/h',
            x_inputs='h',
            x_expect_instance='i',
            connection='close, x-hop',
            x_hop='1',
            transfer_encoding='chunked',
            x_custom='kept',
        ),
        0.0,
    )
    headers = dict(
        WIRE.target_headers(
            request,
            TargetHeaders(
                make_target('i-1'),
                Account('mine', None),
                1.0,
                ['h1', 'h2'],
                0,
                None,
            ),
        ),
    )
    assert headers == {
        'x-request-id': 'r1',
        'x-custom': 'kept',
        'X-Expect-Instance': 'i-1',
        'X-Tenant': 'mine',
        'X-Inputs': 'h1,h2',
    }


def test_remaining_time_is_sent_to_the_target() -> None:
    """Guards against servers that work past the caller's deadline."""
    request = WIRE.read_request(scope(x_deadline_ms='1500'), 0.0)
    chosen = TargetHeaders(make_target('i'), None, 0.75, [], 0, 3)
    headers = dict(WIRE.target_headers(request, chosen))
    assert headers['X-Deadline-Ms'] == '750'
    assert headers['Last-Event-Id'] == '3'


def test_answer_head_is_parsed() -> None:
    """Signature, refusal and load are parsed from the headers."""
    head = WIRE.read_answer(
        503,
        [
            (b'X-Request-Id', b'r1'),
            (b'X-Not-Executed', b'full'),
            (b'X-Server-Load', b'3,1,8'),
            (b'Connection', b'close'),
        ],
    )
    assert head.not_run
    assert not head.is_signed
    assert head.load.waiting == 1
    assert head.closes
    assert 'connection' not in dict(head.headers)


@pytest.mark.parametrize(
    ('text', 'load'),
    [
        (b'3,1,8', TargetLoad(3, 1, 8, None)),
        (b' 3, 1, 8, 250', TargetLoad(3, 1, 8, 2.5)),
        (b'3,1,8,100,7,next', TargetLoad(3, 1, 8, 1.0)),
        (b'3,1,8,', TargetLoad(3, 1, 8, None)),
        (b'3,1,8,fast', TargetLoad(3, 1, 8, None)),
        (b'3,1,8,0', TargetLoad(3, 1, 8, None)),
        (b'3,1,8,-100', TargetLoad(3, 1, 8, None)),
        (b'3,1,8,nan', TargetLoad(3, 1, 8, None)),
        (b'3,1,8,1e300', TargetLoad(3, 1, 8, None)),
        (b'3,1', None),
        (b'3,x,1,8', None),
        (b'-1,0,8,100', None),
        (b'1' + b'0' * 400 + b',0,8,100', None),
        (b'\xff,,', None),
    ],
)
def test_load_report_is_bounded(text: bytes, load: TargetLoad | None) -> None:
    """Guards against dropped reports with further figures, and absurd ones."""
    head = WIRE.read_answer(200, [(b'X-Server-Load', text)])
    assert head.load == load


@pytest.mark.parametrize(
    ('status', 'text', 'rest_s'),
    [
        (503, b'2', 2.0),
        (503, b'0.25', 0.25),
        (503, b'1e9', 1e9),
        (503, b'-1', None),
        (503, b'nan', None),
        (503, b'Wed, 21 Oct 2026 07:28:00 GMT', None),
        (503, b'', None),
        (429, b'2', None),
    ],
)
def test_retry_after_of_a_503_is_parsed(status, text, rest_s) -> None:
    """Fault: unparsable, negative or huge values; other statuses."""
    assert WIRE.read_answer(status, [(b'Retry-After', text)]).pause_s == rest_s


def test_missing_pause_and_leaving_headers_are_unset() -> None:
    """Most answers carry neither header."""
    head = WIRE.read_answer(503, [])
    assert (head.pause_s, head.is_leaving) == (None, False)
    assert WIRE.read_answer(200, [(b'Server-Leaving', b'1')]).is_leaving


@pytest.mark.parametrize(
    ('text', 'limit_per_s'),
    [
        (b'1', 1.0),
        (b'0.25', 0.25),
        (b'0', 0.0),
        (b'1e9', math.inf),
        (b'-1', None),
        (b'nan', None),
        (b'', None),
        (b'two', None),
    ],
)
def test_rate_limit_is_parsed(text, limit_per_s) -> None:
    """Fault: unparsable, negative or huge values."""
    head = WIRE.read_answer(200, [(b'Server-Limit', text)])
    assert head.limit_per_s == limit_per_s
    assert WIRE.read_answer(200, []).limit_per_s == math.inf


def test_refusal_of_unrun_request_has_retry_after() -> None:
    """`Retry-After` is sent only if the request has not run."""
    answer = WIRE.refusal_answer(None, Refusal(503, 'busy', '', 1.25))
    assert ('Retry-After', '1.25') in answer.headers
    answer = WIRE.refusal_answer(None, Refusal(504, 'late'))
    assert 'Retry-After' not in dict(answer.headers)


def test_stage_call_names_pieces_and_inputs() -> None:
    """Pieces of a first stage carry the key, later ones the inputs."""
    pieces = [
        Piece('r1', 0, 0, 'key', []),
        Piece('r2', 1, 3, '', ['1.2.3.4:5/h']),
    ]
    path, headers, body = WIRE.stage_call(
        make_target('i-1'), pieces, [0.5, 2.0]
    )
    items = msgspec.json.decode(body)['items']
    assert path == '/stage-run'
    assert ('X-Expect-Instance', 'i-1') in headers
    assert items == [
        {
            'id': 'r1',
            'stage': 0,
            'piece': 0,
            'remaining-ms': 500,
            'key': 'key',
        },
        {
            'id': 'r2',
            'stage': 1,
            'piece': 3,
            'remaining-ms': 2000,
            'inputs': ['1.2.3.4:5/h'],
        },
    ]


def test_results_are_read_in_order() -> None:
    """A result without a handle has a failure reason."""
    results = WIRE.read_stage_results(
        b'{"items":[{"handle":"a/1"},{"reason":"gone"},{}]}',
        3,
    )
    assert [result.handle for result in results] == ['a/1', '', '']
    assert [result.failure for result in results] == ['', 'gone', 'error']


@pytest.mark.parametrize(
    'body', [b'{"items":[]}', b'{', b'{"items":1}', b'[' * 100_000]
)
def test_unreadable_results_are_lost(body) -> None:
    """Guards against results that belong to other pieces."""
    with pytest.raises(CallLostError):
        WIRE.read_stage_results(body, 1)


@pytest.mark.parametrize(
    'raw',
    [
        b'{}',
        b'null',
        b'{"id":1,"service":"s","address":"a","zone":"z","state":"ready"}',
        b'{"id":"i","service":"s","address":"a","zone":"z","state":"odd"}',
        b'{"id":"i","service":"s","zone":"z","state":"ready"}',
        b'{"id":"i","service":"s","address":"a","zone":"z","state":"ready"}',
    ],
)
def test_unreadable_list_entry_is_skipped(raw) -> None:
    """An invalid entry is skipped without failing the whole list."""
    assert _read_entry(msgspec.Raw(raw)) is None
