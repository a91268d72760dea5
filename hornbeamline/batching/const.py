"""Bounds of batched stage calls."""

from __future__ import annotations

from typing import Final

# Pieces that arrive within this time can share a call; far below the
# duration of a call.
BATCH_WINDOW_S: Final = 0.004
# Call timeout as a multiple of the expected duration. Targets can slow down
# to a quarter of their speed; repeating the work elsewhere is then faster.
CALL_TIMEOUT_FACTOR: Final = 2.2
MIN_CALL_TIMEOUT_MARGIN_S: Final = 0.25
# Cool-down of a target that failed or timed out: short after a single lost
# packet, doubled with each consecutive failure, up to the restart time of a
# crashed process.
COOLDOWN_S: Final = 0.25
MAX_COOLDOWN_S: Final = 2.0
# Maximum number of calls that include a piece before it fails.
MAX_PIECE_ATTEMPTS: Final = 3
# Health check of the owner of submitted pieces. An owner that misses this
# many consecutive checks is regarded as lost, after at most 1.2 s.
ASK_INTERVAL_S: Final = 0.3
ASK_TIMEOUT_S: Final = 0.3
MAX_MISSED_ANSWERS: Final = 2
# An owner that does not answer is skipped for this time: control processes
# list a silent process for half of it, and hosts for the other half.
SILENT_OWNER_S: Final = 3.2
# Hosts with less than this share of the processor capacity of the largest one
# own services only if there is no other host: their event loops would delay
# each stage of all requests.
MIN_OWNER_CAPACITY_SHARE: Final = 0.5
# Releases at one target are batched over this time, and over a longer one
# while no piece waits for the space.
RELEASE_GATHER_S: Final = 0.03
RELEASE_IDLE_S: Final = 0.1
# Share of the configured result space to use, since actual result sizes
# differ from the configured ones. One refused piece costs about as much as
# the space gained by ten full calls.
SPACE_SHARE_START: Final = 0.9
SPACE_SHARE_RISE: Final = 0.004
SPACE_SHARE_FALL: Final = 0.03
SPACE_SHARE_MIN: Final = 0.7
SPACE_SHARE_MAX: Final = 1.0
# Time after which the inputs of a call count as fetched. An idle target
# fetches them at once, and links transfer the largest in some 10 ms.
INPUT_FETCH_S: Final = 0.06
# A target that refused a piece for lack of space gets no call for this
# time, unless results are freed earlier.
FULL_TARGET_PAUSE_S: Final = 0.3
# Time in which the results that a previous owner has left at a target are
# released: their requests continue at the new owner, stage by stage.
FOREIGN_RESULTS_S: Final = 1.0
# Deadline penalty per rank: less urgent pieces yield to others when the
# targets are busy, but are not starved.
RANK_PENALTY_S: Final = 1.0
# Deadline penalty at a target outside the preferred data centre. Calls take
# 0.3 s and more, so a closer target usually becomes idle before the next
# call of this one.
REMOTE_PENALTY_S: Final = 0.3
# A group waits for a target in its preferred data centre that becomes idle
# within this time, a third of a typical call, if its slack is several times
# as long, since the following stages are delayed as well.
SOON_IDLE_S: Final = 0.12
MIN_SLACK_TO_WAIT_S: Final = 0.4
# Pieces do not wait for a target whose slowness exceeds this, and the
# inputs of its calls are kept until the calls end.
MAX_USUAL_SLOWNESS: Final = 1.5
# An idle target in the preferred data centre is used unless its calls take
# longer than those of another by this time, a third of a typical call.
REMOTE_COST_S: Final = 0.1
# Pieces whose inputs take at least this share of the space of a target are
# not put last when late, and their inputs are freed once fetched. Smaller
# inputs are kept until all pieces are computed.
LARGE_INPUT_SHARE: Final = 0.05
# Late pieces wait longer than the queue length implies by this factor.
LATE_WAIT_FACTOR: Final = 1.5
# Number of calls that a group may be too large for before it is split.
MAX_TIMES_SKIPPED: Final = 20
# Extra time for the reply, since the owner replies with the outcomes so far
# when the pieces expire.
REPLY_MARGIN_S: Final = 0.3
# Window over which the throughput is measured.
RATE_WINDOW_S: Final = 3.0
# Weight of a new sample in the smoothed slowness of a target.
SPEED_SMOOTHING: Final = 0.3
# Bounds of the expected duration of a call and of the rate of a service, which
# are divisors. An operator may configure calls of 0 ms, and a target may state
# a limit of 0 calls per second.
MIN_CALL_S: Final = 0.001
MAX_CALL_S: Final = 3600.0
MIN_PIECES_PER_S: Final = 0.001
# Number of consecutive failures after which a cool-down no longer doubles.
MAX_COOLDOWN_DOUBLINGS: Final = 8
