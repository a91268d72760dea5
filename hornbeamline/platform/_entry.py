"""Builds the daemon of an entry host from the platform's settings."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from hornbeamline.clients import ProcessLimits
from hornbeamline.daemons.gateway import GatewayDaemon, GatewaySettings
from hornbeamline.gateway import BudgetSettings
from hornbeamline.platform._document import read_routing_table
from hornbeamline.platform._list import ServerList
from hornbeamline.platform._process import (
    ENTRY_PORT_OFFSET,
    FLEET,
    control_address_of_host,
    control_address_reader,
    control_addresses,
    peering_settings,
)
from hornbeamline.platform._settings import read_settings
from hornbeamline.platform._wire import PlatformWire

# A draining server must not receive requests later than 3 s after the list
# shows its state. Control processes read the list for all hosts; an entry
# process reads it itself when their copy is stale, early enough that one
# failed call still fits within the 3 s.
_LIST_INTERVAL_S: Final = 1.0
_LIST_MAX_AGE_S: Final = 1.5
_METRICS_PORT: Final = 9464


def entry_daemon(path: Path) -> GatewayDaemon:
    """Return the daemon of an entry host."""
    settings = read_settings(path)
    return GatewayDaemon(
        GatewaySettings(
            name=f'entry-{settings.ip}',
            host=settings.host,
            data_centre=settings.data_centre,
            fleet=FLEET,
            peering=peering_settings(settings, ENTRY_PORT_OFFSET),
            controls_by_name=control_addresses(settings),
            substitutes_by_name=control_address_of_host(settings),
            caller_address=settings.caller_address,
            readiness_address=settings.readiness_address,
            metrics_address=f'{settings.ip}:{_METRICS_PORT}',
            list_interval_s=_LIST_INTERVAL_S,
            list_max_age_s=_LIST_MAX_AGE_S,
            list_rate_per_s=settings.list_rate_per_s,
            list_lag_s=settings.list_lag_s,
            stop_timeout_s=settings.stop_timeout_s,
            budget=BudgetSettings(
                settings.retry_ratio,
                settings.retry_window_s,
                settings.retry_slack,
            ),
            processor_cores=settings.processor_cores,
            limits=ProcessLimits(settings.memory_mb, settings.max_fds),
        ),
        PlatformWire(),
        lambda http: ServerList(http, settings.list_address),
        read_routing_table,
        control_address_reader(path),
    )
