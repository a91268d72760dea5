"""Simulation of the stages with three routes, in virtual time."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from types import SimpleNamespace
from typing import Any, Final, NamedTuple

from hornbeamline.batching import (
    BatchingService,
    CallRefusedError,
    EntryHost,
    Piece,
    PieceResult,
    PiecesFailedError,
    TargetAccess,
)
from hornbeamline.gateway import (
    BatchLimits,
    CallerRequest,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Stage,
    StageLoad,
    StageRunner,
    Target,
    VersionBinding,
    rate_of,
    wait_by_service,
)
from hornbeamline.gateway._admission import (
    AdmissionDecision,
    check_admission,
    retry_after_s,
)
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._stages import StageResults
from hornbeamline.helpers.budget import BudgetSettings, RetryBudget
from tests.gateway.builders import (
    make_request,
    make_route,
    make_target,
    open_guard,
)
from tests.local_network import LocalNetwork
from tests.replog.group import LoopClock

HOSTS: Final = tuple(f'host-{number}' for number in range(4))
# Interval in which hosts exchange their queue lengths.
LOAD_REPORT_INTERVAL_S: Final = 0.4
# Time after which an engine has fetched the inputs, and after which it sends
# the first event.
ENGINE_FETCH_S: Final = 0.1
ENGINE_START_S: Final = 0.2
# Queue length of a target, and the range of actual result sizes relative to the
# expected one.
MAX_WAITING_CALLS: Final = 2
SIZE_FACTOR_RANGE: Final = (0.85, 1.15)
# Share of the route's timeout that callers wait; they retry once.
MAX_WAIT_SHARE_RANGE: Final = (0.85, 1.0)
MAX_ATTEMPTS: Final = 2

FIRST: Final = 'first'
SECOND: Final = 'second'
THIRD: Final = 'third'

IN_TIME: Final = 'in time'
LATE: Final = 'late'
REFUSED: Final = 'refused'
GIVEN_UP: Final = 'given up'


class RequestKind(NamedTuple):
    """Properties of the requests of one route."""

    route: Route
    pieces: Callable[[random.Random], tuple[int, ...]]
    # Work of a piece of each stage, relative to the usual work.
    work: tuple[float, ...]


class Burst(NamedTuple):
    """A higher rate of one kind of requests, or of all if `kind` is empty."""

    at: float
    duration_s: float
    rate_factor: float
    kind: str = ''


class StageTargets:
    """Targets of a service with one call at a time and limited result space."""

    def __init__(
        self,
        limits: BatchLimits,
        count: int,
        service: str,
        simulation: StageSimulation,
    ) -> None:
        self.limits = limits
        self.targets = [
            make_target(
                f'{service}-{number}',
                service=service,
                address=f'{service}-{number}:1',
                data_centre=f'dc-{number}',
                slots=1,
            )
            for number in range(count)
        ]
        self.calls: list[int] = []
        self._simulation = simulation
        self._call_slots = {
            target.id: asyncio.Semaphore(1) for target in self.targets
        }
        self._waiting: Counter[str] = Counter()

    async def call(
        self,
        target: Target,
        pieces: Sequence[Piece],
        left_s: Sequence[float],
    ) -> list[PieceResult]:
        """Wait for the target; compute the pieces with inputs and space."""
        if self._waiting[target.id] > MAX_WAITING_CALLS:
            raise CallRefusedError('full', exempt_from_budget=False)
        self._waiting[target.id] += 1
        queued_at = self._simulation.now
        async with self._call_slots[target.id]:
            self._waiting[target.id] -= 1
            waited_s = self._simulation.now - queued_at
            results = [
                self._reserve_result(target, piece, piece_left_s - waited_s)
                for piece, piece_left_s in zip(pieces, left_s, strict=True)
            ]
            work = sum(
                self._simulation.work_of(piece)
                for piece, result in zip(pieces, results, strict=True)
                if result.handle
            )
            self.calls.append(len(pieces))
            await asyncio.sleep(
                self.limits.call_s + work * self.limits.piece_s,
            )
        return results

    def _reserve_result(
        self,
        target: Target,
        piece: Piece,
        left_s: float,
    ) -> PieceResult:
        held = self._simulation.held
        if left_s <= 0:
            return PieceResult(failure='late')
        if any(handle not in held for handle in piece.inputs):
            return PieceResult(failure='gone')
        size = self._simulation.size_of(piece)
        used = sum(
            held_size
            for handle, held_size in held.items()
            if handle.startswith(f'{target.address}/')
        )
        if used + size > self.limits.results_mb * 1_000_000:
            return PieceResult(failure='room')
        handle = f'{target.address}/{next(self._simulation.numbers)}'
        held[handle] = size
        asyncio.get_running_loop().call_later(
            self.limits.result_ttl_s,
            held.pop,
            handle,
            None,
        )
        return PieceResult(handle)


class StageSimulation:
    """Simulate hosts, stage targets and callers; count the outcomes."""

    def __init__(
        self,
        kinds: Mapping[str, RequestKind],
        limits: Mapping[str, BatchLimits],
        targets: Mapping[str, int],
        seed: int,
    ) -> None:
        """Create a simulation; `targets` is the target count by service."""
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.numbers = iter(range(1_000_000_000))
        # Sizes in bytes of the results that the targets hold, by handle.
        self.held: dict[str, float] = {}
        self.outcomes: dict[str, Counter[str]] = {
            name: Counter() for name in kinds
        }
        # Admitted requests, and the times of their first events.
        self.admitted: list[tuple[CallerRequest, AdmissionDecision]] = []
        self.begun_at_by_request: dict[str, float] = {}
        self._kind_by_request: dict[str, RequestKind] = {}
        self._clock = LoopClock()
        self.services = {
            name: StageTargets(found, targets[name], name, self)
            for name, found in limits.items()
        }
        self.table = RoutingTable(
            1,
            {},
            {
                name: Service(name, '/', 50, found, None)
                for name, found in limits.items()
            },
            None,
        )
        self._network = LocalNetwork(random.Random(seed))
        self._batching: dict[str, BatchingService] = {}
        self._runners: dict[str, StageRunner] = {}
        self._reported_loads: dict[str, StageLoad] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.monotonic()

    def work_of(self, piece: Piece) -> float:
        """Return the work of a piece relative to the usual work."""
        return self._kind_by_request[piece.request_id].work[piece.stage]

    def size_of(self, piece: Piece) -> float:
        """Return the actual size of a result in bytes."""
        route = self._kind_by_request[piece.request_id].route
        size = route.stages[piece.stage].result_bytes
        return size * self.rng.uniform(*SIZE_FACTOR_RANGE)

    async def run(
        self,
        rate_by_kind: Mapping[str, float],
        duration_s: float,
        bursts: Sequence[Burst] = (),
    ) -> None:
        """Send requests for `duration_s`, then wait for the last responses."""
        for name in HOSTS:
            await self._start_host(name)
        reporting = asyncio.ensure_future(self._report_loads())
        sending = [
            asyncio.ensure_future(self._send(name, rate, duration_s, bursts))
            for name, rate in rate_by_kind.items()
        ]
        await asyncio.gather(*sending)
        await asyncio.gather(*self._tasks)
        reporting.cancel()
        for batching in self._batching.values():
            await batching.stop()

    def share(self, kind: str, outcome: str) -> float:
        """Return the share of the requests of a kind with an outcome."""
        counts = self.outcomes[kind]
        return counts[outcome] / max(sum(counts.values()), 1)

    async def _start_host(self, name: str) -> None:
        budget = RetryBudget(BudgetSettings(0.2, 10, 64), self._clock)
        budget.note_hosts(1)
        others = {other: EntryHost('x') for other in HOSTS if other != name}
        batching = BatchingService(
            self._network.endpoint(name),
            self._clock,
            lambda: others,
            TargetAccess(
                lambda service: self.services[service].targets,
                self._call,
                self._release,
            ),
            budget,
        )
        batching.update(
            {name: found.limits for name, found in self.services.items()},
        )
        await batching.start()
        self._batching[name] = batching
        placement: Any = SimpleNamespace(preferred_data_centre=lambda *_: '')
        self._runners[name] = StageRunner(
            batching,
            lambda rank: self._waits(name, rank),
            placement,
            self._clock,
        )

    async def _call(
        self,
        target: Any,
        pieces: Sequence[Piece],
        left_s: Sequence[float],
        on_sent: Callable[[], None],
    ) -> list[PieceResult]:
        await asyncio.sleep(0.002)
        on_sent()
        return await self.services[target.service].call(target, pieces, left_s)

    async def _release(self, _address: str, handles: Sequence[str]) -> None:
        await asyncio.sleep(0.002)
        for handle in handles:
            self.held.pop(handle, None)

    async def _report_loads(self) -> None:
        while True:
            for name in HOSTS:
                self._reported_loads[name] = self._load_of(name)
            await asyncio.sleep(LOAD_REPORT_INTERVAL_S)

    def _load_of(self, name: str) -> StageLoad:
        return StageLoad(
            self._batching[name].waits_by_service(),
            self._runners[name].upcoming.by_service(),
            self._batching[name].rate_by_service(),
        )

    def _waits(self, name: str, rank: int) -> dict[str, float]:
        loads = [
            self._load_of(name),
            *(
                load
                for other, load in self._reported_loads.items()
                if other != name
            ),
        ]
        return wait_by_service(loads, rank, self._rate)

    def _rate(self, service: str) -> float:
        found = self.services[service]
        return rate_of(found.limits, len(found.targets))

    async def _send(
        self,
        kind: str,
        rate: float,
        duration_s: float,
        bursts: Sequence[Burst],
    ) -> None:
        started = self.now
        while self.now - started < duration_s:
            elapsed_s = self.now - started
            rate_factor = 1.0
            for burst in bursts:
                is_active = burst.at <= elapsed_s < burst.at + burst.duration_s
                if is_active and burst.kind in {'', kind}:
                    rate_factor *= burst.rate_factor
            await asyncio.sleep(self.rng.expovariate(rate * rate_factor))
            self._tasks.add(asyncio.ensure_future(self._serve(kind)))

    async def _serve(self, name: str) -> None:
        kind = self.kinds[name]
        route = kind.route
        pieces = kind.pieces(self.rng)
        sent_at = self.now
        max_wait_s = route.timeout_s * self.rng.uniform(*MAX_WAIT_SHARE_RANGE)
        outcome = REFUSED
        for attempt in range(MAX_ATTEMPTS):
            runner = self._runners[self.rng.choice(HOSTS)]
            request = make_request(
                id=f'r{next(self.numbers)}',
                received_at=self.now,
                caller_timeout_s=sent_at + max_wait_s - self.now,
                pieces_by_stage=pieces,
            )
            self._kind_by_request[request.id] = kind
            outcome, excess_s = await self._outcome(runner, route, request)
            if outcome not in {REFUSED, GIVEN_UP}:
                break
            if attempt + 1 < MAX_ATTEMPTS:
                left_s = sent_at + max_wait_s - self.now
                retry_s = retry_after_s(
                    route,
                    runner.wait_s_by_service(route.rank),
                    self.rng,
                    excess_s,
                )
                await asyncio.sleep(min(retry_s, left_s / 3))
        if outcome == IN_TIME and self.now - sent_at > route.aim_s:
            outcome = LATE
        self.outcomes[name][outcome] += 1

    async def _outcome(
        self,
        runner: StageRunner,
        route: Route,
        request: CallerRequest,
    ) -> tuple[str, float]:
        decision = check_admission(
            request,
            route,
            self.table,
            runner.wait_s_by_service(route.rank),
            self.now,
        )
        if not decision.is_admitted:
            return REFUSED, decision.excess_s
        self.admitted.append((request, decision))
        job = _job_of(route, request)
        try:
            results = await runner.run(job, self.table)
        except PiecesFailedError:
            return GIVEN_UP, math.inf
        answer = await self._answer(runner, results, route, request)
        return answer, math.inf

    async def _answer(
        self,
        runner: StageRunner,
        results: StageResults,
        route: Route,
        request: CallerRequest,
    ) -> str:
        await asyncio.sleep(ENGINE_FETCH_S)
        inputs = results.final_handles(route).values()
        gone = any(
            handle not in self.held for handles in inputs for handle in handles
        )
        runner.release_all(results, route)
        if gone:
            return GIVEN_UP
        await asyncio.sleep(ENGINE_START_S - ENGINE_FETCH_S)
        self.begun_at_by_request[request.id] = self.now
        is_late = self.now - request.received_at > route.aim_s
        return LATE if is_late else IN_TIME


def _job_of(route: Route, request: CallerRequest) -> Job:
    return Job(
        request,
        b'',
        route,
        'service',
        None,
        route.rank,
        request.received_at + route.timeout_s,
        [],
        {},
        lambda: None,
        open_guard(),
        VersionBinding(),
    )


def sample_kinds() -> dict[str, RequestKind]:
    """Return a long, a usual and a short kind of request, in rank order."""
    chain = (
        Stage(FIRST, (), 8000),
        Stage(SECOND, (0,), 60_000),
        Stage(THIRD, (1,), 6000),
    )
    long_chain = (
        Stage(FIRST, (), 800_000),
        Stage(FIRST, (), 8000),
        Stage(SECOND, (1,), 60_000),
        Stage(THIRD, (2,), 6000),
    )

    def third_stage_pieces(rng: random.Random) -> int:
        return max(1, min(15, round(rng.lognormvariate(1.71, 0.4))))

    def optional_pieces(
        rng: random.Random, share: float, mean: float, maximum: int
    ) -> int:
        if rng.random() >= share:
            return 0
        return max(1, min(maximum, round(rng.gauss(mean, mean * 0.5))))

    return {
        'long': RequestKind(
            _stream('long', 0, 2.7, 20, long_chain),
            lambda rng: (
                optional_pieces(rng, 0.4, 1.5, 6),
                1,
                8,
                third_stage_pieces(rng),
            ),
            (1, 0.3, 1, 1),
        ),
        'usual': RequestKind(
            _stream('usual', 1, 2.7, 15, chain),
            lambda rng: (1, 8, third_stage_pieces(rng)),
            (0.3, 1, 1),
        ),
        'short': RequestKind(
            _stream('short', 2, 2.8, 4, (Stage(FIRST, (), 800_000),)),
            lambda rng: (optional_pieces(rng, 0.7, 2.5, 10),),
            (1,),
        ),
    }


def _stream(
    name: str,
    rank: int,
    aim_s: float,
    timeout_s: float,
    stages: tuple[Stage, ...],
) -> Route:
    return make_route(
        name=name,
        kind=RouteKind.STREAM,
        rank=rank,
        aim_s=aim_s,
        timeout_s=timeout_s,
        first_event_timeout_s=min(4 * aim_s, timeout_s),
        stages=stages,
    )


def sample_limits() -> dict[str, BatchLimits]:
    """Return the limits of three services; the second has least capacity."""
    return {
        FIRST: BatchLimits(1, 2, 4, 0.24, 0.052, 4.8, 4.0),
        SECOND: BatchLimits(1, 2, 18, 0.24, 0.0115, 1.96, 4.0),
        THIRD: BatchLimits(1, 2, 13, 0.24, 0.016, 0.146, 4.0),
    }
