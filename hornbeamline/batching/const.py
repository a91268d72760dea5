"""Bounds of batched stage calls."""

from __future__ import annotations

from typing import Final

# Pieces that arrive within it share a call; far below the time of a call.
GATHER_S: Final = 0.004
# A call that takes longer than this multiple of its expected time is given
# up: targets slow down to a fourth of their speed, and then others are
# faster even when the work is done again.
CALL_PATIENCE: Final = 2.2
CALL_PATIENCE_MIN_S: Final = 0.25
# A target that failed or was too slow rests before it is used again: a
# moment after a lost packet, longer with each failure in a row, up to the
# time in which a crashed process starts again.
REST_S: Final = 0.25
MAX_REST_S: Final = 2.0
# Calls that may include a piece before it counts as failed.
MAX_PIECE_ATTEMPTS: Final = 3
# Owners are asked whether they still work on pieces; an owner that misses
# this many questions in a row is taken for lost, after 1.2 s at most.
ASK_INTERVAL_S: Final = 0.3
ASK_TIMEOUT_S: Final = 0.3
MAX_MISSED_ANSWERS: Final = 2
# An owner that does not answer is passed over for this long: control
# processes list a silent process for half of it, and hosts as long again.
SILENT_OWNER_S: Final = 3.2
# Releases wait this long for others at the same target, and much longer
# while no piece waits for the space.
RELEASE_GATHER_S: Final = 0.03
RELEASE_IDLE_S: Final = 0.1
# Results are larger or smaller than the configuration says. One refused
# piece costs about as much as the space gained by ten full calls.
ROOM_SHARE_START: Final = 0.9
ROOM_SHARE_RISE: Final = 0.004
ROOM_SHARE_FALL: Final = 0.03
ROOM_SHARE_MIN: Final = 0.7
ROOM_SHARE_MAX: Final = 1.0
# An idle target fetches the inputs of a call at once; links carry the
# largest inputs in some 10 ms.
FETCH_S: Final = 0.06
# A target that refused a piece for want of space is full for this long,
# unless results are freed before.
FULL_S: Final = 0.3
# Pieces of a less urgent rank count as due later by this time, so that
# they wait first when the targets are busy and still get their turn.
RANK_DELAY_S: Final = 1.0
# A group counts as due later by this time at a target in another data
# centre than the wished one: between two calls of a target, which take
# 0.3 s and more, another one nearer by mostly becomes idle.
REMOTE_DELAY_S: Final = 0.3
# A group waits for a target in the wished data centre whose call ends within
# this time, a third of a typical call, if it has several times as much to
# spare: the stages after it wait as well.
NEAR_WAIT_S: Final = 0.12
NEAR_SPARE_S: Final = 0.4
# Targets slower than this multiple of the usual are not waited for, and the
# inputs of their calls are kept until the end.
MAX_USUAL_SLOWNESS: Final = 1.5
# An idle target in the wished data centre is used unless its calls take
# longer by this time than those of another: a third of a typical call.
REMOTE_COST_S: Final = 0.1
# Inputs that take more than this share of a target's space are used
# without regard to whether the request is late, and are freed as soon as
# they are fetched. Smaller ones are kept until all pieces are computed.
MAX_HELD_SHARE: Final = 0.05
# Late work waits this much longer than the queue alone says.
LATE_WAIT_FACTOR: Final = 1.5
# Calls that may pass a group of pieces which they have no space for.
MAX_PASSED: Final = 20
# The owner answers with what it has at the time of expiry.
REPLY_MARGIN_S: Final = 0.3
# Time over which the rate of finished pieces is taken.
RATE_WINDOW_S: Final = 3.0
# Smoothing of the speed of a target.
SPEED_WEIGHT: Final = 0.3
