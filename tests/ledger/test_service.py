"""Ledger client and service on a lossy network, in virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
from msgspec import convert

from hornbeamline.control_link import LeaderServer
from hornbeamline.inventory import EntrySettings
from hornbeamline.ledger import (
    Claim,
    ClaimExisting,
    ClaimFencedError,
    ClaimGranted,
    ClaimRefused,
    ClaimState,
    LedgerClient,
    LedgerService,
    LedgerUnavailableError,
    make_outcome,
)
from tests.local_network import LocalNetwork
from tests.replog.group import LoopClock
from tests.shared_log import SharedLog

CONTROLS = ('control-1', 'control-2', 'control-3')

pytestmark = pytest.mark.looptime


def entry_settings(name: str) -> EntrySettings:
    """Return the settings of an entry host."""
    return convert(
        {
            'host': {'name': name, 'data_centre': 'dc-a', 'fleet': 'test'},
            'caller': {'address': '127.0.0.1:1'},
            'peering': {'address': '127.0.0.1:2'},
            'controls_by_name': dict.fromkeys(CONTROLS, '127.0.0.1:3'),
        },
        EntrySettings,
    )


class Cluster:
    """Three control hosts and two entry hosts."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.network = LocalNetwork(self.rng)
        self.log = SharedLog(self.rng)
        self.services: dict[str, LedgerService] = {}
        self.clients: dict[str, LedgerClient] = {}
        for name in CONTROLS:
            voter = self.log.voter(name)
            server = LeaderServer(self.network.endpoint(name), voter)
            service = LedgerService(voter, server, LoopClock())
            self.services[name] = service
        for name in ('entry-1', 'entry-2'):
            self.clients[name] = LedgerClient(
                entry_settings(name),
                self.network.endpoint(name),
                LoopClock(),
            )

    async def start(self) -> None:
        self.log.elect('control-1')
        for component in (*self.services.values(), *self.clients.values()):
            await component.start()

    async def stop(self) -> None:
        self.network.heal()
        self.network.loss = 0
        for component in (*self.clients.values(), *self.services.values()):
            await component.stop()

    def state(self, key: str) -> ClaimState | None:
        machine = self.services['control-1'].machine
        view = machine.view('acc', key)
        return None if view is None else view.state


async def start_cluster() -> Cluster:
    """Start a cluster; a fixture would run in real time."""
    cluster = Cluster(7)
    await cluster.start()
    return cluster


async def claim_key(client: LedgerClient, key: str = 'key') -> Claim:
    """Claim a key and check that the claim is granted."""
    decision = await client.claim('acc', key, 'd', 4)
    assert isinstance(decision, ClaimGranted), decision
    return decision.claim


async def test_claim_runs_through_its_states() -> None:
    """Guards against a state change of a claim that is not recorded."""
    cluster = await start_cluster()
    client = cluster.clients['entry-1']
    claim = await claim_key(client)
    permit = await client.mark_sending(claim, 2)
    assert client.may_send(permit)
    assert cluster.state('key') is ClaimState.sending
    await client.finish(claim, make_outcome(ClaimState.answered, '', b'a'))
    view = await cluster.clients['entry-2'].lookup('acc', 'key')
    assert view is not None and view.outcome is not None
    assert view.outcome.body == b'a'


async def test_permit_ends_before_send_by() -> None:
    """Guards against a first byte after the send-by time."""
    cluster = await start_cluster()
    client = cluster.clients['entry-1']
    permit = await client.mark_sending(await claim_key(client), 2)
    await asyncio.sleep(1.75)
    assert client.may_send(permit)
    await asyncio.sleep(0.1)
    assert not client.may_send(permit)


async def test_second_caller_gets_the_same_outcome() -> None:
    """Guards against two runs of one key at two entry hosts."""
    cluster = await start_cluster()
    first, second = cluster.clients.values()
    claim = await claim_key(first)
    decision = await second.claim('acc', 'key', 'd', 4)
    assert isinstance(decision, ClaimExisting)
    waiting = asyncio.create_task(second.wait_outcome('acc', 'key', 3))
    await asyncio.sleep(1.5)
    assert not waiting.done()
    await first.finish(claim, make_outcome(ClaimState.answered, '', b'a'))
    finished_at = LoopClock().monotonic()
    view = await waiting
    assert view is not None and view.state is ClaimState.answered
    assert LoopClock().monotonic() - finished_at < 0.1


async def test_waiting_ends_at_the_timeout() -> None:
    """Guards against a second caller that waits beyond its deadline."""
    cluster = await start_cluster()
    first, second = cluster.clients.values()
    await claim_key(first)
    started_at = LoopClock().monotonic()
    view = await second.wait_outcome('acc', 'key', 2)
    assert view is not None and view.outcome is None
    waited_s = LoopClock().monotonic() - started_at
    assert waited_s == pytest.approx(2, abs=0.15)


async def test_killed_owner_is_not_run_or_unknown() -> None:
    """Guards against claims of a killed entry host that never end."""
    cluster = await start_cluster()
    client = cluster.clients['entry-1']
    await claim_key(client, 'claimed')
    await client.mark_sending(await claim_key(client, 'sending'), 2)
    cluster.network.endpoints_by_name['entry-1'].close()
    await asyncio.sleep(7)
    assert cluster.state('claimed') is ClaimState.not_run
    assert cluster.state('sending') is ClaimState.unknown


async def test_isolated_owner_cannot_send() -> None:
    """Guards against a request sent after its claim was ended."""
    cluster = await start_cluster()
    client = cluster.clients['entry-1']
    claim = await claim_key(client)
    permit = await client.mark_sending(await claim_key(client, 'other'), 20)
    cluster.network.isolate('entry-1')
    with pytest.raises(LedgerUnavailableError):
        await client.mark_sending(claim, 1)
    await asyncio.sleep(6)
    assert not client.may_send(permit)
    cluster.network.heal()
    with pytest.raises(ClaimFencedError):
        await client.mark_sending(claim, 2)
    assert await claim_key(client)


