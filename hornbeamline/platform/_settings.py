"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import math
import os
import tomllib
from pathlib import Path
from typing import Annotated, Any, Final, NamedTuple

import msgspec

from hornbeamline.exceptions import InventoryError

_MS_PER_S: Final = 1000
SETTINGS_VARIABLE: Final = 'HORNBEAMLINE_SETTINGS'


class _Table(msgspec.Struct, frozen=True, kw_only=True, rename='kebab'):
    """Base of a table; the platform requires that unknown keys are ignored."""


class _Listen(_Table, frozen=True, kw_only=True):
    front: str = ''
    readiness_addr: str = ''
    control: str = ''


class _FaultTolerance(_Table, frozen=True, kw_only=True):
    machines: int = 1


class _Limits(_Table, frozen=True, kw_only=True):
    cpu_share: Annotated[float, msgspec.Meta(ge=0)] = 0
    cores: Annotated[float, msgspec.Meta(ge=0)] = 1
    memory_mb: float = 0
    max_fds: int = 0


class _Bounds(_Table, frozen=True, kw_only=True):
    grace_s: float = 8
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 64


class _CloudApi(_Table, frozen=True, kw_only=True):
    address: str
    rate_per_s: float = 40
    max_lag_ms: Annotated[float, msgspec.Meta(ge=0)] = 3000


class _SettingsFile(_Table, frozen=True, kw_only=True):
    node: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    seeds: list[str]
    bootstrap: bool = False
    data_dir: str = ''
    listen: _Listen
    fault_tolerance: _FaultTolerance = _FaultTolerance()
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    cloud_api: _CloudApi
    zones: dict[str, str] = {}


class ProcessSettings(NamedTuple):
    """Settings of a process, translated from the platform's terms."""

    host: str
    ip: str
    data_centre: str
    # All data centres of the deployment that the platform has named.
    region_by_data_centre: dict[str, str]
    # First and last port of the range for messages between hornbeamline
    # processes.
    peer_ports: tuple[int, int]
    # IP addresses of the control hosts known when the file was written.
    control_ips: list[str]
    # Whether the whole fleet starts for the first time, with empty disks.
    is_first_start: bool
    # Empty on hosts without a disk.
    data_folder: str
    caller_address: str
    readiness_address: str
    operator_address: str
    # Number of control hosts that may fail at the same time.
    tolerated_losses: int
    stop_timeout_s: float
    # Processor capacity in cores; 0 if the settings do not state it.
    processor_cores: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    list_address: str
    # Rate limit of calls to the list, shared by all hosts.
    list_rate_per_s: float
    # Longest time until a change shows in the list.
    list_lag_s: float
    # Limits of the host; 0 if they are not stated.
    memory_mb: float
    max_fds: int


def settings_path() -> Path:
    """Return the path of the settings file from the environment.

    Raises `InventoryError` when the variable is unset or empty.
    """
    name = os.environ.get(SETTINGS_VARIABLE)
    if not name:
        raise InventoryError(f'{SETTINGS_VARIABLE} is not set')
    return Path(name)


def _usable(figure: float) -> float:
    return figure if 0 < figure < math.inf else 0


def read_settings(path: Path) -> ProcessSettings:
    """Read the settings file of the platform.

    Raises `InventoryError` with the path and the offending key.
    """
    try:
        raw: dict[str, Any] = tomllib.loads(path.read_text())
        table = msgspec.convert(raw, _SettingsFile)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InventoryError(f'{path}: {error}') from error
    except msgspec.ValidationError as error:
        raise InventoryError(f'{path}: {error}') from error
    return ProcessSettings(
        host=table.node,
        ip=table.ip,
        data_centre=table.zone,
        region_by_data_centre=table.zones,
        peer_ports=table.internal_ports,
        control_ips=[seed.rpartition(':')[0] for seed in table.seeds],
        is_first_start=table.bootstrap,
        data_folder=table.data_dir,
        caller_address=table.listen.front,
        readiness_address=table.listen.readiness_addr,
        operator_address=table.listen.control,
        tolerated_losses=table.fault_tolerance.machines,
        stop_timeout_s=table.bounds.grace_s,
        processor_cores=table.limits.cpu_share * table.limits.cores,
        retry_ratio=table.bounds.retry_ratio,
        retry_window_s=table.bounds.retry_window_s,
        retry_slack=table.bounds.retry_slack,
        list_address=table.cloud_api.address,
        list_rate_per_s=table.cloud_api.rate_per_s,
        list_lag_s=table.cloud_api.max_lag_ms / _MS_PER_S,
        memory_mb=_usable(table.limits.memory_mb),
        max_fds=max(table.limits.max_fds, 0),
    )
