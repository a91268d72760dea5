"""Names and limits of the operator interface."""

from __future__ import annotations

from typing import Final

# A configuration of the design scale takes about 3 MB as JSON.
MAX_BODY_BYTES: Final = 8_388_608
BODY_TIMEOUT_S: Final = 10.0
DEFAULT_HISTORY_LIMIT: Final = 100
MAX_HISTORY_LIMIT: Final = 1_000

MEDIA_PROBLEM: Final = 'application/problem+json'

REASON_CONFLICT: Final = 'conflict'
REASON_INVALID: Final = 'invalid'
REASON_NOT_LEADER: Final = 'not_leader'
# The change may still be accepted; the operator resends it with the same
# change ID.
REASON_UNKNOWN: Final = 'unknown'
REASON_UNAVAILABLE: Final = 'unavailable'
REASON_REFUSED: Final = 'refused'
REASON_NO_VOTER_CHANGES: Final = 'no_voter_changes'
