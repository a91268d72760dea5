"""Builds the daemon of a control host from the platform's settings."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Final

from hornbeamline.clients import ProcessLimits
from hornbeamline.daemons.document_control import (
    DocumentControlDaemon,
    DocumentControlSettings,
)
from hornbeamline.inventory import StorageSettings
from hornbeamline.platform._document import (
    read_document_number,
    read_stream_limit_s,
)
from hornbeamline.platform._list import ServerList
from hornbeamline.platform._operator import operator_app
from hornbeamline.platform._process import (
    CONTROL_PORT_OFFSET,
    FLEET,
    control_address_reader,
    control_addresses,
    peering_settings,
)
from hornbeamline.platform._settings import read_settings

# A document can reach about 100 KB, and the disk holds 64 MB.
_SNAPSHOT_ENTRIES: Final = 48
# Records of streams are small and frequent while several versions serve.
_SNAPSHOT_MIN_BYTES: Final = 65_536
# Control processes read the list on behalf of all hosts; at this interval
# each host follows a change within the platform's bound.
_LIST_INTERVAL_S: Final = 0.6
# Number of control processes in the largest known fleets.
_LIST_READERS: Final = 8
_METRICS_PORT: Final = 9465
# The entry process of the host needs more memory for its clients.
_MEMORY_SHARE: Final = 0.15


def control_daemon(path: Path) -> DocumentControlDaemon:
    """Return the daemon of a control host."""
    settings = read_settings(path)
    return DocumentControlDaemon(
        DocumentControlSettings(
            name=settings.ip,
            host=settings.host,
            data_centre=settings.data_centre,
            data_centres=frozenset(settings.region_by_data_centre),
            fleet=FLEET,
            peering=peering_settings(settings, CONTROL_PORT_OFFSET),
            controls_by_name=control_addresses(settings),
            is_first_start=settings.is_first_start,
            storage=StorageSettings(
                # A host without a disk keeps its files in memory.
                data_folder=settings.data_folder or tempfile.gettempdir(),
                snapshot_entries=_SNAPSHOT_ENTRIES,
                snapshot_min_bytes=_SNAPSHOT_MIN_BYTES,
            ),
            is_durable=bool(settings.data_folder),
            voters=2 * settings.tolerated_losses + 1,
            operator_address=settings.operator_address,
            metrics_address=f'{settings.ip}:{_METRICS_PORT}',
            list_interval_s=_LIST_INTERVAL_S,
            list_rate_per_s=settings.list_rate_per_s,
            list_readers=_LIST_READERS,
            stop_timeout_s=settings.stop_timeout_s,
            limits=ProcessLimits(
                settings.memory_mb, settings.max_fds, _MEMORY_SHARE
            ),
        ),
        read_document_number,
        operator_app,
        lambda http: ServerList(http, settings.list_address),
        control_address_reader(path),
        read_stream_limit_s,
    )
