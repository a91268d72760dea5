"""Builds the product's settings and runs its daemons."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Final

from hornbeamline.daemons.gateway import GatewayDaemon, GatewaySettings
from hornbeamline.daemons.keeper import KeeperDaemon, KeeperSettings
from hornbeamline.exceptions import InventoryError
from hornbeamline.gateway import BudgetSettings
from hornbeamline.inventory import PeeringSettings, StorageSettings
from hornbeamline.platform._document import number_of, read_table
from hornbeamline.platform._list import ServerList
from hornbeamline.platform._operator import operator_app
from hornbeamline.platform._settings import (
    SETTINGS_VARIABLE,
    ProcessSettings,
    read_settings,
)
from hornbeamline.platform._wire import PlatformWire

_FLEET: Final = 'platform'
# Ports within the range for messages between processes.
_CONTROL_PORT_OFFSET: Final = 0
_ENTRY_PORT_OFFSET: Final = 1
# A silent peer is noticed well within the bounds of the platform.
_HEARTBEAT_S: Final = 0.3
_SILENCE_S: Final = 1.2
# A document may have some 100 KB; the disk has 64 MB.
_SNAPSHOT_ENTRIES: Final = 48
# A leaving server must get nothing 3 s after the list shows it. Control
# processes read the list for all; an entry process reads it itself when
# that is late, with time left for one call that fails.
_LIST_INTERVAL_S: Final = 1.0
_CONTROL_LIST_INTERVAL_S: Final = 0.6
_LIST_FRESH_S: Final = 1.3
# Control processes of the largest fleets so far.
_LIST_READERS: Final = 8
_ENTRY_METRICS_PORT: Final = 9464
_CONTROL_METRICS_PORT: Final = 9465


def settings_path() -> Path:
    """Return the path of the settings file; raises `InventoryError`."""
    name = os.environ.get(SETTINGS_VARIABLE)
    if not name:
        raise InventoryError(f'{SETTINGS_VARIABLE} is not set')
    return Path(name)


def entry_daemon(path: Path) -> GatewayDaemon:
    """Return the daemon of an entry host."""
    settings = read_settings(path)
    return GatewayDaemon(
        GatewaySettings(
            name=f'entry-{settings.ip}',
            host=settings.host,
            data_centre=settings.data_centre,
            fleet=_FLEET,
            peering=_peering(settings, _ENTRY_PORT_OFFSET),
            controls_by_name=_controls(settings),
            caller_address=settings.caller_address,
            readiness_address=settings.readiness_address,
            metrics_address=f'{settings.ip}:{_ENTRY_METRICS_PORT}',
            list_interval_s=_LIST_INTERVAL_S,
            list_fresh_s=_LIST_FRESH_S,
            list_rate_per_s=settings.list_rate_per_s,
            stop_timeout_s=settings.stop_timeout_s,
            budget=BudgetSettings(
                settings.repeat_ratio,
                settings.repeat_window_s,
                settings.repeat_slack,
            ),
        ),
        PlatformWire(),
        lambda http: ServerList(http, settings.list_address),
        read_table,
        _control_reader(path),
    )


def control_daemon(path: Path) -> KeeperDaemon:
    """Return the daemon of a control host."""
    settings = read_settings(path)
    return KeeperDaemon(
        KeeperSettings(
            name=settings.ip,
            host=settings.host,
            data_centre=settings.data_centre,
            fleet=_FLEET,
            peering=_peering(settings, _CONTROL_PORT_OFFSET),
            controls_by_name=_controls(settings),
            is_first_start=settings.is_first_start,
            storage=StorageSettings(
                # Files of a host without a disk are kept in memory.
                data_folder=settings.data_folder or tempfile.gettempdir(),
                snapshot_entries=_SNAPSHOT_ENTRIES,
            ),
            is_durable=bool(settings.data_folder),
            voters=2 * settings.tolerated_losses + 1,
            operator_address=settings.operator_address,
            metrics_address=f'{settings.ip}:{_CONTROL_METRICS_PORT}',
            list_interval_s=_CONTROL_LIST_INTERVAL_S,
            list_rate_per_s=settings.list_rate_per_s,
            list_readers=_LIST_READERS,
            stop_timeout_s=settings.stop_timeout_s,
        ),
        number_of,
        operator_app,
        lambda http: ServerList(http, settings.list_address),
        _control_reader(path),
    )


def _controls(settings: ProcessSettings) -> dict[str, str]:
    port = settings.peer_ports[0] + _CONTROL_PORT_OFFSET
    return {ip: f'{ip}:{port}' for ip in settings.control_ips}


def _peering(settings: ProcessSettings, offset: int) -> PeeringSettings:
    port = settings.peer_ports[0] + offset
    return PeeringSettings(
        address=f'{settings.ip}:{port}',
        heartbeat_interval_s=_HEARTBEAT_S,
        silence_timeout_s=_SILENCE_S,
    )


def _control_reader(path: Path) -> Callable[[], dict[str, str]]:
    return lambda: _controls(read_settings(path))
