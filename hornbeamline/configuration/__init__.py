"""Configuration accepted by the control hosts, and leases on it."""

from __future__ import annotations

from hornbeamline.configuration._client import ConfigurationClient
from hornbeamline.configuration._machine import ConfigurationMachine
from hornbeamline.configuration._service import ConfigurationService
from hornbeamline.configuration._static import StaticFleetSource
from hornbeamline.configuration._types import (
    Accepted,
    Change,
    ChangeResponse,
    HistoryEntry,
    HolderStatus,
)
from hornbeamline.configuration.errors import (
    NoConfigurationError,
    RefusedRevisionError,
)

__all__ = (
    'Accepted',
    'Change',
    'ChangeResponse',
    'ConfigurationClient',
    'ConfigurationMachine',
    'ConfigurationService',
    'HistoryEntry',
    'HolderStatus',
    'NoConfigurationError',
    'RefusedRevisionError',
    'StaticFleetSource',
)
