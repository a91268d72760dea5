"""Commands that show and lift the quarantine of prompt parts."""

from __future__ import annotations

from typing import Annotated, Final
from urllib.parse import urlencode

import typer

from hornbeamline.cli._operator import (
    DEFAULT_TIMEOUT_S,
    JsonOption,
    OperatorAccess,
    OperatorOption,
    TimeoutOption,
    call_operator,
    require_ok,
)
from hornbeamline.helpers.codec import encode_json

quarantine_app = typer.Typer(no_args_is_help=True)

_PATH: Final = '/v1/quarantine'


@quarantine_app.command('list')
def show(
    operator: OperatorOption,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """List the prompt parts whose requests are refused."""
    access = OperatorAccess(operator, '', timeout)
    body = require_ok(call_operator(access, 'GET', _PATH))
    if as_json:
        typer.echo(encode_json(body).decode())
        return
    if not body['parts']:
        typer.echo('no prompt part is in quarantine')
    for part in body['parts']:
        typer.echo(
            f'{part["part"]}: {part["crashes"]} engines ended, '
            f'score {part["score"]:.1f}, {part["left_s"]:.0f} s left',
        )


@quarantine_app.command('lift')
def lift(
    part: Annotated[
        str, typer.Argument(help='Prompt part as shown by `list`.')
    ],
    operator: OperatorOption,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
) -> None:
    """Serve requests with a prompt part again and forget its crashes."""
    access = OperatorAccess(operator, '', timeout)
    path = f'{_PATH}?{urlencode({"part": part})}'
    require_ok(call_operator(access, 'DELETE', path))
    typer.echo(f'{part}: lifted')
