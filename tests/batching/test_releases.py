"""Release of results at targets, and failed releases."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import pytest

from hornbeamline.batching import ResultsKeptError
from hornbeamline.batching._releases import ResultReleases

pytestmark = pytest.mark.looptime(noop_cycles=0)


# Guards against counting results as freed whose release was not sent or was
# lost, which gives targets more work than they have space for.
async def test_results_that_were_not_freed_still_take_space() -> None:
    """Load: a rate-limited target accepts no call to free results."""
    freed: list[str] = []

    async def free(address: str, _handles: Sequence[str]) -> None:
        if address == 'limited':
            raise ResultsKeptError(address)

    releases = ResultReleases(free, lambda: True, freed.extend)
    releases.start()
    releases.add(['limited/1', 'other/2'])
    await asyncio.sleep(1)
    await releases.stop()
    assert freed == ['other/2']
