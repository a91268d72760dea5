"""Spread of evidence over hosts and control processes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import pytest

from hornbeamline.helpers.clock import SystemClock
from hornbeamline.quarantine import (
    PartQuarantine,
    QuarantineExchange,
    QuarantineRelay,
)
from hornbeamline.quarantine.const import SYNC_INTERVAL_S
from tests.local_network import LocalNetwork
from tests.quarantine.builders import make_crash
from tests.serving import until

CONTROLS = ('c0', 'c1')


class Fleet:
    """Entry hosts and control processes on a network in memory."""

    def __init__(self) -> None:
        self.network = LocalNetwork(random.Random(1))
        self.quarantines: dict[str, PartQuarantine] = {}
        self.relays: dict[str, QuarantineRelay] = {}
        self._exchanges: list[QuarantineExchange] = []
        for control in CONTROLS:
            self.add_control(control)

    def add_control(self, name: str) -> None:
        """Start a control process, in place of one with the same name."""
        self.relays[name] = QuarantineRelay(
            self.network.endpoint(name),
            SystemClock(),
            lambda: list(self.quarantines),
        )

    async def add_host(self, name: str) -> PartQuarantine:
        """Start an entry host."""
        quarantine = PartQuarantine(name, SystemClock())
        exchange = QuarantineExchange(
            self.network.endpoint(name),
            quarantine,
            lambda: CONTROLS,
            SystemClock(),
            random.Random(name),
        )
        self.quarantines[name] = quarantine
        self._exchanges.append(exchange)
        await exchange.start()
        return quarantine

    async def stop(self) -> None:
        """Stop all services."""
        for service in (*self._exchanges, *self.relays.values()):
            await service.stop()

    def naming(self) -> list[str]:
        """Return the hosts that have a part in quarantine."""
        return [
            name
            for name, quarantine in self.quarantines.items()
            if quarantine.verdicts()
        ]


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Return a fleet of three hosts."""
    started = Fleet()
    for number in range(3):
        await started.add_host(f'h{number}')
    yield started
    await started.stop()


def crash(quarantine: PartQuarantine, target: str) -> None:
    """Let an engine end under a request of a host."""
    guard = quarantine.guard(f'r-{target}', ['common', 'deadly'])
    guard.engine_ended(make_crash(target))


async def until_named(fleet: Fleet, count: int, timeout_s: float) -> None:
    """Wait until some hosts have a part in quarantine."""
    await until(lambda: len(fleet.naming()) == count, timeout_s)


async def test_crashes_at_two_hosts_are_known_to_all_at_once(fleet) -> None:
    """Guards against hosts that learn only from their own crashes."""
    crash(fleet.quarantines['h0'], 'e1')
    crash(fleet.quarantines['h1'], 'e2')
    await until_named(fleet, 3, 0.3)


async def test_host_that_joins_learns_verdicts(fleet) -> None:
    """Guards against a restarted host that crashes engines once more."""
    crash(fleet.quarantines['h0'], 'e1')
    crash(fleet.quarantines['h1'], 'e2')
    await until_named(fleet, 3, 0.3)
    await fleet.add_host('h3')
    await until_named(fleet, 4, 0.1)


async def test_restarted_control_processes_learn_from_hosts(fleet) -> None:
    """Guards against verdicts that are lost with the control processes."""
    crash(fleet.quarantines['h0'], 'e1')
    crash(fleet.quarantines['h1'], 'e2')
    await until_named(fleet, 3, 0.3)
    for control in CONTROLS:
        fleet.add_control(control)
    # A host compares its evidence with one control process an interval, after
    # the interval of its start.
    await until(
        lambda: all(relay.verdicts() for relay in fleet.relays.values()),
        (1 + len(CONTROLS)) * SYNC_INTERVAL_S + 0.5,
    )


async def test_evidence_of_a_cut_off_host_arrives_later(fleet) -> None:
    """Guards against evidence that is lost with its only message."""
    fleet.network.isolate('h0')
    crash(fleet.quarantines['h0'], 'e1')
    crash(fleet.quarantines['h0'], 'e2')
    await asyncio.sleep(0.1)
    assert fleet.naming() == ['h0']
    fleet.network.heal()
    await until_named(fleet, 3, 4 * SYNC_INTERVAL_S)


async def test_operator_lifts_a_verdict_everywhere(fleet) -> None:
    """Guards against a lift that reaches only one host."""
    crash(fleet.quarantines['h0'], 'e1')
    crash(fleet.quarantines['h1'], 'e2')
    await until_named(fleet, 3, 0.3)
    fleet.relays['c1'].lift('deadly')
    await until_named(fleet, 0, 0.3)
    await asyncio.sleep(1.5 * SYNC_INTERVAL_S)
    assert not fleet.naming()
