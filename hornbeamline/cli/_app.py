"""Command tree.

Errors that the user can fix end the program with one line on stderr and
exit code 2.
"""

from __future__ import annotations

import sys
from typing import Final

import typer

from hornbeamline import VERSION
from hornbeamline.cli import _caller, _config, _daemons, _quarantine
from hornbeamline.cli._check import check
from hornbeamline.cli._demo import demo
from hornbeamline.cli._explain import explain
from hornbeamline.exceptions import HornbeamlineError, InventoryError
from hornbeamline.helpers.listeners import AddressInUseError
from hornbeamline.peering import ListenError
from hornbeamline.replog import DataFolderError

EXIT_USAGE: Final = 2
EXIT_FAILED: Final = 1
# Errors that an operator can fix in the settings or on the host.
_USAGE_ERRORS: Final = (
    InventoryError,
    AddressInUseError,
    ListenError,
    DataFolderError,
)

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help='Serves multi-stage model pipelines between callers and targets.',
)
app.add_typer(_daemons.entry_app, name='entry', help='The entry process.')
app.add_typer(
    _daemons.control_app, name='control', help='The control process, a voter.'
)
app.add_typer(_daemons.target_app, name='target', help='Stand-in targets.')

app.add_typer(
    _caller.request_app,
    name='request',
    help='Single requests as a caller.',
)
app.add_typer(
    _config.config_app,
    name='config',
    help='The accepted configuration.',
)
app.add_typer(
    _quarantine.quarantine_app,
    name='quarantine',
    help='Prompt parts that crash engines.',
)
app.command()(_config.status)
app.command()(check)
app.command()(_caller.load)
app.command()(demo)
app.command()(explain)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(VERSION)


def main() -> None:
    """Run the command line."""
    try:
        app()
    except _USAGE_ERRORS as error:
        sys.stderr.write(f'hornbeamline: {error}\n')
        sys.exit(EXIT_USAGE)
    except HornbeamlineError as error:
        sys.stderr.write(f'hornbeamline: {error}\n')
        sys.exit(EXIT_FAILED)
