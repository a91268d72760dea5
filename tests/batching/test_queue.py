"""Scheduling and grouping of queued pieces."""

from __future__ import annotations

import pytest

from hornbeamline.batching import BatchQueue, Piece, PieceTerms, QueuedPiece
from hornbeamline.batching._queue import IdleTarget
from hornbeamline.batching._result_space import ResultSpace, SpaceShare
from hornbeamline.batching._speeds import TargetSpeeds
from hornbeamline.batching.const import MAX_TIMES_SKIPPED
from hornbeamline.helpers.clock import ManualClock
from tests.gateway.builders import make_target

NO_LIMIT = 1e9


def pieces(
    request: str,
    count: int,
    due_s: float = 10,
    rank: int = 0,
    size: int = 1,
    expires_s: float = 100,
    near: str = '',
) -> list[QueuedPiece]:
    """Return queued pieces of one stage of a request."""
    terms = PieceTerms(due_s, expires_s, rank, size, near=near)
    return [
        QueuedPiece(Piece(request, 0, number, 'key', []), terms, 0)
        for number in range(count)
    ]


def requests_of(chosen: list[QueuedPiece]) -> list[str]:
    """Return the request id of each piece."""
    return [queued.piece.request_id for queued in chosen]


def test_burst_of_late_work_does_not_delay_work_in_time() -> None:
    """Load: a backlog that is already late, then new requests."""
    queue = BatchQueue(2)
    queue.add(pieces('late', 2, due_s=0.1))
    queue.add(pieces('fresh', 2, due_s=5))
    assert requests_of(queue.take(0, IdleTarget(0.5, NO_LIMIT))) == [
        'fresh',
        'fresh',
    ]
    assert requests_of(queue.take(0, IdleTarget(0.5, NO_LIMIT))) == [
        'late',
        'late',
    ]


def test_urgent_rank_goes_first_at_similar_due_times() -> None:
    """Load: requests of two ranks that arrive together."""
    queue = BatchQueue(1)
    queue.add(pieces('common', 1, due_s=2.0, rank=2))
    queue.add(pieces('urgent', 1, due_s=2.3, rank=0))
    assert requests_of(queue.take(0, IdleTarget(0.5, NO_LIMIT))) == ['urgent']


def test_large_results_stay_in_their_data_centre() -> None:
    """Load: a backlog of large results for engines of two data centres."""
    queue = BatchQueue(1)
    queue.add(pieces('south', 1, due_s=2.0, near='south'))
    queue.add(pieces('north', 1, due_s=2.2, near='north'))
    assert requests_of(queue.take(0, IdleTarget(0.5, NO_LIMIT, 'north'))) == [
        'north'
    ]


def test_remote_work_is_not_starved() -> None:
    """Load: work for the own data centre beside older work for another."""
    queue = BatchQueue(1)
    queue.add(pieces('south', 1, due_s=2.0, near='south'))
    queue.add(pieces('north', 1, due_s=2.5, near='north'))
    assert requests_of(queue.take(0, IdleTarget(0.5, NO_LIMIT, 'north'))) == [
        'south'
    ]


def test_group_waits_for_a_preferred_target_that_is_soon_idle() -> None:
    """Load: a request with slack while its preferred target is busy."""
    queue = BatchQueue(1)
    queue.add(pieces('south', 1, due_s=2.0, near='south'))
    both = frozenset(('north', 'south'))
    assert not queue.take(0, IdleTarget(0.5, NO_LIMIT, 'north', both))
    south = IdleTarget(0.5, NO_LIMIT, 'south', both)
    assert requests_of(queue.take(0, south)) == ['south']


@pytest.mark.parametrize(
    ('due_s', 'places'),
    [(0.8, {'north', 'south'}), (2.0, {'north'})],
)
def test_group_does_not_wait_without_benefit(due_s, places) -> None:
    """Load: urgent work, or no idle target in its preferred data centre."""
    queue = BatchQueue(1)
    queue.add(pieces('south', 1, due_s=due_s, near='south'))
    north = IdleTarget(0.5, NO_LIMIT, 'north', frozenset(places))
    assert requests_of(queue.take(0, north)) == ['south']


