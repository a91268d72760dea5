"""Timing and bounds of permits for rate-limited targets."""

from __future__ import annotations

from typing import Final

# Permits expire after this time, since a request delayed by its connection
# would reach the target together with later ones. A new connection takes a
# few milliseconds.
PERMIT_TTL_S: Final = 0.5
# Permits are issued at most this far ahead, since a new granter does not
# know the permits issued by its predecessor.
MAX_RESERVATION_S: Final = 1.0
# Wait of a new granter before its first permit for a target. Meanwhile the
# permits of the previous granter expire, and hosts that still use it learn
# of the change with their next enrolment.
TAKEOVER_WAIT_S: Final = MAX_RESERVATION_S
# Burst size: the requests that the limit allows in this time.
BURST_S: Final = 0.5
# Only an answer can show that a limit has ended, so a target gets some
# requests at any limit, even at 0.
MIN_RATE_PER_S: Final = 0.2
# A granter evicts targets without permit requests for this time, which
# exceeds the interval between two requests at the lowest rate.
BUCKET_IDLE_TIMEOUT_S: Final = 10.0
# Retention of ended limits and issued permits: longer than hosts keep an
# earlier limit, and longer than a request waits for its answer.
ENDED_LIMIT_RETENTION_S: Final = 60.0

# A granter normally answers within a few milliseconds; this bounds the
# delay of a request whose granter is lost.
ASK_TIMEOUT_S: Final = 0.25
# Pause of requests to a target whose granter does not answer.
UNREACHABLE_GRANTER_PAUSE_S: Final = 0.25
# A limit that is not repeated expires after this time, in which several
# requests are sent at the lowest rate. Granters repeat limits every 0.4 s
# while targets are in use.
LIMIT_TTL_S: Final = 30.0
LINK_INTERVAL_S: Final = 0.5

# Permits for cold targets. Their rate is bound within each second, with far
# less slack than stated limits have, so bursts and lifetimes are shorter:
# with burst B and lifetime T, at most 1 + rate x (1 + B + T) requests of one
# granter arrive in a second, and 2 + rate x (1 + 2 B + T) at a change of
# granter. Both stay below 1.5 x rate + 5 for B = 0.1 s and T = 0.3 s.
WARMUP_BURST_S: Final = 0.1
WARMUP_PERMIT_TTL_S: Final = 0.3
MAX_WARMUP_RESERVATION_S: Final = 0.5
# Wait of a new granter before its first permit for a cold target: hosts use
# the previous granter for up to a second, and its permits are reserved ahead
# and then live for some time. Counts from the change, not from the first
# permit request, since a target is cold for a few seconds only.
WARMUP_TAKEOVER_WAIT_S: Final = (
    1.0 + MAX_WARMUP_RESERVATION_S + WARMUP_PERMIT_TTL_S
)
# A granter that no control process has answered for this time issues no
# permits for cold targets: others drop a silent host after 1.6 s, and a new
# granter then issues its own.
GRANTER_CONFIRMATION_TTL_S: Final = 1.5
# Lag of the platform's list (0.8 s) and the time to read it.
LIST_LAG_S: Final = 1.0
# Lists whose times differ by less are the same one: reads are 0.6 s apart,
# and the age of a list from another process is known to some milliseconds.
NEWER_LIST_S: Final = 0.4
# The end of an evacuation is acknowledged within a second of the commit of
# which hosts learn.
REOPENING_SPREAD_S: Final = 1.0
# A response states the remaining time; this covers its way to this host.
ANSWER_MARGIN_S: Final = 0.2
