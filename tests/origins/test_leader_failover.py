"""Calls to the leader past a control process that does not answer."""

from __future__ import annotations

import asyncio

import pytest

from hornbeamline.origins import OriginUnavailableError

pytestmark = pytest.mark.looptime(noop_cycles=0)


# Failure: callers with little time left were all refused, since each question
# went to the same silent control process and ended before the next was tried.
async def test_short_questions_reach_another_control_process(
    new_origins,
) -> None:
    """Fault: a control process loses power; a leader serves."""
    group = await new_origins()
    group.platform.serve('v1', 'v2')
    first, second = await group.entry('entry-1'), await group.entry('entry-2')
    stream = await first.begin('r', 'v2')
    assert await second.find(stream) == 'v2'
    preferred = second.origins._link._leader._preferred
    await group.voters[preferred].crash()
    await group.leader()
    await asyncio.sleep(1)
    found = []
    for _ in range(20):
        try:
            found.append(await second.origins.find(stream, 0.5))
        except OriginUnavailableError:
            found.append(None)
    assert found.count('v2') >= 15
