"""Weights, bounds and intervals of the quarantine."""

from __future__ import annotations

from typing import Final

# Evidence is added up as natural logarithms of likelihood ratios.
# Prior odds that a part crashes engines.
PRIOR_SCORE: Final = -9.0
# Added to the prior of a part that other shared parts follow: more requests
# have it, so that a verdict harms more of them if it is wrong.
COMMON_PART_SCORE: Final = -6.0
# A request whose answer had begun (a head, no event) when its engine ended.
# The state lasts for less than a millisecond, so that other causes of the
# crash hardly ever meet it.
HEAD_SCORE: Final = 7.0
# A request that its engine had not begun to answer: requests that wait for
# their prefill are in this state for most of the time, but few of them have
# the same part.
SENT_SCORE: Final = 4.6
# Answers to requests with the part had begun well before the crashes. Those
# that begin after a crash clear the part of it.
BEGUN_SCORE: Final = -4.0
# Score above which one more crash could make the part suspect, so that a begun
# answer is told to the other hosts at once.
URGENT_SCORE: Final = -11.0
# Score from which a part is quarantined, and from which a request with it is
# not sent to a second engine after the loss of the first.
VERDICT_SCORE: Final = 0
SUSPECT_SCORE: Final = -4.0
# Engines that end within this time may have a common cause, such as a rack, so
# that requests that were waiting there count once.
SAME_MOMENT_S: Final = 0.1

# A verdict ends this long after the last crash; each further crash makes the
# next one last longer, by this factor.
VERDICT_S: Final = 60.0
VERDICT_GROWTH: Final = 4.0
MAX_VERDICT_S: Final = 3600.0
# Crashes for which the shortest verdict is meant.
VERDICT_MIN_CRASHES: Final = 2

# Parts come from callers: bounds of the state and of messages.
MAX_MARKS: Final = 512
MARK_TTL_S: Final = 2 * MAX_VERDICT_S
MAX_LIFTS: Final = 64
MAX_PARTS_PER_REQUEST: Final = 16
MAX_PART_ID: Final = 64
MAX_RECENT_PARTS: Final = 8192
RECENT_TTL_S: Final = 600.0

# Interval at which a host compares its evidence with a control process.
SYNC_INTERVAL_S: Final = 1.0
SYNC_TIMEOUT_S: Final = 0.8
# Bound of the turn with which a host begins; above the number of control
# processes.
MAX_TURN: Final = 64
# Interval at which a host that has just started looks for a control process.
FIRST_SYNC_INTERVAL_S: Final = 0.02
# Reports that arrive within this time are passed on together.
SPREAD_DELAY_S: Final = 0.01
