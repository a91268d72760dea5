"""Configuration service and client over a lossy network, virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from hornbeamline.configuration import (
    Accepted,
    Change,
    ChangeResponse,
    ConfigurationClient,
    ConfigurationService,
    _client,
)
from hornbeamline.configuration._messages import RenewRequest
from hornbeamline.control_link import LeaderServer
from hornbeamline.control_link._messages import ControlReply
from hornbeamline.exceptions import ReplicatedLogError
from hornbeamline.inventory import (
    Operation,
    document_digest,
)
from hornbeamline.replog import NotLeaderError, ProposalUnknownError
from tests.configuration.documents import document, put_account, put_rule
from tests.ledger.test_service import CONTROLS, entry_settings
from tests.local_network import LocalNetwork
from tests.replog.group import LoopClock
from tests.shared_log import SharedLog

pytestmark = pytest.mark.looptime


class ShiftedClock(LoopClock):
    """Clock that a test moves forward, as after a process suspension."""

    shift_s = 0.0

    def monotonic(self) -> float:
        """Return the loop's time plus the shift, in seconds."""
        return super().monotonic() + self.shift_s


class Cluster:
    """Three control hosts and one entry host."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.network = LocalNetwork(self.rng)
        self.log = SharedLog(self.rng)
        self.services: dict[str, ConfigurationService] = {}
        for name in CONTROLS:
            voter = self.log.voter(name)
            self.services[name] = ConfigurationService(
                voter,
                LeaderServer(self.network.endpoint(name), voter),
                LoopClock(),
                document(),
            )
        self.clock = ShiftedClock()
        self.client = ConfigurationClient(
            entry_settings('entry-1'),
            self.network.endpoint('entry-1'),
            self.clock,
        )

    async def start(self) -> None:
        self.log.elect('control-1')
        for component in (*self.services.values(), self.client):
            await component.start()
        await asyncio.sleep(2)

    @property
    def service(self) -> ConfigurationService:
        return self.services['control-1']

    @property
    def revision(self) -> int:
        return self.service.machine.accepted.revision

    def digest(self) -> str:
        return document_digest(self.service.machine.accepted.document)

    async def apply(self, *operations: Operation) -> ChangeResponse:
        change_id = f'c{self.rng.random()}'
        change = Change(change_id, self.revision, list(operations))
        return await self.service.change(change)


async def start_cluster() -> Cluster:
    """Start a cluster; a fixture would run in real time."""
    cluster = Cluster(5)
    await cluster.start()
    return cluster


async def test_initial_document_is_revision_one() -> None:
    """Guards against a fleet that starts without its inventory."""
    cluster = await start_cluster()
    assert cluster.revision == 1
    assert cluster.client.revision == 1
    assert cluster.client.holds_lease()
    assert set(cluster.client.fleet.targets_by_name) == {'desk-1'}
    cluster.log.elect('control-2')
    await asyncio.sleep(2)
    assert cluster.revision == 1


async def test_change_reaches_the_client_with_its_callback() -> None:
    """Guards against a revision that components are not notified of."""
    cluster = await start_cluster()
    seen: list[tuple[int, int]] = []
    cluster.client.on_revision(
        lambda fleet, revision: seen.append(
            (revision, fleet.rules.admission.queue_length),
        ),
    )
    assert (await cluster.apply(put_rule(7))).is_accepted
    await asyncio.sleep(1.1)
    assert seen == [(1, 512), (2, 7)]


async def test_exactly_one_of_two_equal_changes_wins() -> None:
    """Guards against a change that silently replaces another one."""
    cluster = await start_cluster()
    racing = [
        Change(f'by-{name}', 1, [put_account(name, index)], name)
        for index, name in enumerate(('operator-1', 'operator-2'))
    ]
    first, second = await asyncio.gather(
        *(cluster.service.change(change) for change in racing),
    )
    assert first.is_accepted
    assert second == ChangeResponse(
        'conflict', 2, 'by-operator-1', 'operator-1'
    )
    names = set(cluster.service.machine.accepted.document['accounts_by_name'])
    assert names == {'operator-1'}


async def test_resent_change_gets_its_first_response() -> None:
    """Guards against a change that is applied twice or reported wrongly."""
    cluster = await start_cluster()
    cluster.log.unknown_share = 1
    change = Change('c', 1, [put_rule(3)])
    for _ in range(20):
        with pytest.raises(ProposalUnknownError):
            await cluster.service.change(change)
        if cluster.revision == 2:
            break
    cluster.log.unknown_share = 0
    await cluster.apply(put_rule(4))
    response = await cluster.service.change(change)
    assert response == ChangeResponse('accepted', 2)
    assert cluster.revision == 3


@pytest.mark.parametrize(
    ('operation', 'key_path'),
    [
        (
            Operation('remove', 'services_by_name', 'desk'),
            'targets_by_name.desk-1.service',
        ),
        (
            Operation('put', 'rules', 'retry', {'budget': 2}),
            'rules.retry.budget',
        ),
        (Operation('remove', 'hosts_by_name', 'x'), 'hosts_by_name.x'),
    ],
)
async def test_invalid_change_is_refused_whole(
    operation: Operation,
    key_path: str,
) -> None:
    """Guards against partly applied changes and dangling references."""
    cluster = await start_cluster()
    before = cluster.digest()
    response = await cluster.apply(put_rule(3), operation)
    assert (response.status, response.key_path) == ('invalid', key_path)
    assert (cluster.revision, cluster.digest()) == (1, before)


async def test_client_returns_after_hundreds_of_changes() -> None:
    """Guards against a host that returns with an old or mixed document."""
    cluster = await start_cluster()
    cluster.network.isolate('entry-1')
    for number in range(400):
        await cluster.apply(put_account(f'a{number % 50}', number))
    assert cluster.revision == 401
    await asyncio.sleep(5)
    assert not cluster.client.holds_lease()
    cluster.network.heal()
    await asyncio.sleep(3)
    assert cluster.client.revision == 401
    assert cluster.client._digest == cluster.digest()
    assert cluster.client.holds_lease()


async def test_wrong_delta_leads_to_the_whole_document() -> None:
    """Guards against a host that uses a document that was never accepted."""
    cluster = await start_cluster()
    cluster.client._document = {**document(), 'accounts_by_name': {}}
    cluster.client._document.pop('pipelines_by_name')
    await cluster.apply(put_rule(9))
    await asyncio.sleep(2)
    assert cluster.client.revision == 2
    assert 'filing' in cluster.client.fleet.pipelines_by_name
    assert cluster.client._digest == cluster.digest()


async def test_lost_operation_is_noticed_in_a_large_document(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against incomplete operations that pass the digest check."""
    monkeypatch.setattr(_client, 'FULL_CHECK_TABLES', 0)
    cluster = await start_cluster()
    await asyncio.sleep(2)
    cluster.network.isolate('entry-1')
    await cluster.apply(put_rule(9))
    await cluster.apply(put_account('late', 2))
    machine = cluster.service.machine
    all_operations_since = machine.operations_since
    monkeypatch.setattr(
        machine,
        'operations_since',
        lambda revision: all_operations_since(revision)[:1],
    )
    cluster.network.heal()
    await asyncio.sleep(3)
    assert cluster.client.revision == 3
    assert 'late' in cluster.client.fleet.accounts_by_name
    assert cluster.client._digest == cluster.digest()


