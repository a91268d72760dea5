"""Configured figures at the ends of their ranges."""

from __future__ import annotations

import asyncio
import math
import random
from typing import Any

import pytest

from hornbeamline.batching import Piece, PieceTerms, call_duration_s
from hornbeamline.batching._queue import QueuedPiece
from hornbeamline.batching._speeds import TargetSpeeds
from hornbeamline.batching._worker import BatchWorker, TargetAccess
from hornbeamline.batching.const import MAX_COOLDOWN_S
from hornbeamline.daemons._target_list import ListPoller
from hornbeamline.helpers.budget import BudgetSettings, RetryBudget
from tests.batching.test_service import FakeTargets, Profile
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)

LARGEST = 1.7e308
PIECES = 40
# Failures in a row of a target that is down for an hour.
FAILURES = 2000

PROFILES = [
    Profile(),
    Profile(call_s=0, piece_s=0),
    Profile(call_s=0, piece_s=0, pieces_per_call=1),
    Profile(call_s=-1, piece_s=0),
    Profile(call_s=5e-324, piece_s=0),
    Profile(call_s=LARGEST, piece_s=0),
    Profile(call_s=LARGEST, piece_s=LARGEST),
    Profile(call_s=LARGEST, piece_s=-LARGEST),
    Profile(results_mb=0),
    Profile(result_ttl_s=0),
]


def make_worker(
    profile: Profile,
    limits: tuple[float, ...] = (),
) -> tuple[BatchWorker, FakeTargets]:
    """Return a worker and its targets, which state these rate limits."""
    clock = LoopClock()
    budget = RetryBudget(BudgetSettings(0.2, 10, 64), clock)
    budget.note_hosts(1)
    targets = FakeTargets()
    access = TargetAccess(
        lambda _service: targets.targets,
        targets.call,
        targets.free,
        call_rates=lambda _service: limits,
    )
    return BatchWorker('stage', profile, access, budget, clock), targets


def make_pieces(count: int) -> list[QueuedPiece]:
    """Return pieces of one request that wait for their outcomes."""
    queued = []
    for number in range(count):
        piece = QueuedPiece(
            Piece('r', 0, number, 'k', []),
            PieceTerms(2.0, 8.0, 0, 0),
            asyncio.get_running_loop().time(),
        )
        piece.outcome = asyncio.get_running_loop().create_future()
        queued.append(piece)
    return queued


# Failure: a valid configuration with a stage of 0 ms ended the tasks that read
# the rate, so that hosts never learned of later configurations (CONFIG).
@pytest.mark.parametrize('limits', [(), (0.0, 0.0), (math.inf, 0.0)])
@pytest.mark.parametrize('profile', PROFILES, ids=str)
async def test_rates_and_waits_are_finite(profile, limits) -> None:
    """Guards against figures of an operator or a target as divisors of 0."""
    worker, _ = make_worker(profile, limits)
    assert 0 < worker.rate() < math.inf
    assert not worker.waits_by_rank()
    worker.submit(make_pieces(PIECES))
    assert all(
        0 <= wait_s < math.inf for wait_s in worker.waits_by_rank().values()
    )
    assert 0 < worker.rate() < math.inf


@pytest.mark.parametrize(
    'profile', [Profile(call_s=0), Profile(call_s=0, pieces_per_call=1)]
)
async def test_stage_of_no_duration_is_computed(profile) -> None:
    """Guards against requests that end with 500 or at their deadline."""
    worker, _ = make_worker(profile)
    worker.start()
    queued = make_pieces(PIECES if profile.pieces_per_call > 1 else 4)
    worker.submit(queued)
    outcomes = await asyncio.gather(*(piece.outcome for piece in queued))
    assert all(outcome.handle for outcome in outcomes)
    await worker.stop()


@pytest.mark.parametrize('profile', PROFILES, ids=str)
def test_call_duration_is_positive_and_finite(profile) -> None:
    """Guards against durations that cannot be a divisor."""
    for pieces in (0, 1, 1000):
        assert 0 < call_duration_s(profile, pieces) < math.inf


async def test_cooldown_of_a_target_that_stays_down_is_bounded() -> None:
    """Guards against an overflow after some 1,000 failures in a row."""
    speeds = TargetSpeeds(LoopClock())
    for _ in range(FAILURES):
        speeds.start_cooldown('t')
    assert speeds.is_cooling_down('t')
    await asyncio.sleep(MAX_COOLDOWN_S)
    assert not speeds.is_cooling_down('t')


class Source:
    """Source of the list that needs one call."""

    calls = 1

    async def read(self) -> list[Any]:
        """Return an empty list."""
        return []


def test_list_poller_bears_a_call_rate_of_zero() -> None:
    """Guards against a settings figure that ends the poller."""
    poller = ListPoller(Source(), None, 1.0, 0.0, random.Random(1))
    assert 0 < poller.pause_s < math.inf