def test_target_whose_call_ends_soon_is_waited_for() -> None:
    """Slow, cooling down and overdue targets are not waited for."""
    clock = ManualClock()
    speeds = TargetSpeeds(clock)
    clock.advance(10)
    targets = [
        make_target(name, data_centre=name)
        for name in ('soon', 'long', 'overdue', 'idle', 'rests', 'slow')
    ]
    speeds.start_cooldown('rests')
    for _ in range(10):
        speeds.note_call('slow', 1.0, 0.25)
    ends = {'soon': 10.1, 'long': 10.3, 'overdue': 9.5}
    assert speeds.soon_idle_data_centres(targets, ends) == {'soon', 'idle'}


def test_cooldown_after_one_failure_is_short() -> None:
    """Load: a backlog at three targets, one of which lost a packet.

    The target must be available again soon.
    """
    clock = ManualClock()
    speeds = TargetSpeeds(clock)
    speeds.start_cooldown('t1')
    assert speeds.is_cooling_down('t1')
    clock.advance(0.3)
    assert not speeds.is_cooling_down('t1')


def test_cooldown_grows_with_consecutive_failures() -> None:
    """A failing target gets few calls until it computes pieces again."""
    clock = ManualClock()
    speeds = TargetSpeeds(clock)
    for _ in range(4):
        speeds.start_cooldown('t1')
    clock.advance(1.9)
    assert speeds.is_cooling_down('t1')
    speeds.reset_failures('t1')
    speeds.start_cooldown('t1')
    clock.advance(0.3)
    assert not speeds.is_cooling_down('t1')


def test_less_urgent_rank_is_not_starved() -> None:
    """Load: an urgent request beside an older common one."""
    queue = BatchQueue(1)
    queue.add(pieces('common', 1, due_s=1.0, rank=2))
    queue.add(pieces('urgent', 1, due_s=3.0, rank=0))
    assert requests_of(queue.take(0, IdleTarget(0.5, NO_LIMIT))) == ['common']


def test_stage_of_a_request_is_not_split_over_two_calls() -> None:
    """Load: requests of four pieces for calls of up to nine."""
    queue = BatchQueue(9)
    for number in range(3):
        queue.add(pieces(f'r{number}', 4, due_s=5 + number))
    assert (
        requests_of(queue.take(0, IdleTarget(0.5, NO_LIMIT)))
        == ['r0'] * 4 + ['r1'] * 4
    )
    assert requests_of(queue.take(0, IdleTarget(0.5, NO_LIMIT))) == ['r2'] * 4


def test_stage_larger_than_a_call_is_split() -> None:
    """Guards against a stage that is never dispatched."""
    queue = BatchQueue(3)
    queue.add(pieces('large', 4))
    assert len(queue.take(0, IdleTarget(0.5, NO_LIMIT))) == 3
    assert len(queue.take(0, IdleTarget(0.5, NO_LIMIT))) == 1


def test_call_fits_into_the_space_for_results() -> None:
    """Load: large results at targets with little space."""
    queue = BatchQueue(9)
    queue.add(pieces('large', 3, due_s=5, size=800))
    queue.add(pieces('small', 2, due_s=6, size=8))
    assert requests_of(queue.take(0, IdleTarget(0.5, 2000))) == ['small'] * 2
    assert requests_of(queue.take(0, IdleTarget(0.5, 2000))) == ['large'] * 2


def test_expired_pieces_are_returned_once() -> None:
    """Guards against work for callers that have left."""
    queue = BatchQueue(3)
    queue.add(pieces('gone', 1, expires_s=1))
    queue.add(pieces('waits', 1, expires_s=3))
    assert requests_of(queue.drop_expired(2)) == ['gone']
    assert len(queue) == 1


def test_dropped_request_leaves_the_queue() -> None:
    """A caller that left needs no more pieces."""
    queue = BatchQueue(3)
    queue.add(pieces('left', 2))
    queue.add(pieces('stays', 1))
    assert len(queue.drop_request('left')) == 2
    assert requests_of(queue.take(0, IdleTarget(0.5, NO_LIMIT))) == ['stays']


def test_space_counts_calls_results_and_expiry() -> None:
    """Space is used from the start of a call until release or expiry."""
    space = ResultSpace(9)
    space.reserve(10, 0)
    assert space.used(0) == 10
    space.unreserve(10)
    space.hold('a', 6, 1, expires_at=4)
    space.hold('b', 4, 0, expires_at=9)
    assert space.used(1) == 10
    assert space.free(['b'], 1) == [1]
    assert space.used(1) == 6
    assert space.used(4) == 0


