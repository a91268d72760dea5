"""Bounds, times and names of the ledger."""

from __future__ import annotations

from typing import Final

MACHINE_NAME: Final = 'ledger'

_MS_PER_HOUR: Final = 3_600_000
# The outcome is kept for 24 h after the end, then a tombstone until 30 days
# after the end.
OUTCOME_KEPT_MS: Final = 24 * _MS_PER_HOUR
KEY_KEPT_MS: Final = 30 * 24 * _MS_PER_HOUR
# Longer than every deadline, so that an owner that is alive reports first.
RESULT_WAIT_MS: Final = 30_000
# A claim that is not marked SENDING by its deadline and this grace is ended
# as not run; this frees a key whose grant got lost on the way.
CLAIM_GRACE_MS: Final = 1_000

# Records that change by themselves in one command, at about 0.03 ms each;
# the others follow with the next tick.
MAX_DUE_PER_COMMAND: Final = 2_000

MAX_BODY_BYTES: Final = 262_144
# Bodies beyond this total are kept by digest only, oldest first.
MAX_BODIES_BYTES: Final = 67_108_864
# New keys are refused above these numbers of claims with an outcome or in
# progress, and of all remembered keys.
MAX_RECORDS: Final = 50_000
MAX_KEYS: Final = 500_000
MAX_SESSIONS: Final = 4_096

# An owner may send up to its send-by time less this margin.
SEND_MARGIN_S: Final = 0.2
SESSION_TIMEOUT_S: Final = 5.0
TICK_INTERVAL_S: Final = 0.25
# A leader that was itself suspended for longer than this has not seen the
# renewals that were sent meanwhile.
MAX_TICK_GAP_S: Final = 1.5
MAX_BATCH: Final = 256
# A lookup is held this long at the leader before it is asked again.
MAX_HELD_LOOKUP_S: Final = 0.7

REASON_KEY_REUSED: Final = 'key_reused'
REASON_KEY_EXPIRED: Final = 'key_expired'
REASON_LEDGER_FULL: Final = 'ledger_full'
REASON_NO_SESSION: Final = 'no_session'
REASON_UNAVAILABLE: Final = 'ledger_unavailable'
REASON_OWNER_LOST: Final = 'owner_lost'
REASON_CLAIM_DEADLINE: Final = 'claim_deadline'
REASON_RESULT_WAIT: Final = 'result_wait'
