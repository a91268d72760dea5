"""Limits, timeouts and names of the ledger."""

from __future__ import annotations

from typing import Final

MACHINE_NAME: Final = 'ledger'

_MS_PER_HOUR: Final = 3_600_000
# An outcome is kept for 24 h after the end of its claim (less if the table of
# records is full), then a tombstone until 30 days after the end.
OUTCOME_RETENTION_MS: Final = 24 * _MS_PER_HOUR
KEY_RETENTION_MS: Final = 30 * 24 * _MS_PER_HOUR
# Time after the send-by time until a claim ends as unknown. Longer than
# every deadline, so that a live owner reports its outcome first.
RESULT_WAIT_MS: Final = 30_000
# A claim that is not marked SENDING within this time after its deadline ends
# as not run, which frees a key whose grant was lost in transit.
CLAIM_GRACE_MS: Final = 1_000

# Timed transitions per command. Each takes about 0.03 ms; the remaining ones
# are applied at the next tick.
MAX_DUE_PER_COMMAND: Final = 2_000

MAX_BODY_BYTES: Final = 262_144
# Above this total, the oldest bodies are dropped and only their digests kept.
MAX_BODIES_BYTES: Final = 67_108_864
# When this many claims are in progress or have an outcome, the oldest outcomes
# are replaced with tombstones. New keys are refused when there is none left to
# replace, or when MAX_KEYS keys are stored, including tombstones.
MAX_RECORDS: Final = 50_000
MAX_KEYS: Final = 500_000
MAX_SESSIONS: Final = 4_096

# Owners stop sending this long before the send-by time.
SEND_MARGIN_S: Final = 0.2
SESSION_TIMEOUT_S: Final = 5.0
TICK_INTERVAL_S: Final = 0.25
# A longer gap between ticks means that the leader was suspended and has not
# seen the renewals that were sent meanwhile.
MAX_TICK_GAP_S: Final = 1.5
MAX_BATCH: Final = 256
# Time for which the leader holds a lookup before the client repeats it.
MAX_LONG_POLL_S: Final = 0.7

REASON_KEY_REUSED: Final = 'key_reused'
REASON_KEY_EXPIRED: Final = 'key_expired'
REASON_LEDGER_FULL: Final = 'ledger_full'
REASON_NO_SESSION: Final = 'no_session'
REASON_UNAVAILABLE: Final = 'ledger_unavailable'
REASON_OWNER_LOST: Final = 'owner_lost'
REASON_CLAIM_DEADLINE: Final = 'claim_deadline'
REASON_RESULT_WAIT: Final = 'result_wait'
