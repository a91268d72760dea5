"""All hosts together stay within what cold targets take in a second."""

from __future__ import annotations

import asyncio
import bisect
import random
from collections.abc import AsyncIterator
from typing import NamedTuple

import pytest

from hornbeamline.limits import LimitService, TargetLimits, WarmupLimits
from hornbeamline.limits.const import GRANTER_CONFIRMATION_TTL_S
from tests.local_network import LocalNetwork
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)

# Platform rule: any second has at most COLD_FACTOR times the rate plus
# ALLOWANCE requests to a cold target.
COLD_FACTOR = 1.5
ALLOWANCE = 5
WARMUP_S = 3.0
# Offered load of all hosts together, as a multiple of what the targets take.
OVERLOAD = 8
TARGETS = 3
ENROL_S = 0.4
# The list lags, is read at intervals, and reaches hosts with an age.
LIST_LAG_S = 0.8
LIST_READ_S = 0.7
MAX_LIST_AGE_S = 2.0
# Time in which hosts learn of a planned change of the granter, and of a lost
# one.
CHANGE_S = 1.0
SILENCE_S = 1.6
LOSS_S = 3.2
# Time from a granted permit to the check before a request is sent.
MAX_CONNECT_S = 0.35


class ListedTarget(NamedTuple):
    """Target as an entry of the list."""

    id: str
    service: str = 'engines'
    data_centre: str = 'dc-1'
    is_cold: bool = False


TARGET_IDS = [f't{number}' for number in range(TARGETS)]


