"""Results that targets no longer hold, and those that they keep."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import pytest

from hornbeamline.batching import ResultsKeptError
from hornbeamline.batching._releases import ResultReleases

pytestmark = pytest.mark.looptime(noop_cycles=0)


# Failure: results whose release was not sent, or lost, counted as freed, so
# that targets were given more than they had space for.
async def test_results_that_were_not_freed_still_take_space() -> None:
    """Load: a target names a limit and takes no call to free results."""
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
