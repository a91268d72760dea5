"""Bounds, times and names of the configuration."""

from __future__ import annotations

from typing import Final

MACHINE_NAME: Final = 'configuration'

MAX_CHANGE_IDS: Final = 10_000
MAX_HISTORY: Final = 1_000
# A change of every table at the design scale takes about 3 MB; without this
# bound a history of such changes would exceed the memory of a control host.
MAX_HISTORY_BYTES: Final = 33_554_432
MAX_CHANGE_ID_LENGTH: Final = 128
MAX_HOLDERS: Final = 4_096
# Renewals are one per second; a host silent this long was removed.
HOLDER_KEPT_S: Final = 3_600.0
MAX_BARRIER_SHARE: Final = 4_096
LEASE_S: Final = 4.0

INITIAL_CHANGE_ID: Final = 'initial'
INITIAL_RETRY_S: Final = 0.5
AUTHOR_INITIAL: Final = 'settings'

STATUS_ACCEPTED: Final = 'accepted'
STATUS_CONFLICT: Final = 'conflict'
STATUS_INVALID: Final = 'invalid'

# Up to this many tables an entry host checks its whole copy after each
# change, which takes about 1.5 ms; beyond it, only what the change touches.
FULL_CHECK_TABLES: Final = 1_000
