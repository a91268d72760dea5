"""Computation of pieces despite lost owners, calls and replies."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import pytest

from hornbeamline.batching import (
    BatchingService,
    CallDeferredError,
    CallLostError,
    CallRefusedError,
    EntryHost,
    Piece,
    PieceResult,
    PiecesFailedError,
    PieceTerms,
    TargetAccess,
)
from hornbeamline.batching._messages import AskStage, SubmitPieces
from hornbeamline.batching.const import SILENT_OWNER_S
from hornbeamline.directory.const import PRESENCE_SILENCE_S
from hornbeamline.helpers.budget import BudgetSettings, RetryBudget
from hornbeamline.helpers.rendezvous import rendezvous_order
from hornbeamline.peering import kind_of
from tests.local_network import LocalNetwork
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)

SERVICE = 'stage'
HOSTS = [f'host-{number}' for number in range(4)]
OWNERS = rendezvous_order(SERVICE, HOSTS)
# Time within which a lost owner is detected and the pieces are computed.
RECOVERY_LIMIT_S = 1.6
CALL_S = 0.3
# Share of the space of a target that large inputs use.
LARGE_SHARE = 0.25


class Profile(NamedTuple):
    """Call durations and limits of the service."""

    pieces_per_call: int = 8
    call_s: float = CALL_S
    piece_s: float = 0.0
    results_mb: float = 1.0
    result_ttl_s: float = 4.0


class FakeTarget(NamedTuple):
    """Target of the service."""

    id: str
    data_centre: str = 'north'


class FakeTargets:
    """Targets that need `CALL_S` per call and can lose calls."""

    def __init__(self, count: int = 2) -> None:
        self.targets = [FakeTarget(f't{number}') for number in range(count)]
        self.losing_targets: set[str] = set()
        self.unreachable_targets: set[str] = set()
        # Failure reasons of pieces in the next call, by piece number.
        self.failures_by_number: dict[int, str] = {}
        self.is_limited = False
        self.has_inputs = True
        self.slowness = 1
        self.calls: list[tuple[str, list[Piece]]] = []
        self.freed: list[str] = []
        # Seconds until a target accepts calls while all are paused.
        self.pause_s = 0.0

    async def call(
        self,
        target: Any,
        pieces: Sequence[Piece],
        left_s: Sequence[float],
        on_sent: Callable[[], None],
    ) -> list[PieceResult]:
        """Compute pieces or simulate a failure."""
        self.calls.append((target.id, list(pieces)))
        if self.is_limited:
            raise CallDeferredError('no permit')
        if not self.has_inputs:
            return [PieceResult(failure='gone') for _ in pieces]
        if target.id in self.unreachable_targets:
            await asyncio.sleep(CALL_S)
            raise CallRefusedError('no connection', exempt_from_budget=True)
        on_sent()
        await asyncio.sleep(CALL_S * self.slowness)
        if target.id in self.losing_targets:
            raise CallLostError('reset')
        failures = self.failures_by_number
        self.failures_by_number = {}
        return [
            PieceResult(failure=failures[piece.number])
            if piece.number in failures
            else PieceResult(f'{target.id}/{piece.request_id}-{piece.number}')
            for piece in pieces
        ]

    async def free(self, address: str, handles: Sequence[str]) -> None:
        """Record the freed results."""
        self.freed.extend(handles)


async def never_reply(_sender: str, _request: Any) -> None:
    """Handle a message without ever replying."""
    await asyncio.Event().wait()


class FakeFleet:
    """Entry hosts on one network."""

    def __init__(self) -> None:
        self.network = LocalNetwork(random.Random(1))
        self.targets = FakeTargets()
        self.services: dict[str, BatchingService] = {}
        self.present = set(HOSTS)

    async def start(self, name: str, *, knows_service: bool = True) -> None:
        """Start a host, or restart it with empty state."""
        clock = LoopClock()
        budget = RetryBudget(BudgetSettings(0.2, 10, 64), clock)
        budget.note_hosts(1)
        service = BatchingService(
            self.network.endpoint(name),
            clock,
            lambda: self.others_of(name),
            TargetAccess(
                lambda _service: self.targets.targets,
                self.targets.call,
                self.targets.free,
                lambda _service: self.targets.pause_s,
            ),
            budget,
        )
        self.services[name] = service
        if knows_service:
            service.update({SERVICE: Profile()})
        await service.start()

    def others_of(self, name: str) -> dict[str, EntryHost]:
        """Return the present other hosts with the services that they own."""
        return {
            other: EntryHost(
                'x',
                frozenset(self.services[other].owned_services()),
            )
            for other in self.present & set(self.services)
            if other != name
        }

    def current_owners(self) -> list[str]:
        """Return the hosts that own the service."""
        return [
            name
            for name in OWNERS
            if SERVICE in self.services[name].owned_services()
        ]

    def compute(
        self,
        host: str,
        count: int = 3,
        on_fetched: Callable[[], None] = lambda: None,
        held_share: float = 0,
    ) -> asyncio.Future[list[str]]:
        """Submit the pieces of a request at a host."""
        pieces = [Piece('r1', 0, number, 'k', []) for number in range(count)]
        return asyncio.ensure_future(
            self.services[host].compute(
                SERVICE,
                pieces,
                PieceTerms(2.0, 8.0, 0, 1000, held_share),
                on_fetched,
            ),
        )


@pytest.fixture
async def fleet():
    started = FakeFleet()
    for name in HOSTS:
        await started.start(name)
    yield started
    for service in started.services.values():
        await service.stop()


async def test_pieces_of_all_hosts_share_calls(fleet) -> None:
    """Load: hosts with one piece each fill one call together."""
    works = [
        asyncio.ensure_future(
            fleet.services[host].compute(
                SERVICE,
                [Piece(f'r-{host}', 0, 0, 'k', [])],
                PieceTerms(2.0, 8.0, 0, 1000),
                lambda: None,
            ),
        )
        for host in HOSTS
    ]
    await asyncio.gather(*works)
    assert [len(pieces) for _, pieces in fleet.targets.calls] == [4]


async def test_killed_owner_is_replaced_in_time(fleet) -> None:
    """Fault: the owner is killed during a call."""
    work = fleet.compute(OWNERS[2])
    await asyncio.sleep(0.1)
    fleet.network.endpoints_by_name[OWNERS[0]].close()
    async with asyncio.timeout(RECOVERY_LIMIT_S):
        assert len(await work) == 3


# Guards against requests that each wait for a frozen owner twice, 2.4 s in
# total, until the directory drops the owner.
async def test_silent_owner_is_tried_once_and_then_skipped(fleet) -> None:
    """Fault: the owner is frozen or partitioned."""
    fleet.network.isolate(OWNERS[0])
    async with asyncio.timeout(RECOVERY_LIMIT_S):
        assert len(await fleet.compute(OWNERS[2])) == 3
    async with asyncio.timeout(CALL_S * 2):
        assert len(await fleet.compute(OWNERS[2])) == 3


# Guards against waiting for a frozen owner again while it is still listed,
# for up to twice the silence timeout of the directory: once by the control
# processes and once by the hosts.
async def test_silent_owner_is_skipped_while_it_is_listed(fleet) -> None:
    """Fault: the owner stays frozen for as long as it is listed."""
    now = asyncio.get_running_loop().time
    await fleet.compute(OWNERS[2])
    listed_until = now() + 2 * PRESENCE_SILENCE_S
    fleet.network.isolate(OWNERS[0])
    await fleet.compute(OWNERS[2])
    await asyncio.sleep(listed_until - now() - CALL_S / 2)
    async with asyncio.timeout(CALL_S * 2):
        assert len(await fleet.compute(OWNERS[2])) == 3


async def test_owner_that_answers_late_stays_the_owner(fleet) -> None:
    """Guards against two queues for one service while packets are lost."""
    owner_endpoint = fleet.network.endpoints_by_name[OWNERS[0]]
    owner_endpoint.on(AskStage, never_reply)
    submit_handler = owner_endpoint._handlers[kind_of(SubmitPieces)]
    owner_endpoint.on(SubmitPieces, never_reply)
    work = fleet.compute(OWNERS[2])
    await asyncio.sleep(1.0)
    owner_endpoint.on(*submit_handler)
    await work
    assert not fleet.services[OWNERS[1]]._owned.waits_by_service()


async def test_short_silence_leaves_one_owner(fleet) -> None:
    """Guards against two queues for one service after a short partition."""
    fleet.network.isolate(OWNERS[0])
    await fleet.compute(OWNERS[2])
    fleet.network.heal()
    await asyncio.sleep(SILENT_OWNER_S)
    for host in OWNERS:
        await fleet.compute(host)
    assert fleet.current_owners() == [OWNERS[1]]
    fleet.present.discard(OWNERS[1])
    await fleet.compute(OWNERS[2])
    assert SERVICE in fleet.services[OWNERS[0]].waits_by_service()


async def test_restarted_owner_gets_the_pieces_again(fleet) -> None:
    """Fault: the owner restarts before its loss is detected."""
    work = fleet.compute(OWNERS[2])
    await asyncio.sleep(0.1)
    fleet.network.endpoints_by_name[OWNERS[0]].close()
    await fleet.services[OWNERS[0]].stop()
    await fleet.start(OWNERS[0])
    async with asyncio.timeout(RECOVERY_LIMIT_S):
        assert len(await work) == 3


async def test_owner_without_configuration_is_skipped(fleet) -> None:
    """Fault: the owner has restarted and has no configuration yet."""
    fleet.network.endpoints_by_name[OWNERS[0]].close()
    await fleet.start(OWNERS[0], knows_service=False)
    async with asyncio.timeout(RECOVERY_LIMIT_S):
        assert len(await fleet.compute(OWNERS[2])) == 3


async def test_owner_that_vanishes_from_the_directory(fleet) -> None:
    """Fault: the owner is no longer among the present hosts."""
    fleet.present.discard(OWNERS[0])
    assert len(await fleet.compute(OWNERS[2])) == 3


async def test_call_without_a_permit_is_made_later(fleet) -> None:
    """Load: rate-limited targets grant no permit for some time."""
    fleet.targets.is_limited = True
    work = fleet.compute(OWNERS[2])
    await asyncio.sleep(2)
    fleet.targets.is_limited = False
    assert len(await work) == 3


async def test_lost_call_is_repeated_at_another_target(fleet) -> None:
    """Fault: a target resets its connections."""
    fleet.targets.losing_targets = {'t0'}
    handles = await fleet.compute(OWNERS[2])
    assert all(handle.startswith('t1/') for handle in handles)


async def test_pieces_fail_when_no_target_answers(fleet) -> None:
    """Fault: all targets lose their calls; the caller gets an error."""
    fleet.targets.losing_targets = {'t0', 't1'}
    with pytest.raises(PiecesFailedError):
        async with asyncio.timeout(8.5):
            await fleet.compute(OWNERS[2])


async def test_cancelled_request_leaves_the_queue(fleet) -> None:
    """No call is made for a caller that has left."""
    fleet.targets.targets = []
    work = fleet.compute(OWNERS[2])
    await asyncio.sleep(0.2)
    work.cancel()
    await asyncio.sleep(0.2)
    fleet.targets.targets = [FakeTarget('t0')]
    await asyncio.sleep(1)
    assert not fleet.targets.calls


async def test_inputs_are_kept_until_a_call_is_sent(fleet) -> None:
    """Fault: no connection is established, so the pieces are retried."""
    fleet.targets.unreachable_targets = {'t0', 't1'}
    fetched: list[float] = []
    now = asyncio.get_running_loop().time
    work = fleet.compute(
        OWNERS[2],
        on_fetched=lambda: fetched.append(now()),
        held_share=LARGE_SHARE,
    )
    await asyncio.sleep(CALL_S * 0.9)
    assert not fetched
    fleet.targets.unreachable_targets = set()
    await work
    assert len(fetched) == 1


async def test_inputs_are_kept_while_a_slow_target_works(fleet) -> None:
    """Load: a target at a third of its speed, whose calls may time out."""
    fleet.targets.targets = [FakeTarget('t0')]
    fleet.targets.slowness = 3
    for _ in range(3):
        await fleet.compute(OWNERS[2])
    fetched: list[float] = []
    work = fleet.compute(
        OWNERS[2],
        on_fetched=lambda: fetched.append(0),
        held_share=LARGE_SHARE,
    )
    await asyncio.sleep(CALL_S * 2)
    assert not fetched
    await work


def compute_and_free_inputs(
    fleet: FakeFleet,
    held_share: float,
) -> asyncio.Future[list[str]]:
    """Submit pieces whose inputs are freed once they count as fetched."""

    def free_inputs() -> None:
        fleet.targets.has_inputs = False

    return fleet.compute(OWNERS[2], 3, free_inputs, held_share)


# Guards against freeing all inputs of a stage too early: when a target then
# did not compute one piece of eight, the request ran all its stages again.
@pytest.mark.parametrize('reason', ['room', 'error'])
async def test_piece_that_failed_finds_its_inputs(fleet, reason) -> None:
    """Fault: a target lacks space for a piece or fails to compute it."""
    fleet.targets.failures_by_number = {1: reason}
    work = compute_and_free_inputs(fleet, held_share=0)
    assert len(await work) == 3
    assert [len(called) for _, called in fleet.targets.calls] == [3, 1]


# Guards against freeing the inputs before the owner is lost during a call: its
# successor cannot compute the pieces without them.
async def test_next_owner_finds_the_inputs(fleet) -> None:
    """Fault: the owner is killed after a target has fetched the inputs."""
    work = compute_and_free_inputs(fleet, held_share=0)
    await asyncio.sleep(CALL_S / 2)
    fleet.network.endpoints_by_name[OWNERS[0]].close()
    assert len(await work) == 3


async def test_large_inputs_are_freed_during_the_call(fleet) -> None:
    """Load: results of a stage that use much space at their targets."""
    work = compute_and_free_inputs(fleet, held_share=LARGE_SHARE)
    await asyncio.sleep(CALL_S / 2)
    assert not fleet.targets.has_inputs
    await work


async def test_released_results_are_freed(fleet) -> None:
    """The owner frees released results at their targets."""
    handles = await fleet.compute(OWNERS[2])
    fleet.services[OWNERS[2]].release(SERVICE, handles)
    await asyncio.sleep(1)
    assert sorted(fleet.targets.freed) == sorted(handles)


async def test_results_of_a_failed_stage_are_freed(fleet) -> None:
    """Guards against leaked results when a caller leaves mid-stage."""
    fleet.targets.targets = [FakeTarget('t0')]
    work = fleet.compute(OWNERS[2], count=12)
    await asyncio.sleep(CALL_S * 1.5)
    work.cancel()
    await asyncio.sleep(2)
    computed = sum(len(called) for _, called in fleet.targets.calls)
    assert len(fleet.targets.freed) == computed


async def test_leaving_owner_hands_over_and_finishes(fleet) -> None:
    """Shutdown: queued pieces are computed; new ones use another owner."""
    owner = fleet.services[OWNERS[0]]
    work = fleet.compute(OWNERS[2])
    await asyncio.sleep(0.1)
    assert owner.stages_in_progress_for_others == 1
    owner.ownership.is_leaving = True
    fleet.present.discard(OWNERS[0])
    assert len(await work) == 3
    assert owner.stages_in_progress_for_others == 0
    assert len(await fleet.compute(OWNERS[0])) == 3
    assert OWNERS[1] in fleet.network.endpoints_by_name
    assert fleet.services[OWNERS[1]].waits_by_service() == {SERVICE: {}}


# Guards against moving a service back to a host that returns after a kill or
# a shutdown. The service then moves twice, and for seconds two owners fill the
# same targets, which refuse pieces for lack of space.
async def test_returning_host_leaves_a_service_with_its_owner(fleet) -> None:
    """Fault: the first host in the order is absent and then returns."""
    fleet.present.discard(OWNERS[0])
    await fleet.compute(OWNERS[2])
    assert fleet.current_owners() == [OWNERS[1]]
    fleet.present.add(OWNERS[0])
    for host in OWNERS:
        await fleet.compute(host)
    assert fleet.current_owners() == [OWNERS[1]]


async def test_two_owners_become_one(fleet) -> None:
    """Fault: two partitioned hosts have each become the owner."""
    fleet.present.discard(OWNERS[0])
    await fleet.compute(OWNERS[2])
    fleet.present ^= {OWNERS[0], OWNERS[1]}
    await fleet.compute(OWNERS[2])
    fleet.present.add(OWNERS[1])
    assert fleet.current_owners() == OWNERS[:2]
    for host in [*OWNERS, *OWNERS]:
        await fleet.compute(host)
        await asyncio.sleep(Profile().result_ttl_s / 4)
    assert fleet.current_owners() == OWNERS[:1]


async def test_idle_service_has_no_owner(fleet) -> None:
    """Load: a service without work, all of whose results have expired."""
    await fleet.compute(OWNERS[2])
    assert fleet.current_owners() == OWNERS[:1]
    await asyncio.sleep(Profile().result_ttl_s)
    assert not fleet.current_owners()


async def test_pieces_are_dropped_while_all_targets_are_paused(fleet) -> None:
    """Load: all targets are paused for longer than the request lasts."""
    await fleet.start(OWNERS[0])
    fleet.targets.targets.clear()
    fleet.targets.pause_s = 9.0
    began = asyncio.get_running_loop().time()
    with pytest.raises(PiecesFailedError):
        await fleet.compute(OWNERS[0])
    assert asyncio.get_running_loop().time() - began < 1
    assert not fleet.targets.calls
