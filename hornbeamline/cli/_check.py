"""Command that validates settings, inventory and rules files."""

from __future__ import annotations

from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Any, Final

import typer

from hornbeamline.inventory import (
    ControlSettings,
    EntrySettings,
    InvalidDocumentError,
    load_document,
    load_settings,
    read_toml,
    validate,
)
from hornbeamline.load import LoadSettings
from hornbeamline.standins import StandinSettings

# Type of a settings file, by a key that only this type has. Files without
# any of these keys are parts of one fleet document.
_KINDS_BY_KEY: Final = MappingProxyType(
    {
        'storage': ControlSettings,
        'caller': EntrySettings,
        'rate_per_s': LoadSettings,
        'service_ms': StandinSettings,
    }
)


def check(
    files: Annotated[
        list[Path],
        typer.Argument(help='Settings, inventory and rules files (TOML).'),
    ],
) -> None:
    """Validate settings, inventory and rules without changing anything.

    Inventory and rules files are validated together, as one fleet. Exit
    code 0 when all files are valid, 2 otherwise.
    """
    parts: list[Path] = []
    for path in files:
        kind = _settings_kind(path)
        if kind is None:
            parts.append(path)
        else:
            load_settings(path, kind)
            typer.echo(f'{path}: valid {kind.__name__}')
    if parts:
        _check_fleet(parts)


def _settings_kind(path: Path) -> type[Any] | None:
    content = read_toml(path)
    for key, kind in _KINDS_BY_KEY.items():
        if key in content:
            return kind
    return None


def _check_fleet(parts: list[Path]) -> None:
    names = ', '.join(map(str, parts))
    try:
        fleet = validate(load_document(parts))
    except InvalidDocumentError as error:
        raise error if error.file else error.in_file(names) from error
    typer.echo(
        f'{names}: valid fleet {fleet.fleet.name} with '
        f'{len(fleet.hosts_by_name)} hosts, '
        f'{len(fleet.targets_by_name)} targets, '
        f'{len(fleet.accounts_by_name)} client accounts, '
        f'{len(fleet.pipelines_by_name)} pipelines',
    )
