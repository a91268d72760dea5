"""Draining targets get no new work; hosts share the list's rate limit."""

from __future__ import annotations

import asyncio
import random

import pytest

from hornbeamline.daemons._target_list import (
    FIRST_LIST_WAIT_S,
    ListPoller,
)
from hornbeamline.gateway import Target, TargetDirectory
from hornbeamline.helpers.clock import ManualClock
from tests.gateway.builders import make_target
from tests.replog.group import LoopClock


class FakeList:
    """Target list of three pages."""

    calls = 3

    def __init__(self) -> None:
        self.reads = 0

    async def read(self) -> list[Target]:
        """Count the read and return an empty list."""
        self.reads += 1
        return []


def test_leaving_and_gone_targets_get_no_new_work() -> None:
    """Maintenance: one target drains, another is no longer listed."""
    targets = TargetDirectory(ManualClock())
    targets.replace_list([make_target(name) for name in ('a', 'b', 'c')])
    targets.replace_list([make_target('a', is_leaving=True), make_target('c')])
    assert [target.id for target in targets.available_targets('service')] == [
        'c'
    ]


def test_address_names_the_target_that_has_it_now() -> None:
    """Addresses of removed targets are reused."""
    targets = TargetDirectory(ManualClock())
    targets.replace_list([make_target('old', address='1.2.3.4:5')])
    targets.replace_list([make_target('new', address='1.2.3.4:5')])
    assert targets.target_at('1.2.3.4:5').id == 'new'


def test_many_hosts_stay_below_the_rate_of_the_list() -> None:
    """Load: 96 hosts share 47 calls per second."""
    targets = TargetDirectory(ManualClock())
    poller = ListPoller(FakeList(), targets, 1.0, 47.0, random.Random(1))
    poller.note_hosts(96)
    assert 96 * FakeList.calls / poller.pause_s < 47


# Failure: 200 hosts that restarted together each read the list themselves, and
# their 600 calls used up the rate limit that the control processes need.
@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize('is_told', [True, False])
async def test_hosts_that_start_leave_the_first_list_to_control(
    is_told,
) -> None:
    """Load: all hosts start together; fault: no control process responds."""
    source = FakeList()
    clock = LoopClock()
    targets = TargetDirectory(clock)
    poller = ListPoller(source, targets, 1.0, 47.0, random.Random(1), 1.5)
    await poller.start()
    await asyncio.sleep(FIRST_LIST_WAIT_S * 0.9)
    assert not source.reads
    if is_told:
        targets.replace_list([make_target('a')])
    await asyncio.sleep(FIRST_LIST_WAIT_S * 1.2)
    assert bool(source.reads) is not is_told
    await poller.stop()


# Failure: a host that had just started, or had no list for a time, sent
# streams to targets that had been draining for long (DRAIN).
@pytest.mark.parametrize('has_earlier_list', [False, True])
def test_target_that_drained_before_the_list_gets_no_stream(
    has_earlier_list,
) -> None:
    """Fault: the host does not know since when a target drains."""
    clock = ManualClock()
    targets = TargetDirectory(clock)
    if has_earlier_list:
        targets.replace_list([make_target('a', version='v1')])
        clock.advance(60)
    targets.replace_list([make_target('a', version='v1', is_leaving=True)])
    assert not targets.available_targets('service', 'v1')
