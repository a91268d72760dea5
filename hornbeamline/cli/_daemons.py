"""Commands that run a daemon or a stand-in target until it is stopped."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from hornbeamline.core import Kernel
from hornbeamline.daemons.control import ControlDaemon
from hornbeamline.daemons.entry import EntryDaemon
from hornbeamline.inventory import (
    ControlSettings,
    EntrySettings,
    load_settings,
)
from hornbeamline.standins import StandinSettings, StandinTarget
from hornbeamline.telemetry import configure_logs, log_crashes

entry_app = typer.Typer(no_args_is_help=True)
control_app = typer.Typer(no_args_is_help=True)
target_app = typer.Typer(no_args_is_help=True)

SettingsOption = Annotated[
    Path,
    typer.Option('--settings', help='Settings file (TOML).'),
]


@entry_app.command('run')
def run_entry(settings: SettingsOption) -> None:
    """Run an entry process until SIGTERM."""
    entry_settings = load_settings(settings, EntrySettings)
    configure_logs(host=entry_settings.host.name)
    log_crashes()

    async def serve() -> int:
        return await EntryDaemon(entry_settings).run()

    raise typer.Exit(asyncio.run(serve()))


@control_app.command('run')
def run_control(settings: SettingsOption) -> None:
    """Run a control process until SIGTERM."""
    control_settings = load_settings(settings, ControlSettings)
    configure_logs(host=control_settings.host.name)
    log_crashes()

    async def serve() -> int:
        return await ControlDaemon(control_settings).run()

    raise typer.Exit(asyncio.run(serve()))


@target_app.command('run')
def run_target(settings: SettingsOption) -> None:
    """Run a stand-in target until SIGTERM."""
    target_settings = load_settings(settings, StandinSettings)
    configure_logs(target=target_settings.name)
    log_crashes()

    async def serve() -> int:
        kernel = Kernel(stop_timeout_s=10)
        kernel.register('target', StandinTarget(target_settings))
        return await kernel.run()

    raise typer.Exit(asyncio.run(serve()))