async def test_older_revision_is_never_applied() -> None:
    """Guards against a leader that lost data and makes hosts revert."""
    cluster = await start_cluster()
    for number in range(3):
        await cluster.apply(put_rule(number + 1))
    await asyncio.sleep(1.2)
    assert cluster.client.revision == 4
    older = document()
    machine = cluster.service.machine
    machine.accepted = Accepted(2, document_digest(older), older)
    await asyncio.sleep(6)
    assert cluster.client.revision == 4
    assert cluster.client.fleet.rules.admission.queue_length == 3
    assert not cluster.client.holds_lease()


async def test_lease_counts_from_the_sending_of_the_renewal() -> None:
    """Guards against a lease counted from the receipt of the answer.

    A host that was suspended meanwhile would hold its lease too long.
    """
    cluster = await start_cluster()
    assert cluster.client.holds_lease()
    cluster.clock.shift_s += 4.1
    assert not cluster.client.holds_lease()
    await asyncio.sleep(1.1)
    assert cluster.client.holds_lease()
    # The host is suspended while a renewal is in flight.
    cluster.network.delay_s = 0.3
    await asyncio.sleep(1.3)
    cluster.clock.shift_s += 4.1
    await asyncio.sleep(0.35)
    assert not cluster.client.holds_lease()


async def test_deposed_leader_grants_no_lease() -> None:
    """Guards against a lease from a leader without a quorum."""
    cluster = await start_cluster()
    cluster.log.elect(None)
    await asyncio.sleep(4.2)
    assert not cluster.client.holds_lease()
    cluster.log.elect('control-3')
    await asyncio.sleep(1.2)
    assert cluster.client.holds_lease()


async def test_outdated_leader_grants_no_lease() -> None:
    """Guards against a lease from a leader unaware of its successor."""
    cluster = await start_cluster()
    cluster.log.voters_by_name['control-1'].is_outdated = True
    cluster.log.elect('control-2')
    for name in ('control-2', 'control-3'):
        cluster.network.cut('entry-1', name)
    await asyncio.sleep(4.2)
    assert not cluster.client.holds_lease()