async def test_new_leader_gives_sessions_full_time() -> None:
    """Guards against sessions that expire because the leader changed."""
    cluster = await start_cluster()
    client = cluster.clients['entry-1']
    claim = await claim_key(client)
    await asyncio.sleep(3)
    cluster.network.isolate('entry-1')
    await asyncio.sleep(4)
    cluster.log.elect('control-2')
    await asyncio.sleep(4)
    cluster.network.heal()
    await asyncio.sleep(3)
    epochs = cluster.services['control-2'].machine.sessions_by_epoch
    assert claim.epoch in epochs


async def test_wrong_body_is_refused() -> None:
    """Guards against an answer to another request with the same key."""
    cluster = await start_cluster()
    client = cluster.clients['entry-1']
    await claim_key(client)
    decision = await client.claim('acc', 'key', 'other', 4)
    assert decision == ClaimRefused('key_reused')


async def test_lost_grant_is_released() -> None:
    """Guards against a key held by a claim whose caller gave up."""
    cluster = await start_cluster()
    client = cluster.clients['entry-1']
    await asyncio.sleep(1)
    cluster.network.cuts = {(name, 'entry-1') for name in CONTROLS}
    decision = await client.claim('acc', 'key', 'd', 1)
    assert decision == ClaimRefused('ledger_unavailable')
    cluster.network.heal()
    await asyncio.sleep(2)
    assert cluster.state('key') is ClaimState.not_run


async def test_quorum_loss_refuses_claims() -> None:
    """Guards against a request that runs without a recorded claim."""
    cluster = await start_cluster()
    await asyncio.sleep(1)
    cluster.log.elect(None)
    client = cluster.clients['entry-1']
    decision = await client.claim('acc', 'key', 'd', 1)
    assert decision == ClaimRefused('ledger_unavailable')
    with pytest.raises(LedgerUnavailableError):
        await client.lookup('acc', 'key')


async def test_stop_closes_the_session() -> None:
    """Guards against a planned stop that waits for the session timeout."""
    cluster = await start_cluster()
    client = cluster.clients['entry-1']
    await claim_key(client)
    await client.stop()
    assert cluster.state('key') is ClaimState.not_run


async def test_many_callers_share_proposals() -> None:
    """Guards against one synced log write per claim under load."""
    cluster = await start_cluster()
    client = cluster.clients['entry-1']
    await claim_key(client)
    before = len(cluster.log.commands)
    await asyncio.gather(*(claim_key(client, f'k{n}') for n in range(200)))
    assert len(cluster.log.commands) - before <= 4


class Caller:
    """Simulates a caller that repeats requests with the same keys."""

    def __init__(self, cluster: Cluster, host: str, sent: list[Any]) -> None:
        self.client = cluster.clients[host]
        self.rng = cluster.rng
        self.sent = sent

    async def run_once(self, key: str) -> None:
        decision = await self.client.claim('acc', key, 'd', 3)
        if not isinstance(decision, ClaimGranted):
            return
        claim = decision.claim
        try:
            permit = await self.client.mark_sending(claim, 1.5)
        except (LedgerUnavailableError, ClaimFencedError):
            await self.end(claim, ClaimState.not_run)
            return
        await asyncio.sleep(self.rng.choice((0, 0, 1.6)))
        if not self.client.may_send(permit):
            await self.end(claim, ClaimState.not_run)
            return
        self.sent.append((key, claim))
        await asyncio.sleep(self.rng.choice((0.01, 1, 7)))
        lost = self.rng.random() < 0.3
        await self.end(
            claim,
            ClaimState.unknown if lost else ClaimState.answered,
        )

    async def end(self, claim: Claim, state: ClaimState) -> None:
        try:
            await self.client.finish(claim, make_outcome(state))
        except (LedgerUnavailableError, ClaimFencedError):
            return


@pytest.mark.parametrize('seed', range(5))
async def test_no_key_is_sent_twice(seed: int) -> None:
    """Guards against sending a key twice under message loss and elections."""
    cluster = Cluster(seed)
    await cluster.start()
    cluster.network.loss = 0.1
    cluster.log.unknown_share = 0.1
    sent: list[Any] = []
    keys = [f'key-{number}' for number in range(12)]

    async def resend(host: str) -> None:
        caller = Caller(cluster, host, sent)
        for _ in range(40):
            await caller.run_once(cluster.rng.choice(keys))
            await asyncio.sleep(cluster.rng.random() / 2)

    async def disturb() -> None:
        while True:
            await asyncio.sleep(cluster.rng.uniform(1, 4))
            cluster.log.elect(cluster.rng.choice((*CONTROLS, None)))
            cluster.network.heal()
            if cluster.rng.random() < 0.4:
                # Longer than the timeout of a session.
                cluster.log.elect('control-2')
                cluster.network.isolate('entry-1')
                await asyncio.sleep(8)
                cluster.network.heal()

    disturbing = asyncio.create_task(disturb())
    hosts = ('entry-1', 'entry-1', 'entry-2', 'entry-2')
    await asyncio.gather(*(resend(host) for host in hosts))
    disturbing.cancel()
    cluster.log.elect('control-3')
    await asyncio.sleep(60)
    sent_keys = [key for key, _ in sent]
    assert len(sent_keys) == len(set(sent_keys)), sent_keys
    assert sent_keys
    for key in sent_keys:
        assert cluster.state(key) in {ClaimState.answered, ClaimState.unknown}
    await cluster.stop()
