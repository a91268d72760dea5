"""Commands that change or show the accepted configuration and status."""

from __future__ import annotations

import datetime
import uuid
from pathlib import Path
from typing import Annotated, Any

import tomli_w
import typer

from hornbeamline.cli._operator import (
    DEFAULT_TIMEOUT_S,
    JsonOption,
    OperatorAccess,
    OperatorCredentialOption,
    OperatorOption,
    TimeoutOption,
    call_operator,
    require_ok,
)
from hornbeamline.helpers.clock import MS_PER_S
from hornbeamline.helpers.codec import encode_json
from hornbeamline.inventory import (
    Document,
    InvalidDocumentError,
    Operation,
    difference,
    load_document,
    validate,
)

config_app = typer.Typer(no_args_is_help=True)

_PATH_DOCUMENT = '/v1/configuration'
_PATH_CHANGES = '/v1/configuration/changes'
_PATH_HISTORY = '/v1/configuration/history'
_PATH_STATUS = '/v1/status'


@config_app.command('apply')
def apply(
    files: Annotated[
        list[Path],
        typer.Argument(help='All inventory and rules files (TOML).'),
    ],
    operator: OperatorOption,
    credential: OperatorCredentialOption,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    author: Annotated[
        str,
        typer.Option('--author', envvar='USER', help='Name in the history.'),
    ] = '',
    as_json: JsonOption = False,
) -> None:
    """Apply inventory and rules files as the accepted configuration.

    The files are compared with the accepted document and only the
    differences are sent. Exit code 0 when the change is accepted or there
    is none, 1 when another change was accepted first, 2 when the files are
    invalid, 4 when no leader is found.
    """
    access = OperatorAccess(operator, credential, timeout)
    wanted = _load_validated(files)
    current = require_ok(
        call_operator(access, 'GET', _PATH_DOCUMENT),
    )
    operations = difference(current['document'], wanted)
    if not operations:
        accepted = {'status': 'unchanged', 'revision': current['revision']}
        _print_accepted(accepted, [], as_json=as_json)
        return
    # A retry after a lost answer has the same id, so it is applied once.
    change = {
        'change_id': uuid.uuid4().hex,
        'base_revision': current['revision'],
        'operations': [operation._asdict() for operation in operations],
        'author': author,
    }
    answer = call_operator(access, 'POST', _PATH_CHANGES, change)
    _print_accepted(require_ok(answer), operations, as_json=as_json)


@config_app.command('show')
def show(
    operator: OperatorOption,
    credential: OperatorCredentialOption,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Print the accepted configuration as TOML."""
    access = OperatorAccess(operator, credential, timeout)
    current = require_ok(
        call_operator(access, 'GET', _PATH_DOCUMENT),
    )
    if as_json:
        typer.echo(encode_json(current).decode())
        return
    typer.echo(f'# revision {current["revision"]}')
    typer.echo(tomli_w.dumps(current['document']), nl=False)


@config_app.command('history')
def history(
    operator: OperatorOption,
    credential: OperatorCredentialOption,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    limit: Annotated[
        int,
        typer.Option('--limit', min=1, max=1000, help='Number of changes.'),
    ] = 20,
    as_json: JsonOption = False,
) -> None:
    """Print the latest accepted changes, oldest first."""
    access = OperatorAccess(operator, credential, timeout)
    path = f'{_PATH_HISTORY}?limit={limit}'
    listed = require_ok(call_operator(access, 'GET', path))
    if as_json:
        typer.echo(encode_json(listed).decode())
        return
    for change in listed['changes']:
        typer.echo(_history_line(change))


def status(
    operator: OperatorOption,
    credential: OperatorCredentialOption,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Print the leader, the voters, and each host's revision and lease."""
    access = OperatorAccess(operator, credential, timeout)
    state = require_ok(
        call_operator(access, 'GET', _PATH_STATUS),
    )
    if as_json:
        typer.echo(encode_json(state).decode())
        return
    typer.echo(
        f'leader {state["leader"]}, term {state["term"]}, '
        f'revision {state["revision"]}',
    )
    for voter in state['voters']:
        kind = 'voter' if voter['is_voter'] else 'learner'
        liveness = 'alive' if voter['is_alive'] else 'silent'
        typer.echo(f'{kind} {voter["name"]}: {liveness}')
    for host in state['hosts']:
        typer.echo(_host_line(host, state['revision']))


def _load_validated(files: list[Path]) -> Document:
    document = load_document(files)
    try:
        validate(document)
    except InvalidDocumentError as error:
        if error.file:
            raise
        raise error.in_file(', '.join(map(str, files))) from error
    return document


def _print_accepted(
    accepted: dict[str, Any],
    operations: list[Operation],
    *,
    as_json: bool,
) -> None:
    if as_json:
        counted = {**accepted, 'operations': len(operations)}
        typer.echo(encode_json(counted).decode())
        return
    typer.echo(
        f'revision {accepted["revision"]}: {accepted["status"]}, '
        f'{len(operations)} operations',
    )


def _history_line(change: dict[str, Any]) -> str:
    moment = datetime.datetime.fromtimestamp(
        change['at_ms'] / MS_PER_S,
        tz=datetime.UTC,
    )
    paths = ', '.join(
        f'{operation["action"]} {operation["section"]}.{operation["name"]}'
        for operation in change['operations'][:3]
    )
    omitted = len(change['operations']) - 3
    suffix = f' and {omitted} more' if omitted > 0 else ''
    author = change['author'] or '-'
    return (
        f'{change["revision"]} {moment.isoformat(timespec="seconds")} '
        f'{author} {change["change_id"]}: {paths}{suffix}'
    )


def _host_line(host: dict[str, Any], revision: int) -> str:
    if host['revision'] is None:
        return f'{host["role"]} {host["host"]}: not heard by this leader'
    behind = '' if host['revision'] == revision else ' (behind)'
    return (
        f'{host["role"]} {host["host"]}: revision {host["revision"]}{behind}, '
        f'lease {host["lease_left_s"]:.1f} s, '
        f'renewed {host["renewed_ago_s"]:.1f} s ago'
    )
