"""Orders of at most one grant are in effect at a time."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict

import pytest

from hornbeamline.helpers.codec import encode
from hornbeamline.orders import OrderMachine
from hornbeamline.orders._machine import GrantCommand
from tests.orders.cluster import (
    FLIGHT_S,
    LEASE_S,
    Cluster,
    Engines,
    ReceivedOrder,
    make_fleet,
)

pytestmark = pytest.mark.looptime

IGNORING = 'ignoring'
CHECKING = 'checking'


def make_cluster(seed: int) -> Cluster:
    """Return a cluster that sends orders to two engines without end."""
    engines = Engines(random.Random(seed))
    engines.ignores_fencing.add(IGNORING)
    engines.stuck = True
    for name in (IGNORING, CHECKING):
        engines.set_models(name, {})
    fleet = make_fleet(
        {IGNORING: ['m1', 'm2'], CHECKING: ['m1', 'm2']},
        ignoring=(IGNORING,),
    )
    return Cluster(fleet, engines, 'abc')


def check_no_overlap(received: list[ReceivedOrder]) -> set[int]:
    """Check that orders of different grants do not overlap in effect."""
    times_by_fencing: dict[int, list[float]] = defaultdict(list)
    for order in received:
        if order.target == IGNORING:
            times_by_fencing[order.body['fencing']].append(order.at)
    spans = sorted(
        (min(times), max(times) + FLIGHT_S, fencing)
        for fencing, times in times_by_fencing.items()
    )
    for before, after in zip(spans, spans[1:], strict=False):
        assert before[1] <= after[0]
        assert before[2] < after[2]
    numbers = [
        order.body['fencing'] for order in received if order.target == CHECKING
    ]
    assert numbers == sorted(numbers)
    return set(times_by_fencing)


@pytest.mark.parametrize('seed', range(12))
async def test_one_grant_at_a_time(seed: int) -> None:
    """Guards against late orders of a deposed leader.

    It is frozen, or is not notified of the election, or is notified.
    """
    rng = random.Random(seed)
    cluster = make_cluster(seed)
    await cluster.start()
    cluster.elect('a')
    for _ in range(40):
        await asyncio.sleep(rng.choice([0.003, 0.3, 1, 4, 9, 15]))
        old = cluster.nodes_by_name[cluster.leader]
        new = rng.choice([n for n in 'abc' if n != old.name])
        for name in (new, old.name):
            cluster.nodes_by_name[name].thaw()
        election_mode = rng.choice(['aware', 'unaware', 'frozen'])
        if election_mode == 'frozen':
            old.freeze()
            # Frozen for a while before another host is elected.
            await asyncio.sleep(rng.uniform(0, 1.5 * LEASE_S))
        cluster.elect(new, unaware='' if election_mode == 'aware' else old.name)
    await asyncio.sleep(20)
    await cluster.stop()
    fencing_numbers = check_no_overlap(cluster.engines.received)
    assert len(fencing_numbers) > 3
    assert len(cluster.engines.received) > 50


@pytest.mark.parametrize('nth', [1, 2])
@pytest.mark.parametrize(
    'step',
    ['barrier', 'barrier_end', 'report', 'report_end', 'order', 'order_end'],
)
async def test_frozen_leader_writes_nothing_when_it_resumes(
    step: str,
    nth: int,
) -> None:
    """Guards against a write that relies on an outdated check."""
    cluster = make_cluster(1)
    await cluster.start()
    cluster.elect('a')
    await asyncio.sleep(2 * (LEASE_S + FLIGHT_S))
    frozen = cluster.nodes_by_name['a']
    frozen.when(step, nth, frozen.freeze)
    await asyncio.sleep(4)
    cluster.elect('b', unaware='a')
    await asyncio.sleep(3 * LEASE_S)
    # It resumes before it is notified of the election, then catches up.
    frozen._running.set()
    await asyncio.sleep(3)
    frozen.thaw()
    await asyncio.sleep(3)
    await cluster.stop()
    assert len(check_no_overlap(cluster.engines.received)) == 2


async def test_leader_that_missed_its_successor_waits_again() -> None:
    """Guards against reuse of an old grant by a host elected again."""
    cluster = make_cluster(1)
    await cluster.start()
    cluster.elect('a')
    await asyncio.sleep(2 * (LEASE_S + FLIGHT_S))
    frozen = cluster.nodes_by_name['a']
    frozen.freeze()
    cluster.elect('b', unaware='a')
    await asyncio.sleep(2 * (LEASE_S + FLIGHT_S))
    cluster.elect('a')
    frozen.thaw()
    await asyncio.sleep(2 * (LEASE_S + FLIGHT_S))
    await cluster.stop()
    assert len(check_no_overlap(cluster.engines.received)) == 3


async def test_order_on_its_way_ends_with_leadership() -> None:
    """Guards against a write after the host was notified of its deposition."""
    cluster = make_cluster(1)
    await cluster.start()
    cluster.elect('a')
    await asyncio.sleep(2 * (LEASE_S + FLIGHT_S))
    cluster.nodes_by_name['a'].when('order', 1, lambda: cluster.elect('b'))
    received = len(cluster.engines.received)
    await asyncio.sleep(4)
    await cluster.stop()
    fencing_of_a = cluster.engines.received[0].body['fencing']
    later = cluster.engines.received[received:]
    assert cluster.leader == 'b'
    assert fencing_of_a not in {order.body['fencing'] for order in later}


async def test_cut_off_leader_stops_within_its_lease() -> None:
    """Guards against a dispatcher that continues without a quorum."""
    cluster = make_cluster(1)
    await cluster.start()
    cluster.elect('a')
    await asyncio.sleep(LEASE_S + FLIGHT_S + 5)
    cluster.elect('nobody', unaware='a')
    cut_at = asyncio.get_running_loop().time()
    await asyncio.sleep(30)
    await cluster.stop()
    assert (
        max(order.at for order in cluster.engines.received) < cut_at + LEASE_S
    )


async def test_checking_engine_gets_orders_at_once() -> None:
    """Guards against a wait at engines that refuse old fencing numbers."""
    cluster = make_cluster(1)
    await cluster.start()
    cluster.elect('a')
    await asyncio.sleep(1)
    await cluster.stop()
    assert {order.target for order in cluster.engines.received} == {CHECKING}


def test_machine_keeps_the_longest_wait() -> None:
    """Guards against a wait shorter than an older, longer grant needs."""
    machine = OrderMachine()
    machine.apply(3, encode(GrantCommand('a', 20, 2)))
    machine.apply(5, encode(GrantCommand('b', 1, 1)))
    machine.apply(9, encode(GrantCommand('c', 1, 1)))
    machine.apply(10, b'\xc1 unreadable')
    assert machine.grant.fencing == 9
    assert machine.grant.predecessor_wait_s == 22
    copy = OrderMachine()
    copy.restore(machine.snapshot())
    assert copy.grant == machine.grant
