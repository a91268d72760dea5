"""Queued pieces of a service whose targets are all evacuated."""

from __future__ import annotations

import asyncio
import random

import pytest

from hornbeamline.batching import (
    BatchingService,
    Piece,
    PiecesFailedError,
    PieceTerms,
    TargetAccess,
)
from hornbeamline.helpers.budget import BudgetSettings, RetryBudget
from tests.batching.test_service import SERVICE, Profile
from tests.local_network import LocalNetwork
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)


# Guards against requests that wait for their deadline, although no target of
# the service can take their pieces.
async def test_queued_pieces_fail_when_all_targets_are_evacuated() -> None:
    """Fault: the last data centre is evacuated while pieces are queued."""
    clock = LoopClock()
    evacuated: set[str] = set()

    async def call(*_: object) -> None:
        raise AssertionError('there is no target')

    service = BatchingService(
        LocalNetwork(random.Random(1)).endpoint('host'),
        clock,
        dict,
        TargetAccess(
            lambda _service: [],
            call,
            call,
            is_evacuated=evacuated.__contains__,
        ),
        RetryBudget.of_owner(BudgetSettings(0.2, 10, 64), clock),
    )
    service.update({SERVICE: Profile()})
    computing = asyncio.ensure_future(
        service.compute(
            SERVICE,
            [Piece('r1', 0, 0, 'k', [])],
            PieceTerms(1, 30, 0, 1000),
            lambda: None,
        )
    )
    await asyncio.sleep(1)
    assert not computing.done()
    evacuated.add(SERVICE)
    async with asyncio.timeout(0.5):
        with pytest.raises(PiecesFailedError):
            await computing
    await service.stop()
