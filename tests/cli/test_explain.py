"""Reconstruction of a request from the logs of all hosts."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from hornbeamline.cli._app import app
from hornbeamline.cli._explain import UnknownRequestError, explanation
from hornbeamline.telemetry import read_line
from hornbeamline.telemetry._logs import format_line

DAY = '2026-05-19T08:29'


def line_of(second: float, event: str, host: str, rest: str) -> str:
    """Return a line with the prefix of a log collector."""
    at = f'{DAY}:{second:06.3f}+00:00'
    return f'15.01 {host}/entry time={at} event={event} {rest} host={host}'


LOGS = (
    line_of(
        41.5,
        'request.attempt',
        'host-1',
        'request=r1 target=i-1 outcome=not_run '
        'error="inputs of the request are gone"',
    ),
    line_of(
        41.6,
        'request.refused',
        'host-1',
        'request=r1 status=503 reason=stages_busy '
        'detail="expected time 7.55 s exceeds 3.31 s" retry_after_s=1.0',
    ),
    line_of(36, 'request.judged', 'host-1', 'request=r1 admitted=True'),
    line_of(38, 'batching.turn', 'host-2', 'request=r1 service=ledger'),
    line_of(38, 'batching.turn', 'host-2', 'request=r2 service=ledger'),
    'not a line of ours request=r1',
)


# Without `explain`, on-call engineers had to search the logs of all hosts for
# the cause.
def test_steps_are_in_order_and_end_with_the_cause() -> None:
    """Lines of several hosts, prefixed by a log collector."""
    lines = explanation('r1', LOGS)
    assert [line.split(':')[0].split()[-1] for line in lines[1:-1]] == [
        'host-1',
        'host-2',
        'host-1',
        'host-1',
    ]
    assert lines[1].startswith('  +0.000 s')
    assert lines[-1] == (
        'cause: refused with 503 stages_busy '
        '(expected time 7.55 s exceeds 3.31 s); '
        'come back after 1.0 s'
    )
    assert not any('r2' in line for line in lines)


def test_unknown_request_is_an_error_of_one_line() -> None:
    """An unknown request id and a missing file."""
    with pytest.raises(UnknownRequestError):
        explanation('r9', LOGS)
    runner = CliRunner()
    assert runner.invoke(app, ['explain', 'r1', 'missing.log']).exit_code == 2
    shown = runner.invoke(app, ['explain', 'r1'], input='\n'.join(LOGS))
    assert shown.exit_code == 0
    assert 'cause: refused with 503' in shown.output


@given(
    fields=st.dictionaries(
        st.from_regex('[a-z]{1,8}', fullmatch=True).filter(
            lambda key: key not in {'time', 'event', 'timestamp'},
        ),
        st.text() | st.integers() | st.booleans(),
    ),
)
def test_lines_are_read_as_they_were_written(fields) -> None:
    """Texts with quotes, line ends and equals signs."""
    message = {'message_type': 'a.b', 'timestamp': time.time(), **fields}
    line = read_line(format_line(message))
    assert line.event == 'a.b'
    shown = {
        key: '***' if line.text_by_field[key] == '***' else str(field)
        for key, field in fields.items()
    }
    assert line.text_by_field == shown
