"""Constants of the replicated log."""

from __future__ import annotations

from typing import Final

ENTRY_NOOP: Final = 0
ENTRY_COMMAND: Final = 1
ENTRY_MEMBERS: Final = 2

CHANGE_ADD_LEARNER: Final = 'add_learner'
CHANGE_PROMOTE: Final = 'promote'
CHANGE_REMOVE: Final = 'remove'
CHANGE_REPLACE: Final = 'replace'

# One append message takes well under a heartbeat interval on a 1 Gbit/s link,
# so that a batch does not delay the detection of a lost leader.
MAX_BATCH_ENTRIES: Final = 1024
MAX_BATCH_BYTES: Final = 1_048_576
SNAPSHOT_CHUNK_BYTES: Final = 262_144
# The reply to the last chunk waits for a synced write and for the restore of
# all state machines.
SNAPSHOT_CHUNK_TIMEOUT_S: Final = 10.0

# Limits for proposals without an outcome; beyond them proposals are refused
# with `LogBusyError`.
MAX_PENDING_PROPOSALS: Final = 8192
MAX_PENDING_BYTES: Final = 67_108_864
# A larger entry would not fit into a message between processes (8 MiB).
MAX_COMMAND_BYTES: Final = 7_340_032

# Highest lag of a member that counts as caught up. The remaining entries fit
# into one append message.
CAUGHT_UP_MAX_LAG_ENTRIES: Final = 256

# Entries applied at once before other tasks of the event loop can run.
APPLY_BATCH_ENTRIES: Final = 256

# A shorter sleep may be below the resolution of the clock and end early, so
# that the election loop spins.
MIN_ELECTION_SLEEP_S: Final = 0.001

# Lower bound of the first election timeout of a process, relative to that of
# later ones. Two heartbeats of an active leader arrive before it expires.
FIRST_ELECTION_TIMEOUT_RATIO: Final = 0.5

BOOTSTRAP_INTERVAL_S: Final = 0.2
HELLO_TIMEOUT_S: Final = 1.0