class Host:
    """Host that sends requests to the targets as often as permitted."""

    def __init__(self, fleet: ColdFleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.rng = random.Random(name)
        self.granter: str | None = fleet.granter
        self.confirmed_at = 0.0
        # The targets are evacuated until the host learns otherwise.
        self.is_open = False
        clock = LoopClock()
        self.limits = TargetLimits(clock)
        self.limits.warmup.update_services(
            {'engines': WarmupLimits(WARMUP_S, fleet.rate_per_s)}
        )
        self.service = LimitService(
            fleet.network.endpoint(name),
            clock,
            self.limits,
            self,
            self.limits.warmup.service_of,
        )
        self.is_running = True

    def granter_of(self, _service: str) -> str | None:
        """Return the granter known to this host."""
        return self.granter

    def address_of(self, _host: str) -> str | None:
        """Return a placeholder address."""
        return 'x'

    def is_confirmed(self) -> bool:
        """Return whether this host was in touch with control recently."""
        age_s = self.fleet.now() - self.confirmed_at
        return age_s < GRANTER_CONFIRMATION_TTL_S

    async def generate_load(self, rate_per_s: float) -> None:
        """Send requests as a Poisson process."""
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            target = ListedTarget(self.rng.choice(TARGET_IDS))
            paused = self.limits.permit_pause_s(target.id)
            if self.is_running and self.is_open and not paused:
                self.fleet.spawn(self.request(target))

    async def request(self, target: ListedTarget) -> None:
        """Send one request if a permit is granted."""
        max_wait_s = self.rng.choice([0, 0, 1.0])
        permit = await self.service.acquire(target, 'r1', max_wait_s)
        await asyncio.sleep(self.rng.uniform(0, MAX_CONNECT_S))
        if permit is not None and self.limits.allows(target.id, permit):
            self.fleet.arrivals_by_target[target.id].append(self.fleet.now())

    async def enrol(self) -> None:
        """Report to all other hosts, unless cut off from control."""
        while True:
            cold = self.service.warmup.granted()
            if self.is_running and self.name not in self.fleet.cut_off:
                self.confirmed_at = self.fleet.now()
                for other in self.fleet.hosts.values():
                    if other is not self and other.name not in (
                        self.fleet.cut_off
                    ):
                        other.service.warmup.record_granted(self.name, cold)
            await asyncio.sleep(ENROL_S)

    async def read_lists(self) -> None:
        """Apply lists of different ages; the newest one wins."""
        newest_at = -1.0
        while True:
            age_s = self.rng.uniform(0, MAX_LIST_AGE_S)
            read_at = self.fleet.now() - age_s
            read_at -= read_at % LIST_READ_S
            if read_at > newest_at:
                newest_at = read_at
                self.limits.warmup.note_listed(
                    self.fleet.listed(read_at - LIST_LAG_S), read_at
                )
            await asyncio.sleep(ENROL_S)


class ColdFleet:
    """Hosts on one network, and targets of one service."""

    def __init__(self, count: int, rate_per_s: float) -> None:
        self.network = LocalNetwork(random.Random(1), delay_s=0.002)
        self.rate_per_s = rate_per_s
        self.arrivals_by_target: dict[str, list[float]] = {
            target: [] for target in TARGET_IDS
        }
        self.cold_from = float('inf')
        self.cold_until = float('inf')
        # Hosts without a connection to control.
        self.cut_off: set[str] = set()
        self.granter = 'host-0'
        self.hosts = {
            f'host-{number}': Host(self, f'host-{number}')
            for number in range(count)
        }
        self._tasks: list[asyncio.Task[None]] = []

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def spawn(self, work) -> None:
        """Run a coroutine in the background."""
        self._tasks.append(asyncio.create_task(work))

    def listed(self, at: float) -> list[ListedTarget]:
        """Return the list as of a time."""
        is_cold = self.cold_from <= at < self.cold_until
        return [ListedTarget(each, is_cold=is_cold) for each in TARGET_IDS]

    async def start(self) -> None:
        """Start all hosts and their load; the targets are evacuated."""
        rate_per_s = OVERLOAD * TARGETS * self.rate_per_s / len(self.hosts)
        for host in self.hosts.values():
            await host.service.start()
            self.spawn(host.generate_load(rate_per_s))
            self.spawn(host.enrol())
            self.spawn(host.read_lists())
        await asyncio.sleep(5)

    def reopen(self, cold_s: float) -> None:
        """End the evacuation: all targets are cold; hosts learn of it."""
        self.cold_from = self.now()
        self.cold_until = self.cold_from + cold_s
        for host in self.hosts.values():
            asyncio.get_running_loop().call_later(
                host.rng.uniform(0, ENROL_S), self._open, host
            )

    def _open(self, host: Host) -> None:
        host.limits.warmup.note_reopened('dc-1')
        host.is_open = True

    async def stop(self) -> None:
        """Stop all hosts."""
        for host in self.hosts.values():
            await host.service.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def change_granter(
        self, granter: str, first_s: float = 0, last_s: float = CHANGE_S
    ) -> None:
        """Change the granter; each connected host learns of it in time."""
        self.granter = granter
        for host in self.hosts.values():
            if host.name in self.cut_off:
                continue
            # Both granters are in use for the whole time between.
            asyncio.get_running_loop().call_later(
                host.rng.choice([first_s, last_s]),
                setattr,
                host,
                'granter',
                granter,
            )

    def check(self) -> None:
        """Check the platform rule for all windows while targets are cold."""
        allowed = COLD_FACTOR * self.rate_per_s + ALLOWANCE
        for arrivals in self.arrivals_by_target.values():
            for position, end in enumerate(arrivals):
                first = bisect.bisect(arrivals, end - 1)
                if end < self.cold_until:
                    assert position + 1 - first <= allowed, f'{end:.2f} s'

    def used_share(self, since: float, until: float) -> float:
        """Return the requests as a share of what the targets take."""
        used = sum(
            bisect.bisect(arrivals, until) - bisect.bisect(arrivals, since)
            for arrivals in self.arrivals_by_target.values()
        )
        return used / (until - since) / TARGETS / self.rate_per_s


@pytest.fixture
async def fleet(request) -> AsyncIterator[ColdFleet]:
    count, rate_per_s = getattr(request, 'param', (12, 9.3))
    built = ColdFleet(count, rate_per_s)
    yield built
    await built.stop()


SIZES = [(12, 9.3), (12, 11.0), (96, 9.3), (200, 11.0)]


# Guards against hosts that together crash the targets of a data centre whose
# evacuation has ended, and against targets that stay limited for long.
@pytest.mark.parametrize('fleet', SIZES, indirect=True)
async def test_targets_that_become_cold_at_once_get_their_rate(fleet) -> None:
    """Load: eight times the rate; lists are up to 2 s old."""
    await fleet.start()
    fleet.reopen(WARMUP_S)
    began = fleet.now()
    await asyncio.sleep(WARMUP_S + LIST_LAG_S + MAX_LIST_AGE_S + 1.5)
    fleet.check()
    assert fleet.used_share(began + 1, began + WARMUP_S) > 0.6
    warm_at = fleet.now()
    await asyncio.sleep(2)
    # The offered load reaches the targets again.
    assert fleet.used_share(warm_at, warm_at + 2) > 0.7 * OVERLOAD


# Guards against a permanent warm-up that grows into more than its rate.
@pytest.mark.parametrize('fleet', SIZES, indirect=True)
async def test_two_granters_during_a_planned_change(fleet) -> None:
    """Handover: both granters serve the hosts that regard them as granter."""
    await fleet.start()
    fleet.reopen(60)
    for number in range(6):
        await asyncio.sleep(3.5)
        fleet.change_granter(f'host-{number + 1}')
    await asyncio.sleep(4.5)
    fleet.check()
    assert fleet.used_share(fleet.now() - 1, fleet.now()) > 0.6


@pytest.mark.parametrize('fleet', SIZES, indirect=True)
async def test_killed_granter_is_replaced(fleet) -> None:
    """Fault: the granter is killed; hosts notice it at different times."""
    await fleet.start()
    fleet.reopen(60)
    for number in range(3):
        await asyncio.sleep(3)
        killed = fleet.hosts[fleet.granter]
        killed.is_running = False
        fleet.cut_off.add(killed.name)
        fleet.network.endpoints_by_name[killed.name].close()
        fleet.change_granter(f'host-{number + 5}', SILENCE_S, LOSS_S)
        await asyncio.sleep(LOSS_S + 3)
    fleet.check()
    assert fleet.used_share(fleet.now() - 1, fleet.now()) > 0.6


# Failure that the confirmation prevents: a granter without a connection to
# control, which still reaches targets, issued permits beside the next one.
@pytest.mark.parametrize('fleet', SIZES, indirect=True)
@pytest.mark.parametrize('is_isolated', [True, False])
async def test_granter_without_control_stops(fleet, is_isolated) -> None:
    """Fault: the granter loses control, or control and all hosts."""
    await fleet.start()
    fleet.reopen(60)
    await asyncio.sleep(3)
    old = fleet.granter
    fleet.cut_off.add(old)
    if is_isolated:
        fleet.network.isolate(old)
    fleet.change_granter('host-5', SILENCE_S, LOSS_S)
    # All callers use the host that is cut off.
    fleet.spawn(fleet.hosts[old].generate_load(OVERLOAD * fleet.rate_per_s))
    await asyncio.sleep(10)
    fleet.check()
    assert fleet.used_share(fleet.now() - 1, fleet.now()) > 0.6


async def test_host_that_does_not_reach_the_granter_sends_nothing(
    fleet,
) -> None:
    """Fault: a host is partitioned from all others, not from the targets."""
    await fleet.start()
    fleet.reopen(60)
    await asyncio.sleep(3)
    fleet.network.isolate('host-3')
    fleet.cut_off.add('host-3')
    host = fleet.hosts['host-3']
    for _ in range(20):
        assert await host.service.acquire(ListedTarget('t0')) is None


# Guards against hosts that learn only from the list, seconds later, what a
# call of another host has shown.
async def test_refused_connection_at_one_host_limits_all(fleet) -> None:
    """Fault: a target crashes and returns before the list shows it."""
    fleet.cold_from = float('inf')
    await fleet.start()
    await asyncio.sleep(2)
    hosts = list(fleet.hosts.values())
    assert not any(host.limits.is_cold('t0') for host in hosts)
    fleet.hosts['host-7'].service.warmup.note_unreachable(ListedTarget('t0'))
    await asyncio.sleep(2 * ENROL_S)
    assert all(host.limits.is_cold('t0') for host in hosts)
    await asyncio.sleep(WARMUP_S + 3)
    assert not any(host.limits.is_cold('t0') for host in hosts)
