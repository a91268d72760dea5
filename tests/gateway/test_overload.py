"""Outcomes of requests while the stages are overloaded."""

from __future__ import annotations

import pytest

from tests.gateway.stage_load import (
    FIRST,
    IN_TIME,
    SECOND,
    THIRD,
    StageSimulation,
    sample_kinds,
    sample_limits,
)

pytestmark = pytest.mark.looptime(noop_cycles=0)

LOAD_DURATION_S = 25
# The service with the least capacity has two targets. Each computes the pieces
# of two requests in one call.
TARGETS = {FIRST: 3, SECOND: 2, THIRD: 3}
PIECES_PER_REQUEST = 8
REQUESTS_PER_CALL = 2


def capacity_per_s() -> float:
    """Return the capacity of the smallest service in requests per second."""
    limits = sample_limits()[SECOND]
    pieces = REQUESTS_PER_CALL * PIECES_PER_REQUEST
    call_s = limits.call_s + pieces * limits.piece_s
    return TARGETS[SECOND] * REQUESTS_PER_CALL / call_s


# Failure: on a day with high load, the usual requests earned only 0.21 of their
# value. Most were admitted, queued until their aim and finished slightly late.
@pytest.mark.parametrize('seed', [1, 2])
async def test_lasting_overload_still_serves_usual_requests_in_time(
    seed: int,
) -> None:
    """Load: usual requests above capacity, ranked below urgent long ones."""
    rates = {'long': 3.0, 'usual': 9.0, 'short': 4.0}
    simulation = StageSimulation(sample_kinds(), sample_limits(), TARGETS, seed)
    await simulation.run(rates, LOAD_DURATION_S)
    possible = (capacity_per_s() - rates['long']) / rates['usual']
    assert simulation.share('usual', IN_TIME) >= possible / 2
    assert simulation.share('long', IN_TIME) >= 0.9
