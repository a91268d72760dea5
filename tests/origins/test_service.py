"""The leader's part on a log whose commits take long."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import pytest

from hornbeamline.control_link import LeaderServer
from hornbeamline.helpers.codec import decode
from hornbeamline.origins import OriginMachine
from hornbeamline.origins._messages import (
    AskVersions,
    VersionQuery,
    VersionsReply,
)
from hornbeamline.origins.service import OriginService
from tests.local_network import LocalNetwork
from tests.origins.group import SERVICE, Platform
from tests.replog.group import LoopClock
from tests.shared_log import SharedLog, VoterLog

pytestmark = pytest.mark.looptime(noop_cycles=0)

COMMIT_S = 5.0


class SlowLog(VoterLog):
    """Log with slow commits and immediate reads."""

    async def read_barrier(self) -> None:
        """Confirm at once that this voter leads."""


class Leader:
    """Control process that leads, its state and the platform's list."""

    def __init__(self) -> None:
        self.shared = SharedLog(random.Random(1))
        log = SlowLog('control-1', self.shared)
        self.shared.voters_by_name[log.name] = log
        self.machine, self.platform = OriginMachine(), Platform()
        self.platform.serve('v1')
        peering = LocalNetwork(random.Random(1)).endpoint('control-1')
        self.server = LeaderServer(peering, log)
        self.service = OriginService(
            log,
            self.server,
            self.machine,
            self.platform.versions,
            lambda: 0.5,
            lambda: 20.0,
            LoopClock(),
        )

    @property
    def default(self) -> str | None:
        """Return the committed default."""
        return self.machine.defaults_by_service.get(SERVICE)

    async def lead(self, commit_s: float) -> None:
        """Set the first default; later commits take `commit_s` seconds."""
        self.shared.elect('control-1')
        await self.service.start()
        await asyncio.sleep(2)
        assert self.default == 'v1'
        self.shared.delay_s = commit_s

    async def ask(self, version: str) -> str | None:
        """Return the default for a host that is about to use a version."""
        reply = await self.server.submit(
            AskVersions([VersionQuery(SERVICE, in_use=version)])
        )
        return decode(reply.body, VersionsReply).answers[0].default


@pytest.fixture
async def leader() -> AsyncIterator[Leader]:
    """Return a process that does not lead yet.

    The time of fixtures is not virtual, so that the test starts it.
    """
    process = Leader()
    yield process
    await process.service.stop()


# Guards against a default that is confirmed and replaced right after.
@pytest.mark.parametrize('asked_s', [55.0, 59.5, 61.5, 63.0, 66.5])
async def test_confirmed_default_is_kept(leader, asked_s) -> None:
    """Fault: a version comes back while its replacement is committed."""
    await leader.lead(COMMIT_S)
    leader.platform.serve('v2')
    await asyncio.sleep(asked_s)
    leader.platform.serve('v1', 'v2')
    confirmed = await leader.ask('v1')
    assert confirmed == leader.default
    assert confirmed == ('v1' if asked_s < 59 else 'v2')
    await asyncio.sleep(50)
    assert leader.default == confirmed


# Guards against an observation that misses what another leader confirmed.
async def test_leader_that_returns_counts_anew(leader) -> None:
    """Another voter leads for two seconds, shortly before the change."""
    await leader.lead(0.01)
    leader.platform.serve('v2')
    await asyncio.sleep(55)
    leader.shared.elect('control-2')
    await asyncio.sleep(2)
    leader.shared.elect('control-1')
    await asyncio.sleep(55)
    assert leader.default == 'v1'
    await asyncio.sleep(10)
    assert leader.default == 'v2'
