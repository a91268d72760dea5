"""All hosts together stay within the limits that targets state."""

from __future__ import annotations

import asyncio
import bisect
import random
from collections.abc import AsyncIterator
from typing import NamedTuple

import pytest

from hornbeamline.limits import LimitService, TargetLimits
from tests.local_network import LocalNetwork
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)

# Platform rule: from LIMIT_GRACE_S after the first answer that states a limit,
# any window of WINDOW_S has at most LIMIT_FACTOR times the limit plus ALLOWANCE
# requests.
LIMIT_GRACE_S = 3.0
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
ALLOWANCE = 5
# Offered load of all hosts together, as a multiple of the limit.
OVERLOAD = 8
# Time from a request to the headers of its answer.
ANSWER_S = 0.2
ENROL_S = 0.4
# Time within which hosts notice that a limit has ended.
END_DETECTION_S = 5.0
# Longest propagation delay of a directory change.
MAX_PROPAGATION_S = 1.6


class FakeTarget(NamedTuple):
    """Target that states a limit."""

    id: str = 't'
    service: str = 'engines'


TARGET = FakeTarget()


class Host:
    """Host that sends requests to the target as often as permitted."""

    def __init__(self, fleet: LimitedFleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.granter: str | None = fleet.granter
        self.limits = TargetLimits(LoopClock())
        self.service = LimitService(
            fleet.network.endpoint(name),
            LoopClock(),
            self.limits,
            self,
            lambda _target: TARGET.service,
        )
        self.is_running = True

    def granter_of(self, _service: str) -> str | None:
        """Return the granter known to this host."""
        return self.granter

    def address_of(self, _host: str) -> str | None:
        """Return a placeholder address."""
        return 'x'

    def is_confirmed(self) -> bool:
        """Return that the host is in touch with control."""
        return True

    async def generate_load(self, rate_per_s: float) -> None:
        """Send requests as a Poisson process."""
        rng = random.Random(self.name)
        while True:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            if self.is_running and not self.limits.permit_pause_s(TARGET.id):
                self.fleet.spawn(self.request())

    async def request(self) -> None:
        """Send one request if a permit is granted."""
        permit = await self.service.acquire(TARGET, 'r1')
        if permit is None or not self.limits.allows(TARGET.id, permit):
            return
        self.fleet.note_arrival()
        await asyncio.sleep(ANSWER_S)
        self.service.note_answer(TARGET, self.fleet.limit_per_s, permit)

    async def enrol(self) -> None:
        """Report the limits that this host enforces to all other hosts."""
        while True:
            limits_by_target = self.service.granted_limits()
            for other in self.fleet.hosts.values():
                cut = (self.name, other.name) in self.fleet.network.cuts
                if self.is_running and other is not self and not cut:
                    other.service.record_granter_limits(
                        self.name, limits_by_target
                    )
            await asyncio.sleep(ENROL_S)


class LimitedFleet:
    """Hosts on one network, and a target with a limit."""

    def __init__(self, count: int, limit_per_s: float) -> None:
        self.network = LocalNetwork(random.Random(1), delay_s=0.002)
        self.limit_per_s = limit_per_s
        self.arrivals: list[float] = []
        self.granter = 'host-0'
        self.hosts = {
            f'host-{number}': Host(self, f'host-{number}')
            for number in range(count)
        }
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work) -> None:
        """Run a coroutine in the background."""
        self._tasks.append(asyncio.create_task(work))

    async def start(self) -> None:
        """Start all hosts and their load."""
        rate_per_s = OVERLOAD * self.limit_per_s / len(self.hosts)
        for host in self.hosts.values():
            await host.service.start()
            self.spawn(host.generate_load(rate_per_s))
            self.spawn(host.enrol())

    async def stop(self) -> None:
        """Stop all hosts."""
        for host in self.hosts.values():
            await host.service.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def note_arrival(self) -> None:
        """Record the arrival of a request at the target."""
        self.arrivals.append(asyncio.get_running_loop().time())

    def hand_over(self, granter: str) -> None:
        """Change the granter; each host learns of it at a random time."""
        rng = random.Random(granter)
        for host in self.hosts.values():
            asyncio.get_running_loop().call_later(
                rng.uniform(0, MAX_PROPAGATION_S),
                setattr,
                host,
                'granter',
                granter,
            )

    def check(self) -> None:
        """Check the platform rule for all windows."""
        allowed = LIMIT_FACTOR * self.limit_per_s * WINDOW_S + ALLOWANCE
        checked_from = self.arrivals[0] + LIMIT_GRACE_S + WINDOW_S
        for position, end in enumerate(self.arrivals):
            first = bisect.bisect(self.arrivals, end - WINDOW_S)
            if end >= checked_from:
                assert position + 1 - first <= allowed, f'{end:.2f} s'

    def used_share(self, seconds: float) -> float:
        """Return the request rate of the last seconds relative to the limit."""
        now = asyncio.get_running_loop().time()
        first = bisect.bisect(self.arrivals, now - seconds)
        return (len(self.arrivals) - first) / seconds / self.limit_per_s


