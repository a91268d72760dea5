"""Settings shared by the entry and control processes of a host."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Final

from hornbeamline.inventory import PeeringSettings
from hornbeamline.platform._settings import (
    ProcessSettings,
    read_settings,
)

FLEET: Final = 'platform'
# Offsets from the first port of the range for inter-process messages.
CONTROL_PORT_OFFSET: Final = 0
ENTRY_PORT_OFFSET: Final = 1
# An unresponsive peer is detected well within the platform's bounds.
# Heartbeats are sent along with enrolments, which are more frequent.
_HEARTBEAT_INTERVAL_S: Final = 0.45
_SILENCE_TIMEOUT_S: Final = 1.2


def control_addresses(settings: ProcessSettings) -> dict[str, str]:
    """Return the addresses by name of the control processes in `settings`."""
    port = settings.peer_ports[0] + CONTROL_PORT_OFFSET
    return {ip: f'{ip}:{port}' for ip in settings.control_ips}


def control_address_of_host(settings: ProcessSettings) -> dict[str, str]:
    """Return the address by name of a control process on this host.

    Not every host has one.
    """
    port = settings.peer_ports[0] + CONTROL_PORT_OFFSET
    return {settings.ip: f'{settings.ip}:{port}'}


def peering_settings(settings: ProcessSettings, offset: int) -> PeeringSettings:
    """Return the peering settings of a process.

    `offset` selects its port within the range of peer ports.
    """
    port = settings.peer_ports[0] + offset
    return PeeringSettings(
        address=f'{settings.ip}:{port}',
        heartbeat_interval_s=_HEARTBEAT_INTERVAL_S,
        silence_timeout_s=_SILENCE_TIMEOUT_S,
    )


def control_address_reader(path: Path) -> Callable[[], dict[str, str]]:
    """Return a function that reads the control addresses again from `path`."""
    return lambda: control_addresses(read_settings(path))
