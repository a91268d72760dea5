"""Limits and timeouts of orders to model engines."""

from __future__ import annotations

from typing import Final

MACHINE_NAME: Final = 'orders'

ACTION_LOAD_MODEL: Final = 'load_model'
ACTION_LOAD_ADAPTER: Final = 'load_adapter'
ACTION_UNLOAD_MODEL: Final = 'unload_model'
ACTION_CHANGE_ROLE: Final = 'change_role'

# The inventory has no adapter sizes; adapters are small compared with models.
ADAPTER_SIZE_GB: Final = 0.1

# Share of the in-flight time of an order within which the engine must start
# it after receipt; the rest is for the network.
EXPIRY_SHARE: Final = 0.5

# Limit of the relative difference between the rates of two hosts' clocks.
MAX_CLOCK_DRIFT: Final = 0.01

MAX_CONCURRENT_CALLS: Final = 64
REPORT_TIMEOUT_S: Final = 1.0
MAX_REPORT_BYTES: Final = 262_144
# Time for the effect of an accepted order to appear in the engine's report.
# Until then, the copies that it interrupts do not count as ready.
EFFECT_TIMEOUT_S: Final = 120.0
# Delay before a failed order is retried.
RETRY_DELAY_S: Final = 5.0
# Delay before a new grant is requested after an engine has refused the
# fencing number of the old one.
GRANT_RETRY_DELAY_S: Final = 5.0
