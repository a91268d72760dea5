"""A fleet of processes on loopback addresses, for demonstrations and tests."""

from __future__ import annotations

from hornbeamline.local_fleet._addresses import (
    free_addresses,
    loopback_net,
)
from hornbeamline.local_fleet._files import (
    FleetPlan,
    LocalAddresses,
    plan_fleet,
    write_settings,
)
from hornbeamline.local_fleet._processes import ProcessGroup
from hornbeamline.local_fleet._promises import (
    PromiseReport,
    executions_by_key,
    find_violations,
)

__all__ = (
    'FleetPlan',
    'LocalAddresses',
    'ProcessGroup',
    'PromiseReport',
    'executions_by_key',
    'find_violations',
    'free_addresses',
    'loopback_net',
    'plan_fleet',
    'write_settings',
)