def test_full_target_is_used_again_after_a_release() -> None:
    """Guards against repeated calls that fail for lack of space."""
    space = ResultSpace(9)
    space.hold('a', 6, 0, expires_at=9)
    space.note_full(3)
    assert space.is_full(1)
    assert not space.free(['unknown'], 1)
    assert space.is_full(1)
    assert space.free(['a'], 1) == [1]
    assert not space.is_full(1)


def test_large_requests_are_not_starved_by_small_ones() -> None:
    """Load: small requests beside one that is larger than a call."""
    queue = BatchQueue(5)
    queue.add(pieces('large', 8, due_s=3, size=800))
    taken = []
    for number in range(8):
        queue.add(pieces(f'small{number}', 2, due_s=9, size=800))
        taken += requests_of(queue.take(0, IdleTarget(0.5, 4000)))
    assert taken.count('large') == 8


def test_request_that_never_fits_the_space_is_split_eventually() -> None:
    """Load: small requests keep the space of the targets nearly full."""
    queue = BatchQueue(5)
    queue.add(pieces('medium', 4, due_s=3, size=800))
    taken = []
    for number in range(MAX_TIMES_SKIPPED + 8):
        queue.add(pieces(f'small{number}', 1, due_s=9, size=800))
        taken += requests_of(queue.take(0, IdleTarget(0.5, 2000)))
    assert taken.count('medium') == 4


def test_remainder_of_a_started_stage_precedes_newer_requests() -> None:
    """Load: first parts of started stages hold space at the targets."""
    queue = BatchQueue(3)
    queue.add(pieces('large', 4, due_s=5))
    assert (
        requests_of(queue.take(0, IdleTarget(0.5, NO_LIMIT))) == ['large'] * 3
    )
    queue.add(pieces('newer', 3, due_s=1))
    assert requests_of(queue.take(0, IdleTarget(0.5, NO_LIMIT)))[0] == 'large'


def test_lasting_overload_drops_pieces_that_would_expire() -> None:
    """Load: 2 s of work for callers that wait for at most 1 s."""
    queue = BatchQueue(5)
    for number in range(10):
        queue.add(pieces(f'r{number}', 2, due_s=2 + number, expires_s=1))
    hopeless = queue.drop_hopeless(now=0, call_s=0.2, rate=10)
    assert {*requests_of(hopeless)} == {f'r{number}' for number in range(5, 10)}
    assert len(queue) == 10


def test_work_that_fits_the_time_is_kept() -> None:
    """Guards against needless refusals."""
    queue = BatchQueue(5)
    queue.add(pieces('r', 8, due_s=2, expires_s=1))
    assert not queue.drop_hopeless(now=0, call_s=0.2, rate=10)


def test_started_stage_is_not_dropped() -> None:
    """Guards against discarding results that are already computed."""
    queue = BatchQueue(5)
    queue.add(pieces('r', 8, due_s=2, expires_s=1))
    queue.take(0, IdleTarget(0.2, NO_LIMIT))
    assert not queue.drop_hopeless(now=0.9, call_s=0.2, rate=1)


# Guards against calls with one request where two fit: whole groups leave
# some space unused, so a share that rises only when the space is full never
# rises.
def test_share_of_space_rises_when_it_keeps_a_group_waiting() -> None:
    """Load: a backlog of groups of 8 pieces; space for almost 4 groups."""
    queue = BatchQueue(18)
    share = SpaceShare()
    before = share.share
    for number in range(4):
        queue.add(pieces(f'r{number}', 8, size=60))
    used = 2 * 8 * 60
    queue.take(0, IdleTarget(0.4, 1960 * share.share - used))
    assert queue.was_limited_by_space
    share.note_call(
        is_limited_by_space=queue.was_limited_by_space, had_space=True
    )
    assert share.share > before


def test_share_of_space_stays_while_slots_bound_the_calls() -> None:
    """Guards against a share that rises needlessly until calls fail."""
    queue = BatchQueue(8)
    queue.add(pieces('a', 8, size=60))
    queue.add(pieces('b', 8, size=60))
    queue.take(0, IdleTarget(0.4, 1000))
    assert not queue.was_limited_by_space
