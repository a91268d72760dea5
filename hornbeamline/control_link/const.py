"""Statuses and timeouts of calls to the leader."""

from __future__ import annotations

from typing import Final

STATUS_OK: Final = 'ok'
# The call was not executed.
STATUS_NOT_LEADER: Final = 'not_leader'
# The call may have been or may still be executed; it is safe to repeat.
STATUS_UNKNOWN: Final = 'unknown'

# Several times the longest round trip between data centres of a region, and
# shorter than the shortest lease, so that a lost call leaves time to retry.
ATTEMPT_TIMEOUT_S: Final = 1.0
FORWARD_TIMEOUT_S: Final = 0.8
# Delay after each round of failed attempts, one per control host. An
# election takes longer.
ROUND_RETRY_DELAY_S: Final = 0.05
