"""Weights, bounds and intervals of the quarantine."""

from __future__ import annotations

from typing import Final

# Evidence is added up as natural logarithms of likelihood ratios.
# Prior odds that a part crashes engines.
PRIOR_SCORE: Final = -9.0
# Added to the prior of a part that other shared parts follow: more requests
# have it, so that a verdict harms more of them if it is wrong.
COMMON_PART_SCORE: Final = -6.0
# Bounds of what one request, or engines that end together, add to a score: less
# than the prior, since the cause may be the request's own content, and more
# than nothing, since no answer with the part has begun in the meantime.
MAX_MARK_SCORE: Final = 7.0
MIN_MARK_SCORE: Final = 2.0
# Bound of the part of it that says how rare the part is among sound requests.
MAX_PRESENCE_SCORE: Final = 4.6
# Requests that wait at a busy engine for the first event of their answer.
WAITING_PER_ENGINE: Final = 4
# Probability of each phase for a request that crashes its engine: whether the
# head of the answer gets out depends on the engine.
GUILTY_PHASE_SHARE: Final = 0.5
# Share of their waiting time up to which sound answers are hardly ever at a
# point.
TELLING_PHASE_SHARE: Final = 0.05
# What a host assumes before it has seen answers begin: this number of them,
# the share of a part, and seconds in each phase.
PRIOR_ANSWERS: Final = 20
PRIOR_PART_SHARE: Final = 0.0025
PRIOR_PHASE_S: Final = 0.05
# Number of answers from which older ones count less.
MAX_COUNTED_ANSWERS: Final = 1024
MAX_SERVICES: Final = 64
# Answers to requests with the part had begun well before the crashes. Those
# that begin after a crash clear the part of it.
BEGUN_SCORE: Final = -4.0
# Score above which one more crash could make the part suspect, so that a begun
# answer is told to the other hosts at once.
URGENT_SCORE: Final = -11.5
# Score from which a part is quarantined, and from which a request with it is
# not sent to a second engine after the loss of the first.
VERDICT_SCORE: Final = 0
SUSPECT_SCORE: Final = -4.5
# Engines that ended under one request, from which it is not sent to another,
# whatever its parts: other causes hardly ever meet a request twice.
SUSPECT_ENGINES: Final = 2
# Probability that a sound request with a content waits at a target, up to which
# the content is rare enough to be suspected at all. Requests with a common one
# meet each crash of another cause.
RARE_CONTENT_PRESENCE: Final = 0.05
# Crashes under the same content, without an answer that began in between, from
# which a request is refused: other causes hardly ever meet a request twice.
CONTENT_CRASHES: Final = 2
# Engines that end within this time may have a common cause, such as a rack or
# one request that was sent to each of them, so that they count once.
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
MAX_CONTENT_MARKS: Final = 256
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
