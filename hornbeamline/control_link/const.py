"""Statuses and timeouts of calls to the leader."""

from __future__ import annotations

from typing import Final

STATUS_OK: Final = 'ok'
# Nothing was executed.
STATUS_NOT_LEADER: Final = 'not_leader'
# The call may still be executed; it is safe to repeat.
STATUS_UNKNOWN: Final = 'unknown'

# Several times the longest round trip between data centres of a region,
# below the shortest lease, so that a lost call leaves time for others.
ATTEMPT_TIMEOUT_S: Final = 1.0
FORWARD_TIMEOUT_S: Final = 0.8
# Pause after every control host was tried once; an election takes longer.
ROUND_PAUSE_S: Final = 0.05
