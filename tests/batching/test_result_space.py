"""Accounting of result space at a target, without a network."""

from __future__ import annotations

from hornbeamline.batching._result_space import ResultSpace
from hornbeamline.batching.const import FOREIGN_RESULTS_S, FULL_TARGET_PAUSE_S

TTL_S = 4.0
USABLE = 1000


# Load: bursts at a service whose owner was lost a moment ago. Failure: the new
# owner filled each call up to the space that it believed free, and 300 pieces
# were computed in vain within 2 s.
def test_new_owner_sends_smaller_calls_after_a_lack_of_space() -> None:
    """The results of the previous owner take the space for a second."""
    space = ResultSpace(TTL_S)
    space.reserve(800, 0)
    space.hold('kept', 300, 0.3, TTL_S)
    space.note_no_space(USABLE, 0.3)
    space.unreserve(800)
    assert not space.is_full(0.3)
    assert space.used(0.3) == USABLE
    half_way = space.used(0.3 + FOREIGN_RESULTS_S / 2)
    assert 300 < half_way < USABLE
    assert space.used(0.3 + FOREIGN_RESULTS_S) == 300


def test_settled_owner_pauses_after_a_lack_of_space() -> None:
    """An owner that knows all results waits for their release."""
    space = ResultSpace(TTL_S)
    for second in range(6):
        space.reserve(800, second)
        space.unreserve(800)
    space.note_no_space(USABLE, 6)
    assert space.is_full(6)
    assert not space.is_full(6 + FULL_TARGET_PAUSE_S)
    assert not space.used(6)
