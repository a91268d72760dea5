"""Times and bounds of permits for limited targets."""

from __future__ import annotations

from typing import Final

# A permit is used within this time or not at all: a request that waits for
# its connection would arrive together with later ones. New connections take
# some milliseconds.
PERMIT_TTL_S: Final = 0.5
# Permits are handed out this far ahead. What an earlier granter has handed
# out is unknown to the next one.
MAX_RESERVE_S: Final = 1.0
# A granter waits this long before its first permit for a target: permits of
# an earlier granter end, and hosts that still ask it learn of the change
# with their next enrolments.
TAKEOVER_WAIT_S: Final = MAX_RESERVE_S
# Requests that may come at once: what the limit allows in this time.
BURST_S: Final = 0.5
# Only an answer tells that a limit has ended, so that a target gets some
# requests at any limit, also at 0.
MIN_RATE_PER_S: Final = 0.2
# A granter forgets a target that nobody asked for in this time; longer than
# the time between two requests at the lowest rate.
IDLE_S: Final = 10.0
# Ends of limits are remembered for longer than hosts hold what they heard
# before, and permits for longer than a request waits for its answer.
KEEP_ENDS_S: Final = 60.0

# A granter answers within a few milliseconds; a request does not wait longer
# for one that is lost.
ASK_TIMEOUT_S: Final = 0.25
# A target whose granter does not answer is left alone for this time.
UNREACHABLE_S: Final = 0.25
# A limit holds for this long without repetition: several requests at the
# lowest rate. Granters repeat it each 0.4 s while targets are in use.
HOLDS_S: Final = 30.0
LINK_INTERVAL_S: Final = 0.5
