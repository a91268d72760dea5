"""Limits, intervals and names of the configuration."""

from __future__ import annotations

from typing import Final

MACHINE_NAME: Final = 'configuration'

MAX_CHANGE_IDS: Final = 10_000
MAX_HISTORY: Final = 1_000
# A change of every table at the design scale takes about 3 MB; without this
# limit, a history of such changes exceeds the memory of a control host.
MAX_HISTORY_BYTES: Final = 33_554_432
MAX_CHANGE_ID_LENGTH: Final = 128
MAX_HOLDERS: Final = 4_096
# Hosts renew once per second; one that has not renewed for this long counts
# as removed.
HOLDER_RETENTION_S: Final = 3_600.0
MAX_READS_PER_BARRIER: Final = 4_096
LEASE_S: Final = 4.0

INITIAL_CHANGE_ID: Final = 'initial'
INITIAL_PROPOSAL_RETRY_S: Final = 0.5
AUTHOR_INITIAL: Final = 'settings'

STATUS_ACCEPTED: Final = 'accepted'
STATUS_CONFLICT: Final = 'conflict'
STATUS_INVALID: Final = 'invalid'

# Up to this number of tables, an entry host computes the digest of its whole
# copy after each change, which takes about 1.5 ms; in larger documents it
# updates the digest from the changed tables only.
FULL_CHECK_TABLES: Final = 1_000