async def test_barrier_of_a_lease_begins_after_the_renewal() -> None:
    """Guards against a lease on a barrier begun before the renewal."""
    cluster = await start_cluster()
    cluster.log.delay_s = 0.4
    voter = cluster.log.voters_by_name['control-1']
    barrier_starts_s: list[float] = []
    barrier = voter.read_barrier

    async def record_start() -> None:
        barrier_starts_s.append(LoopClock().monotonic())
        await barrier()

    voter.read_barrier = record_start  # type: ignore[method-assign] # records
    first = asyncio.create_task(cluster.service.read())
    await asyncio.sleep(0.2)
    requested_at_s = LoopClock().monotonic()
    await asyncio.gather(first, cluster.service.read())
    assert barrier_starts_s[-1] >= requested_at_s


async def test_failing_callback_holds_the_lease_back() -> None:
    """Guards against a lease while a component uses an old fleet."""
    cluster = await start_cluster()
    failures = [RuntimeError('first'), RuntimeError('second')]

    def observe(_fleet: Any, revision: int) -> None:
        if revision > 1 and failures:
            raise failures.pop()

    cluster.client.on_revision(observe)
    await cluster.apply(put_rule(2))
    await asyncio.sleep(2)
    assert not failures
    assert cluster.client.revision == 2


async def test_status_names_revision_and_lease_of_holders() -> None:
    """Guards against a status that hides a host with an old revision."""
    cluster = await start_cluster()
    await cluster.apply(put_rule(2))
    await asyncio.sleep(2.2)
    (holder,) = cluster.service.holders()
    assert (holder.host, holder.role, holder.revision) == (
        'entry-1',
        'entry',
        2,
    )
    assert holder.renewed_ago_s < 1.1
    assert holder.lease_left_s > 2.8


async def test_delayed_renewal_does_not_set_the_status_back() -> None:
    """Guards against old renewals from a follower that was suspended.

    The follower forwards them late, after the host has renewed again.
    """
    cluster = await start_cluster()
    await cluster.apply(put_rule(2))
    await asyncio.sleep(2.2)
    delayed = RenewRequest('entry-1', 'entry', 1, document_digest(document()))
    sender = cluster.network.endpoint('entry-9')
    await sender.call('control-2', delayed, ControlReply, 0.1)
    (holder,) = cluster.service.holders()
    assert holder.revision == 2
    cluster.log.elect('control-3')
    await sender.call('control-2', delayed, ControlReply, 0.1)
    assert not cluster.services['control-3'].holders()
    await asyncio.sleep(2.2)
    (holder,) = cluster.services['control-3'].holders()
    assert holder.revision == 2


async def change_until_known(cluster: Cluster, change: Change) -> None:
    """Send a change, and send it again until its result is known."""
    while True:
        leader = cluster.log.leader
        if leader is not None:
            try:
                await cluster.services[leader].change(change)
            except (NotLeaderError, ProposalUnknownError, ReplicatedLogError):
                await asyncio.sleep(0.1)
                continue
            return
        await asyncio.sleep(0.1)


@pytest.mark.parametrize('seed', range(4))
async def test_leases_exclude_revisions_older_than_four_seconds(
    seed: int,
) -> None:
    """Guards against a host that uses an outdated configuration.

    Two operators send and resend concurrent changes during elections,
    message loss, partitions and suspensions of the client. A host with a
    lease must have at least the revision that was in force 4 s earlier.
    """
    cluster = Cluster(seed)
    await cluster.start()
    cluster.network.loss = 0.1
    cluster.log.unknown_share = 0.2
    rng = cluster.rng
    in_force: list[tuple[float, int]] = []
    served: list[int] = []

    async def operate(name: str, first: int) -> None:
        for number in range(40):
            change = Change(
                f'{name}-{number}',
                cluster.revision,
                [put_account(f'{name}-{number % 7}', 1000 * first + number)],
                name,
            )
            await change_until_known(cluster, change)
            await asyncio.sleep(rng.random())

    async def disturb() -> None:
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3))
            cluster.network.heal()
            action = rng.choice(('elect', 'elect', 'cut', 'suspend', 'none'))
            if action == 'elect':
                cluster.log.elect(rng.choice((*CONTROLS, None)))
            elif action == 'cut':
                cluster.network.isolate('entry-1')
            elif action == 'suspend':
                cluster.clock.shift_s += 5

    async def observe() -> None:
        while True:
            now = cluster.clock.monotonic()
            in_force.append((now, cluster.revision))
            served.append(cluster.client.revision)
            if cluster.client.holds_lease():
                earlier = [rev for at, rev in in_force if at <= now - 4.01]
                assert not earlier or cluster.client.revision >= earlier[-1]
            await asyncio.sleep(0.01)

    background_tasks = [
        asyncio.create_task(disturb()),
        asyncio.create_task(observe()),
    ]
    await asyncio.gather(operate('operator-1', 1), operate('operator-2', 2))
    background_tasks[0].cancel()
    cluster.network.heal()
    cluster.network.loss = 0
    cluster.log.elect('control-1')
    await asyncio.sleep(6)
    assert not background_tasks[1].done(), background_tasks[1].exception()
    background_tasks[1].cancel()
    assert served == sorted(served)
    assert cluster.client.revision == cluster.revision > 20
    assert cluster.client._digest == cluster.digest()
