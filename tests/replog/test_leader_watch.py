"""Log lines of a control process that has lost its leader."""

from __future__ import annotations

import asyncio

import pytest

from hornbeamline.daemons import _leader_watch
from hornbeamline.daemons._leader_watch import LeaderWatch

pytestmark = pytest.mark.looptime(noop_cycles=0)

# Several election timeouts.
OUTAGE_S = 30


class Directory:
    """Both sides of the directory, without any other process."""

    def known_controls(self) -> list[str]:
        """Return no control process."""
        return []

    answering_controls = known_controls

    def controls(self) -> dict[str, object]:
        """Return no control process."""
        return {}


@pytest.fixture
def lines(monkeypatch):
    """Collect the names of the events that are logged."""
    collected = []
    monkeypatch.setattr(
        _leader_watch,
        'log_event',
        lambda event, **fields: collected.append(event),
    )
    return collected


# Failure: the last leader was reported as known to the end, so that neither
# the log nor the reply to the operator told that a quorum was missing.
@pytest.mark.parametrize('was_leader', [True, False])
async def test_lost_quorum_is_logged(new_group, lines, was_leader) -> None:
    """Fault: two of three voters are lost, and one keeps running."""
    group = await new_group(3)
    await group.propose(b'first')
    await group.settle()
    leader = await group.leader()
    left = next(
        voter
        for voter in group.running
        if (voter.name == leader.name) == was_leader
    )
    for voter in group.running:
        if voter.name != left.name:
            await voter.crash()
    await asyncio.sleep(OUTAGE_S)
    directory = Directory()
    LeaderWatch(left.log, directory, directory, left.name).check()
    assert lines == ['control.no_leader'], left.log.leader
