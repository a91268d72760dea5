"""Never two order givers in effect at once."""

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
    Written,
    make_fleet,
)

pytestmark = pytest.mark.looptime

IGNORING = 'ignoring'
CHECKING = 'checking'


def make_cluster(seed: int) -> Cluster:
    """Return hosts that never stop giving orders to two engines."""
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


def check_no_overlap(written: list[Written]) -> set[int]:
    """Check that no giver's orders meet those of another in effect."""
    times_by_fencing: dict[int, list[float]] = defaultdict(list)
    for order in written:
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
        order.body['fencing'] for order in written if order.target == CHECKING
    ]
    assert numbers == sorted(numbers)
    return set(times_by_fencing)


@pytest.mark.parametrize('seed', range(12))
async def test_one_giver_at_a_time(seed: int) -> None:
    """Guards against orders of an old leader, frozen, cut off or aware."""
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
        manner = rng.choice(['aware', 'unaware', 'frozen'])
        if manner == 'frozen':
            old.freeze()
            # Frozen for a while before anyone else is elected.
            await asyncio.sleep(rng.uniform(0, 1.5 * LEASE_S))
        cluster.elect(new, unaware='' if manner == 'aware' else old.name)
    await asyncio.sleep(20)
    await cluster.stop()
    givers = check_no_overlap(cluster.engines.written)
    assert len(givers) > 3
    assert len(cluster.engines.written) > 50


@pytest.mark.parametrize('nth', [1, 2])
@pytest.mark.parametrize(
    'step',
    ['barrier', 'barrier_end', 'report', 'report_end', 'order', 'order_end'],
)
async def test_frozen_leader_writes_nothing_when_it_resumes(
    step: str,
    nth: int,
) -> None:
    """Guards against a check that is older than the write it allows."""
    cluster = make_cluster(1)
    await cluster.start()
    cluster.elect('a')
    await asyncio.sleep(2 * (LEASE_S + FLIGHT_S))
    frozen = cluster.nodes_by_name['a']
    frozen.when(step, nth, frozen.freeze)
    await asyncio.sleep(4)
    cluster.elect('b', unaware='a')
    await asyncio.sleep(3 * LEASE_S)
    # It resumes before it learns anything, then catches up.
    frozen._running.set()
    await asyncio.sleep(3)
    frozen.thaw()
    await asyncio.sleep(3)
    await cluster.stop()
    assert len(check_no_overlap(cluster.engines.written)) == 2


async def test_leader_that_missed_its_successor_waits_again() -> None:
    """Guards against the old grant of a host that is elected once more."""
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
    assert len(check_no_overlap(cluster.engines.written)) == 3


async def test_order_on_its_way_ends_with_leadership() -> None:
    """Guards against a write after this host learned that it was deposed."""
    cluster = make_cluster(1)
    await cluster.start()
    cluster.elect('a')
    await asyncio.sleep(2 * (LEASE_S + FLIGHT_S))
    cluster.nodes_by_name['a'].when('order', 1, lambda: cluster.elect('b'))
    written = len(cluster.engines.written)
    await asyncio.sleep(4)
    await cluster.stop()
    of_a = cluster.engines.written[0].body['fencing']
    later = cluster.engines.written[written:]
    assert cluster.leader == 'b'
    assert of_a not in {order.body['fencing'] for order in later}


async def test_cut_off_leader_stops_within_its_lease() -> None:
    """Guards against an order giver that goes on without a quorum."""
    cluster = make_cluster(1)
    await cluster.start()
    cluster.elect('a')
    await asyncio.sleep(LEASE_S + FLIGHT_S + 5)
    cluster.elect('nobody', unaware='a')
    cut_at = asyncio.get_running_loop().time()
    await asyncio.sleep(30)
    await cluster.stop()
    assert max(order.at for order in cluster.engines.written) < cut_at + LEASE_S


async def test_checking_engine_gets_orders_at_once() -> None:
    """Guards against a wait where the engine itself refuses old numbers."""
    cluster = make_cluster(1)
    await cluster.start()
    cluster.elect('a')
    await asyncio.sleep(1)
    await cluster.stop()
    assert {order.target for order in cluster.engines.written} == {CHECKING}


def test_machine_keeps_the_longest_wait() -> None:
    """Guards against a wait by newer, shorter rules than an old grant's."""
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