@pytest.fixture
async def fleet(request) -> AsyncIterator[LimitedFleet]:
    count, limit_per_s = getattr(request, 'param', (12, 1.0))
    built = LimitedFleet(count, limit_per_s)
    yield built
    await built.stop()


# Guards against hosts that together exceed the limit of an overloaded
# target (rule LIMIT at emst-frontera).
@pytest.mark.parametrize(
    'fleet',
    [
        (count, limit_per_s)
        for count in (12, 96, 200)
        for limit_per_s in (0.5, 1.0, 5.0)
    ],
    indirect=True,
)
async def test_hosts_together_stay_within_the_limit_and_use_it(fleet) -> None:
    """Load: eight times the limit, from 12 to 200 hosts."""
    await fleet.start()
    await asyncio.sleep(40)
    fleet.check()
    assert fleet.used_share(30) > 0.6


# Guards against exceeding the limit when the granter is lost.
@pytest.mark.parametrize('fleet', [(12, 1.0), (12, 5.0)], indirect=True)
async def test_killed_granter_is_replaced(fleet) -> None:
    """Fault: the granter is killed; hosts notice it at different times."""
    await fleet.start()
    await asyncio.sleep(10)
    for number in range(3):
        killed = fleet.hosts[fleet.granter]
        killed.is_running = False
        fleet.network.endpoints_by_name[killed.name].close()
        fleet.granter = f'host-{number + 5}'
        fleet.hand_over(fleet.granter)
        await asyncio.sleep(6)
    fleet.check()
    assert fleet.used_share(3) > 0.5


@pytest.mark.parametrize('fleet', [(12, 1.0), (12, 5.0)], indirect=True)
async def test_two_granters_during_a_handover(fleet) -> None:
    """Handover: both granters serve the hosts that regard them as granter."""
    await fleet.start()
    for number in range(6):
        await asyncio.sleep(5)
        fleet.hand_over(f'host-{number}')
    await asyncio.sleep(5)
    fleet.check()


async def test_isolated_granter_stops_the_requests(fleet) -> None:
    """Fault: the granter is partitioned, and no other host takes over."""
    await fleet.start()
    await asyncio.sleep(10)
    fleet.network.isolate(fleet.granter)
    for host in fleet.hosts.values():
        host.is_running = host.name != fleet.granter
    await asyncio.sleep(1)
    before = len(fleet.arrivals)
    await asyncio.sleep(5)
    assert len(fleet.arrivals) == before
    fleet.network.heal()
    await asyncio.sleep(5)
    assert len(fleet.arrivals) > before
    fleet.check()


async def test_lost_messages_cost_requests_only(fleet) -> None:
    """Fault: links drop 20 % of the messages."""
    await fleet.start()
    fleet.network.loss = 0.2
    await asyncio.sleep(30)
    fleet.check()
    assert fleet.used_share(20) > 0.3


async def test_host_without_answers_learns_the_limit_from_the_granter(
    fleet,
) -> None:
    """Hosts that got no answer from the target still know its limit."""
    await fleet.start()
    await asyncio.sleep(LIMIT_GRACE_S)
    assert all(host.limits.is_limited('t') for host in fleet.hosts.values())


async def test_end_of_a_limit_is_noticed_by_all(fleet) -> None:
    """The answers of the target no longer state a limit."""
    await fleet.start()
    await asyncio.sleep(10)
    fleet.limit_per_s = float('inf')
    await asyncio.sleep(END_DETECTION_S)
    before = len(fleet.arrivals)
    await asyncio.sleep(5)
    # The offered load reaches the target again.
    assert len(fleet.arrivals) - before > 0.7 * OVERLOAD * 5


async def test_host_without_a_granter_sends_nothing(fleet) -> None:
    """Fault: a host that has just started knows no granter yet."""
    await fleet.start()
    host = fleet.hosts['host-3']
    host.granter = None
    host.limits.record_stated_limit('t', 1.0)
    assert await host.service.acquire(TARGET) is None


async def test_target_without_a_limit_needs_no_permit_request(fleet) -> None:
    """No permit is requested for targets without a limit."""
    await fleet.start()
    host = fleet.hosts['host-3']
    host.granter = None
    permit = await host.service.acquire(FakeTarget('other'))
    assert permit is not None
    assert host.limits.allows('other', permit)
