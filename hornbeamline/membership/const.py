"""Sizes, timeouts and retention times of target availability."""

from __future__ import annotations

from typing import Final

# About 100 bytes for each of the 11,000 targets of the design scale, and
# headroom.
MAX_LIST_BYTES: Final = 4_194_304
# A connection that does not respond must time out within one poll interval, so
# that a list takes effect within 3 s of its publication.
MAX_FETCH_S: Final = 1.0
# Keeps hosts that started together from polling at the same time.
POLL_JITTER: Final = 0.1

# Retention of a leaving report that only the target itself has made; new work
# is sent to the target again after this time.
SELF_REPORT_TTL_S: Final = 60.0

# Maximum pause that a target can request. An hour outlasts any request; after
# it, a target that requested more gets requests again and can request another
# pause.
MAX_PAUSE_S: Final = 3600.0
# Lists lag by up to a second and may come from several copies, so a target
# that has not been listed for longer than this has stopped.
MIN_RESTART_ABSENCE_S: Final = 3.0
# Reports of a target that has not been listed for this time are dropped. It is
# twice the longest deadline of a request, so nothing is sent to the target any
# more.
UNLISTED_TTL_S: Final = 60.0
# Processes repeat their reports about targets every 0.4 s. A report expires
# after several missed repeats, when its sender dropped it or is gone.
PEER_REPORT_TTL_S: Final = 2.0
