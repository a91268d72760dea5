"""Command that reconstructs the course of one request from logs."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Annotated, Final, TypeAlias

import typer

from hornbeamline.exceptions import HornbeamlineError
from hornbeamline.telemetry import LogLine, read_lines

Fields: TypeAlias = Mapping[str, str]
_Describer: TypeAlias = Callable[[Fields], str]

_describers_by_event: dict[str, _Describer] = {}
# Events that can be the cause of a request's outcome, the most specific first.
_CAUSES: Final = (
    'request.refused',
    'request.attempt',
    'batching.given_up',
    'request.end',
)


class UnknownRequestError(HornbeamlineError):
    """No log line belongs to the request."""


def _describes(event: str) -> Callable[[_Describer], _Describer]:
    """Register the function that describes an event."""

    def register(describe: _Describer) -> _Describer:
        _describers_by_event[event] = describe
        return describe

    return register


def explain(
    request: Annotated[str, typer.Argument(help='Id of the request.')],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help='Log files of all hosts; standard input if none.'),
    ] = None,
) -> None:
    """Show what happened to a request and what caused its outcome."""
    for line in explanation(request, _lines_of(files or [])):
        typer.echo(line)


def explanation(request: str, lines: Iterable[str]) -> list[str]:
    """Return the steps of a request and the cause of its outcome.

    Raises `UnknownRequestError`.
    """
    found = [
        line
        for line in read_lines(lines)
        if line.text_by_field.get('request') == request
    ]
    if not found:
        raise UnknownRequestError(f'no line has request={request}')
    found.sort(key=lambda line: line.at)
    began = found[0].at
    output = [f'request {request}, first line at {began.isoformat()}']
    for step in found:
        since_s = (step.at - began).total_seconds()
        host = step.text_by_field.get('host', '?')
        output.append(f'{since_s:+8.3f} s  {host}: {_description(step)}')
    return [*output, f'cause: {_cause(found)}']


def _lines_of(files: Iterable[Path]) -> Iterable[str]:
    paths = list(files)
    if not paths:
        yield from sys.stdin
        return
    for path in paths:
        try:
            with path.open(errors='replace') as log:
                yield from log
        except OSError as error:
            raise typer.BadParameter(f'{path}: {error.strerror}') from error


def _cause(found: list[LogLine]) -> str:
    for event in _CAUSES:
        for line in reversed(found):
            if line.event == event:
                return _description(line)
    return _description(found[-1])


def _description(line: LogLine) -> str:
    describe = _describers_by_event.get(line.event)
    if describe is not None:
        return describe(line.text_by_field)
    shown = ' '.join(
        f'{key}={text}'
        for key, text in line.text_by_field.items()
        if key not in {'request', 'host', 'role'}
    )
    return f'{line.event} {shown}'


def _text(fields: Fields, name: str) -> str:
    return fields.get(name) or '?'


@_describes('request.judged')
def _judged(fields: Fields) -> str:
    verdict = 'admitted' if fields.get('admitted') == 'True' else 'not admitted'
    return (
        f'{verdict}: stages expected to end after '
        f'{_text(fields, "expected_s")} s, allowed '
        f'{_text(fields, "limit_s")} s; list {_text(fields, "list_age_s")} s '
        f'old, document {_text(fields, "document")}'
    )


@_describes('request.attempt')
def _attempt(fields: Fields) -> str:
    error = fields.get('error')
    return (
        f'attempt {_text(fields, "attempt")} at {_text(fields, "target")}: '
        f'{_text(fields, "outcome")}{_progress(fields)}, '
        f'{_text(fields, "since_received_s")} s '
        f'after the request came, {_text(fields, "left_s")} s left'
        f'{f"; {error}" if error else ""}'
    )


def _progress(fields: Fields) -> str:
    """Return how far a lost attempt got."""
    if fields.get('outcome') != 'lost' or 'progress' not in fields:
        return ''
    return f' (answer: {fields["progress"]})'


@_describes('quarantine.crash')
def _crash(fields: Fields) -> str:
    return (
        f'engine {_text(fields, "target")} ended before the first event '
        f'(answer: {_text(fields, "phase")}); parts '
        f'{_text(fields, "parts")}'
    )


@_describes('limits.permit')
def _permit(fields: Fields) -> str:
    return (
        f'{_text(fields, "target")} takes {_text(fields, "limit_per_s")} '
        f'requests a second; permit of {_text(fields, "granter")}: '
        f'{_text(fields, "outcome")}, next one in {_text(fields, "next_s")} s'
    )


@_describes('request.refused')
def _refused(fields: Fields) -> str:
    detail = fields.get('detail')
    return (
        f'refused with {_text(fields, "status")} {_text(fields, "reason")}'
        f'{f" ({detail})" if detail else ""}; come back after '
        f'{_text(fields, "retry_after_s")} s'
    )


@_describes('request.stages_again')
def _stages_again(fields: Fields) -> str:
    return f'stages run again: {_text(fields, "reason")}'


@_describes('request.end')
def _end(fields: Fields) -> str:
    return (
        f'{_text(fields, "outcome")} with status {_text(fields, "status")} '
        f'after {_text(fields, "took_s")} s on route {_text(fields, "route")}'
    )
