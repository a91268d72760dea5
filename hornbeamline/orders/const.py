"""Bounds and times of orders to model engines."""

from __future__ import annotations

from typing import Final

MACHINE_NAME: Final = 'orders'

ACTION_LOAD_MODEL: Final = 'load_model'
ACTION_LOAD_ADAPTER: Final = 'load_adapter'
ACTION_UNLOAD_MODEL: Final = 'unload_model'
ACTION_CHANGE_ROLE: Final = 'change_role'

# The inventory states no size of adapters; theirs are small beside models.
ADAPTER_SIZE_GB: Final = 0.1

# The network gets one part of the in-flight time of an order, the engine
# may hold the order for the other before it starts.
EXPIRY_SHARE: Final = 0.5

# Bound on the difference between the rates of two hosts' clocks.
CLOCK_DRIFT: Final = 0.01

MAX_CONCURRENT_CALLS: Final = 64
REPORT_TIMEOUT_S: Final = 1.0
MAX_REPORT_BYTES: Final = 262_144
# Time for an accepted order to show in the engine's report. Until then the
# copies that it takes away do not count as ready.
MAX_EFFECT_S: Final = 120.0
# Wait before an order that failed is given again.
RETRY_PAUSE_S: Final = 5.0
# Wait before a new grant after an engine has called the old one stale.
GRANT_PAUSE_S: Final = 5.0
