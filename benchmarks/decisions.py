"""Compare routing and admission policies in a virtual-time simulation.

Drives 12 real `DecisionEngine` instances against simulated targets. One
run gives all figures of docs/measurements-decisions.md:

    python -m benchmarks.decisions --seeds 3 --json results.json
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import math
import random
import statistics
import time
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from hornbeamline.decisions import (
    CallReport,
    CallResult,
    DecisionEngine,
    DecisionSettings,
    Dispatch,
    LoadReport,
    Refusal,
    RequestInfo,
    StageCall,
)
from hornbeamline.helpers.clock import ManualClock
from hornbeamline.inventory import (
    Account,
    AdmissionRules,
    DataCentre,
    Fleet,
    FleetInfo,
    HedgeRules,
    Host,
    LimitRules,
    Pipeline,
    RoutingRules,
    Rules,
    ServiceEntry,
    ServiceKind,
    Stage,
    Target,
)

DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c', 'dc-d')
HOST_COUNT = 12
WARM_UP_S = 5.0
MEASURED_S = 30.0
DEADLINE_S = 4.0
REPORT_INTERVAL_S = 0.5
CACHE_EVENT_DELAY_S = 1.0
CACHE_EVENT_LOSS_RATE = 0.2
PREFIX_CACHE_SIZE = 12
# Fraction of the generation time that a cached prefix saves.
PREFIX_SAVED_FRACTION = 0.4
CANCEL_DELAY_S = 0.002
SERVICE_TIME_SIGMA = 0.5
CYCLES = 20_000
FILING_FRACTION = 0.1
SHARE_BY_ACCOUNT = {'ash': 1, 'beech': 1, 'cedar': 1, 'elm': 2, 'fir': 3}


class ServiceProfile(NamedTuple):
    """Size and behaviour of the simulated targets of one service."""

    kind: ServiceKind
    targets: int
    concurrency: int
    mean_s: float
    idempotent: bool = True


SERVICES = {
    'register': ServiceProfile(ServiceKind.retrieval, 4, 4, 0.04),
    'ranker': ServiceProfile(ServiceKind.reranking, 4, 4, 0.06),
    'drafting': ServiceProfile(ServiceKind.generation, 6, 8, 0.3),
    'desk': ServiceProfile(ServiceKind.plain, 4, 4, 0.1, idempotent=False),
}
PIPELINES = {
    'draft': ('register', 'ranker', 'drafting'),
    'file': ('register', 'desk'),
}
# Request rate at which all slots of the generation targets are busy.
CAPACITY_PER_S = 6 * 8 / 0.3 / (1 - FILING_FRACTION)


class Scenario(NamedTuple):
    """Load and faults of one run.

    The load is a fraction of `CAPACITY_PER_S`.
    """

    load: float
    burst_factor: float = 1.0
    # Faults by target; they begin after the warm-up.
    modes: dict[str, str] = {}
    slowdown: dict[str, float] = {}
    isolated_dc: str = ''
    report_delay_s: float = 2.0
    flood_factor: float = 1.0
    prefixes: int = 0
    # Queue length, per slot, beyond which a target refuses calls.
    queue_per_slot: int = 8


SCENARIOS = {
    'steady_70': Scenario(0.7),
    'steady_95': Scenario(0.95),
    'steady_100': Scenario(1.0),
    'overload_2x': Scenario(2.0),
    'overload_2x_deep_queues': Scenario(2.0, queue_per_slot=10_000),
    'burst_3x_2s': Scenario(0.7, burst_factor=3.0),
    'straggler_10x': Scenario(0.7, slowdown={'drafting-1': 10.0}),
    'one_dead': Scenario(0.7, modes={'drafting-1': 'dead'}),
    'one_silent': Scenario(0.7, modes={'drafting-1': 'silent'}),
    'half_fail': Scenario(
        0.4,
        modes={f'ranker-{index}': 'failing' for index in (1, 2)},
    ),
    'data_centre_cut': Scenario(0.5, isolated_dc='dc-a'),
    'reports_fresh': Scenario(0.9, report_delay_s=0.05),
    'reports_2s_late': Scenario(0.9),
    'flood_10x': Scenario(0.5, flood_factor=10.0),
    'prefix_heavy': Scenario(0.95, prefixes=60),
}
VARIANTS = ('two_choices', 'round_robin', 'random', 'least_in_flight', 'plain')


def rules_of(variant: str) -> Rules:
    """Return the routing and admission rules of a variant."""
    if variant != 'plain':
        return Rules(routing=RoutingRules(algorithm=variant))
    return Rules(
        routing=RoutingRules(algorithm='round_robin', ejection=False),
        admission=AdmissionRules(by_prediction=False, queue_length=100_000),
        limits=LimitRules(adaptive=False),
        hedge=HedgeRules(enabled=False),
    )


def fleet_of(rules: Rules) -> Fleet:
    """Return the fleet of all runs, with the given rules."""
    targets = {}
    for service, profile in SERVICES.items():
        for index in range(profile.targets):
            targets[f'{service}-{index + 1}'] = Target(
                service=service,
                data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
                address=f'10.0.0.1:{1000 + len(targets)}',
                concurrency=profile.concurrency,
            )
    return Fleet(
        fleet=FleetInfo(name='bench'),
        data_centres_by_name={
            name: DataCentre(region='r') for name in DATA_CENTRES
        },
        hosts_by_name={
            f'entry-{index}': Host(data_centre=DATA_CENTRES[index % 4])
            for index in range(HOST_COUNT)
        },
        services_by_name={
            name: ServiceEntry(
                kind=profile.kind,
                idempotent=profile.idempotent,
                expected_ms=profile.mean_s * 1000,
                expected_p95_ms=profile.mean_s * 2500,
            )
            for name, profile in SERVICES.items()
        },
        targets_by_name=targets,
        accounts_by_name={
            name: Account(credential_sha256='0' * 64, share=share)
            for name, share in SHARE_BY_ACCOUNT.items()
        },
        pipelines_by_name={
            name: Pipeline(
                stages=[Stage(name=each, service=each) for each in services],
                deadline_ms=int(DEADLINE_S * 1000),
            )
            for name, services in PIPELINES.items()
        },
        rules=rules,
    )


class VirtualTimeLoop:
    """Event loop that runs callbacks in virtual time."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._serial = itertools.count()

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *args: Any
    ):
        at = self.clock.now_s + delay_s
        heapq.heappush(self._events, (at, next(self._serial), callback, args))

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            at, _, callback, args = heapq.heappop(self._events)
            self.clock.now_s = at
            callback(*args)


class Job:
    """One attempt of a request, queued or running at a target."""

    def __init__(self, request: SimulatedRequest, dispatch: Dispatch) -> None:
        self.request = request
        self.dispatch = dispatch
        self.sent_at = request.simulation.loop.clock.now_s
        self.started_at = math.inf
        self.work_s = 0.0
        self.is_over = False


class FakeTarget:
    """Target with limited concurrency and log-normal service times."""

    def __init__(self, name: str, service: str, simulation: Simulation) -> None:
        self.name = name
        self.service = service
        self.simulation = simulation
        self.profile = SERVICES[service]
        self.data_centre = simulation.fleet.targets_by_name[name].data_centre
        self.mode = ''
        self.slowdown = 1.0
        self.running: set[Job] = set()
        self.waiting: deque[Job] = deque()
        self.cache: OrderedDict[str, None] = OrderedDict()

    def receive(self, job: Job) -> None:
        if self.mode == 'dead':
            job.request.job_ended(job, CallResult.unreachable)
        elif self.mode == 'failing':
            job.request.job_ended(job, CallResult.failed)
        elif self.mode == 'silent' or self._is_partitioned(job.request.host_dc):
            return
        elif len(self.running) < self.profile.concurrency:
            self._start(job)
        elif len(self.waiting) < (
            self.simulation.scenario.queue_per_slot * self.profile.concurrency
        ):
            self.waiting.append(job)
        else:
            job.request.job_ended(job, CallResult.refused)

    def drop(self, job: Job) -> None:
        if job in self.running:
            self._stop(job)
        elif job in self.waiting:
            self.waiting.remove(job)

    def report(self) -> None:
        load = (len(self.running), len(self.waiting))
        self.simulation.loop.call_later(
            self.simulation.scenario.report_delay_s, self._deliver, load
        )
        self.simulation.loop.call_later(REPORT_INTERVAL_S, self.report)

    def _deliver(self, load: tuple[int, int]) -> None:
        if self.mode in ('dead', 'silent'):
            return
        load_report = LoadReport(*load, self.simulation.scenario.report_delay_s)
        for index, engine in enumerate(self.simulation.engines):
            if not self._is_partitioned(DATA_CENTRES[index % 4]):
                engine.load_reported(self.name, load_report)

    def _is_partitioned(self, host_dc: str) -> bool:
        isolated_dc = self.simulation.isolated_dc
        return bool(isolated_dc) and (host_dc == isolated_dc) != (
            self.data_centre == isolated_dc
        )

    def _start(self, job: Job) -> None:
        rng = self.simulation.rng
        mu = math.log(self.profile.mean_s) - SERVICE_TIME_SIGMA**2 / 2
        duration_s = rng.lognormvariate(mu, SERVICE_TIME_SIGMA) * self.slowdown
        prefix = job.dispatch.call.prefix
        if prefix:
            if prefix in self.cache:
                duration_s *= 1 - PREFIX_SAVED_FRACTION
            else:
                self._publish_cache_event(prefix, held=True)
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
            if len(self.cache) > PREFIX_CACHE_SIZE:
                self._publish_cache_event(
                    self.cache.popitem(last=False)[0], held=False
                )
        job.started_at = self.simulation.loop.clock.now_s
        self.running.add(job)
        self.simulation.loop.call_later(duration_s, self._finish, job)

    def _publish_cache_event(self, prefix: str, *, held: bool) -> None:
        for engine in self.simulation.engines:
            if self.simulation.rng.random() >= CACHE_EVENT_LOSS_RATE:
                self.simulation.loop.call_later(
                    CACHE_EVENT_DELAY_S,
                    lambda engine=engine: engine.prefix_cached(
                        self.name, prefix, held=held
                    ),
                )

    def _finish(self, job: Job) -> None:
        if job in self.running:
            self._stop(job)
            job.request.job_ended(job, CallResult.succeeded)

    def _stop(self, job: Job) -> None:
        self.running.remove(job)
        job.work_s = self.simulation.loop.clock.now_s - job.started_at
        self.simulation.count_work(job, self.service)
        while self.waiting and len(self.running) < self.profile.concurrency:
            self._start(self.waiting.popleft())


class SimulatedRequest:
    """Request that is driven in the way of the pipeline executor."""

    def __init__(
        self, simulation: Simulation, host: int, info: RequestInfo
    ) -> None:
        self.simulation = simulation
        self.engine = simulation.engines[host]
        self.host_dc = DATA_CENTRES[host % 4]
        self.info = info
        self.started_at = simulation.loop.clock.now_s
        self.stage = 0
        self.jobs: list[Job] = []
        self.tried_targets: frozenset[str] = frozenset()
        self.call: StageCall | None = None
        self.outcome = ''
        self.useful_s: Counter[str] = Counter()
        self.work_s: Counter[str] = Counter()

    def start(self) -> None:
        refusal = self.engine.admit(self.info)
        if refusal is not None:
            self._end(refusal.reason)
            return
        remaining_s = self.info.deadline_at - self.simulation.loop.clock.now_s
        self.simulation.loop.call_later(remaining_s, self._expire)
        self._submit(1)

    def job_ended(self, job: Job, result: CallResult) -> None:
        if job.is_over:
            return
        self._report(job, result)
        if result is CallResult.succeeded:
            self._next_stage(job)
            return
        if self.jobs or self.outcome:
            return
        report = CallReport(
            result, self.simulation.loop.clock.now_s - job.sent_at
        )
        delay_or_refusal = self.engine.retry_delay_s(job.dispatch, report)
        if isinstance(delay_or_refusal, Refusal):
            self._end(delay_or_refusal.reason)
            return
        self.simulation.retries += 1
        attempt = job.dispatch.call.attempt + 1
        self.simulation.loop.call_later(delay_or_refusal, self._submit, attempt)

    def _submit(self, attempt: int) -> None:
        if self.outcome:
            return
        call = StageCall(
            self.info,
            self.stage,
            attempt,
            prefix=self._prefix(),
            excluded=self.tried_targets,
        )
        self.call = call
        self.engine.submit(call, self._decided)

    def _decided(self, decision: Dispatch | Refusal) -> None:
        if isinstance(decision, Refusal):
            is_refused_hedge = bool(self.jobs)
            if not is_refused_hedge and not self.outcome:
                self._end(decision.reason)
            return
        loop = self.simulation.loop
        job = Job(self, decision)
        self.jobs.append(job)
        self.tried_targets |= {decision.target}
        loop.call_later(
            0, self.simulation.targets[decision.target].receive, job
        )
        loop.call_later(decision.timeout_s, self._time_out, job)
        delay_s = self.engine.hedge_delay_s(decision)
        if delay_s is not None:
            loop.call_later(delay_s, self._hedge, job)

    def _hedge(self, job: Job) -> None:
        if job.is_over or self.outcome or len(self.jobs) > 1:
            return
        if self.engine.take_hedge(job.dispatch):
            self.simulation.hedges += 1
            call = job.dispatch.call._replace(
                is_hedge=True, excluded=self.tried_targets
            )
            self.engine.submit(call, self._decided)

    def _time_out(self, job: Job) -> None:
        if not job.is_over:
            self.simulation.targets[job.dispatch.target].drop(job)
            self.job_ended(job, CallResult.timed_out)

    def _next_stage(self, job: Job) -> None:
        service = PIPELINES[self.info.pipeline][self.stage]
        self.useful_s[service] += job.work_s
        for loser in list(self.jobs):
            self._cancel(loser)
        self.stage += 1
        self.tried_targets = frozenset()
        if self.stage == len(PIPELINES[self.info.pipeline]):
            self._end('answered')
        else:
            self._submit(1)

    def _cancel(self, job: Job) -> None:
        self._report(job, CallResult.cancelled)
        target = self.simulation.targets[job.dispatch.target]
        self.simulation.loop.call_later(CANCEL_DELAY_S, target.drop, job)

    def _report(self, job: Job, result: CallResult) -> None:
        job.is_over = True
        self.jobs.remove(job)
        duration_s = self.simulation.loop.clock.now_s - job.sent_at
        generates = job.dispatch.target.startswith('drafting')
        tokens = 64 if generates and result is CallResult.succeeded else 0
        self.engine.finished(
            job.dispatch, CallReport(result, duration_s, tokens)
        )

    def _expire(self) -> None:
        if not self.outcome:
            if not self.jobs and self.call is not None:
                self.engine.withdraw(self.call)
            self._end('late')
            for job in list(self.jobs):
                self._cancel(job)

    def _end(self, outcome: str) -> None:
        self.outcome = outcome
        self.engine.finish_request(self.info)
        self.simulation.request_ended(self)

    def _prefix(self) -> str:
        count = self.simulation.scenario.prefixes
        if not count or PIPELINES[self.info.pipeline][self.stage] != 'drafting':
            return ''
        # Popularity falls with rank, as with shared system prompts.
        rank = int(count ** random.Random(self.info.request_id).random())
        return f'prefix-{rank}'


class Simulation:
    """One run of a scenario with a variant and a seed."""

    def __init__(self, scenario: Scenario, variant: str, seed: int) -> None:
        self.scenario = scenario
        self.loop = VirtualTimeLoop()
        self.rng = random.Random(seed)
        # A separate generator gives all variants of a seed the same arrivals.
        self.arrivals = random.Random(seed + 1000)
        self.fleet = fleet_of(rules_of(variant))
        self.isolated_dc = ''
        self.retries = 0
        self.hedges = 0
        self.ended_requests: list[SimulatedRequest] = []
        self.work_s_by_service: Counter[str] = Counter()
        self.engines = []
        for index in range(HOST_COUNT):
            settings = DecisionSettings(
                f'entry-{index}', DATA_CENTRES[index % 4]
            )
            engine = DecisionEngine(
                settings, self.loop.clock, random.Random(seed * 100 + index)
            )
            engine.update_fleet(self.fleet)
            self.engines.append(engine)
        self.targets = {
            name: FakeTarget(name, target.service, self)
            for name, target in self.fleet.targets_by_name.items()
        }

    def run(self) -> dict[str, Any]:
        started_at = time.process_time()
        self.loop.call_later(0, self._tick)
        for target in self.targets.values():
            self.loop.call_later(self.rng.random() * 0.5, target.report)
        for account in SHARE_BY_ACCOUNT:
            self.loop.call_later(0, self._arrive, account)
        self.loop.call_later(WARM_UP_S, self._inject_faults)
        end_s = WARM_UP_S + MEASURED_S
        self.loop.run(end_s + DEADLINE_S)
        return {**self._figures(), 'cpu_s': time.process_time() - started_at}

    def count_work(self, job: Job, service: str) -> None:
        self.work_s_by_service[service] += job.work_s
        job.request.work_s[service] += job.work_s

    def request_ended(self, request: SimulatedRequest) -> None:
        if request.started_at >= WARM_UP_S:
            self.ended_requests.append(request)
            request.ended_at = self.loop.clock.now_s

    def _tick(self) -> None:
        for engine in self.engines:
            engine.tick()
        self.loop.call_later(0.05, self._tick)

    def _inject_faults(self) -> None:
        self.isolated_dc = self.scenario.isolated_dc
        for name, mode in self.scenario.modes.items():
            self.targets[name].mode = mode
        for name, slowdown in self.scenario.slowdown.items():
            self.targets[name].slowdown = slowdown

    def _arrive(self, account: str) -> None:
        now = self.loop.clock.now_s
        if now > WARM_UP_S + MEASURED_S:
            return
        rate = CAPACITY_PER_S * self.scenario.load
        rate *= SHARE_BY_ACCOUNT[account] / sum(SHARE_BY_ACCOUNT.values())
        if 15 <= now < 17:
            rate *= self.scenario.burst_factor
        if account == 'elm' and now >= WARM_UP_S:
            rate *= self.scenario.flood_factor
        self.loop.call_later(
            self.arrivals.expovariate(rate), self._arrive, account
        )
        is_filing = self.arrivals.random() < FILING_FRACTION
        info = RequestInfo(
            f'{account}-{self.arrivals.getrandbits(64):x}',
            account,
            'file' if is_filing else 'draft',
            now + DEADLINE_S,
        )
        SimulatedRequest(
            self, self.arrivals.randrange(HOST_COUNT), info
        ).start()

    def _figures(self) -> dict[str, Any]:
        answered = [
            request
            for request in self.ended_requests
            if request.outcome == 'answered'
        ]
        latencies_s = sorted(
            request.ended_at - request.started_at for request in answered
        )
        outcomes = Counter(request.outcome for request in self.ended_requests)
        offered_by_account = Counter(
            request.info.account for request in self.ended_requests
        )
        answered_by_account = Counter(
            request.info.account for request in answered
        )
        useful_s_by_service: Counter[str] = Counter()
        spent_s_by_service: Counter[str] = Counter()
        for request in self.ended_requests:
            spent_s_by_service += request.work_s
        for request in answered:
            useful_s_by_service += request.useful_s
        calls = sum(request.stage + 1 for request in self.ended_requests)
        return {
            'attainment': len(answered) / len(self.ended_requests),
            'goodput_per_s': len(answered) / MEASURED_S,
            'p50_s': _quantile(latencies_s, 0.5),
            'p99_s': _quantile(latencies_s, 0.99),
            'p999_s': _quantile(latencies_s, 0.999),
            'target_s': dict(spent_s_by_service),
            'wasted': {
                name: 1 - useful_s_by_service[name] / work
                for name, work in spent_s_by_service.items()
            },
            'outcomes': dict(outcomes),
            'attainment_by_account': {
                name: answered_by_account[name] / count
                for name, count in offered_by_account.items()
            },
            'retries': self.retries / calls,
            'hedges': self.hedges / calls,
        }


def _quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def run_one(job: tuple[str, str, int]) -> dict[str, Any]:
    """Run one scenario with a variant and a seed; return its figures."""
    scenario, variant, seed = job
    return Simulation(SCENARIOS[scenario], variant, seed).run()


def median_of(runs: list[Any]) -> Any:
    """Return the median of each figure; missing figures count as 0."""
    if not isinstance(runs[0], dict):
        return statistics.median(runs)
    names = dict.fromkeys(name for run in runs for name in run)
    return {
        name: median_of([run.get(name, 0) for run in runs]) for name in names
    }


def row_of(variant: str, figures: dict[str, Any]) -> str:
    """Format the figures of a variant as one line of the report."""
    spent_s = sum(figures['target_s'].values())
    wasted_s = sum(
        figures['target_s'][name] * fraction
        for name, fraction in figures['wasted'].items()
    )
    refusals = ', '.join(
        f'{name} {count:g}'
        for name, count in sorted(figures['outcomes'].items())
        if name != 'answered' and count
    )
    # `elm` is left out, since it is the account that floods in `flood_10x`.
    worst = min(
        fraction
        for name, fraction in figures['attainment_by_account'].items()
        if name != 'elm'
    )
    stages = ' '.join(
        f'{name}:{figures["target_s"][name]:.0f}s'
        f'/{figures["wasted"][name] * 100:.1f}%'
        for name in SERVICES
        if name in figures['target_s']
    )
    return (
        f'{variant:16} {figures["attainment"] * 100:7.2f} '
        f'{worst * 100:7.2f} {figures["goodput_per_s"]:7.1f} '
        f'{figures["p50_s"]:6.3f} {figures["p99_s"]:6.3f} '
        f'{figures["p999_s"]:6.3f} {wasted_s / spent_s * 100:6.2f} '
        f'{figures["hedges"] * 100:5.2f} {figures["retries"] * 100:5.2f}  '
        f'{stages}  {refusals}'
    )


HEADER = (
    f'{"variant":16} {"attain%":>7} {"worst%":>7} {"good/s":>7} {"p50":>6} '
    f'{"p99":>6} {"p99.9":>6} {"waste%":>6} {"hedg%":>5} {"retr%":>5}  '
    'target time/wasted by stage  refusals by reason'
)


def cycle_us(target_count: int, kind: ServiceKind) -> float:
    """Return the CPU time of one request of one stage, in microseconds.

    A cycle is `admit`, `submit`, `hedge_delay_s`, `finished` and
    `finish_request`, with half of all slots in use.
    """
    targets = {
        f'target-{index}': Target(
            service='only',
            data_centre=DATA_CENTRES[index % 4],
            address=f'10.0.0.1:{1000 + index}',
        )
        for index in range(target_count)
    }
    fleet = Fleet(
        fleet=FleetInfo(name='cycle'),
        services_by_name={'only': ServiceEntry(kind=kind)},
        targets_by_name=targets,
        pipelines_by_name={
            'one': Pipeline(stages=[Stage(name='only', service='only')])
        },
    )
    clock = ManualClock()
    settings = DecisionSettings('entry-0', DATA_CENTRES[0])
    engine = DecisionEngine(settings, clock, random.Random(1))
    engine.update_fleet(fleet)
    open_dispatches: deque[Any] = deque()
    report = CallReport(CallResult.succeeded, 0.05)
    in_use = target_count * 4
    started_at = time.process_time()
    for serial in range(CYCLES):
        clock.advance(0.05 / in_use)
        info = RequestInfo(f'r{serial}', 'ash', 'one', clock.now_s + DEADLINE_S)
        engine.admit(info)
        call = StageCall(info, 0, prefix=f'p{serial % 50}')
        engine.submit(call, open_dispatches.append)
        if len(open_dispatches) > in_use:
            dispatch = open_dispatches.popleft()
            engine.hedge_delay_s(dispatch)
            engine.finished(dispatch, report)
        engine.finish_request(info)
    return (time.process_time() - started_at) / CYCLES * 1e6


def print_cycles() -> None:
    """Print the CPU time of a cycle for fleets of several sizes."""
    for count in (4, 50, 300):
        for kind in (ServiceKind.retrieval, ServiceKind.generation):
            costs = [cycle_us(count, kind) for _ in range(3)]
            print(f'{count:4} targets {kind.value:10} {min(costs):6.1f} us')


def main() -> None:
    """Run the selected scenarios and variants and print the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--processes', type=int, default=6)
    parser.add_argument('--scenarios', nargs='*', default=list(SCENARIOS))
    parser.add_argument('--variants', nargs='*', default=list(VARIANTS))
    parser.add_argument('--json', type=Path)
    parser.add_argument('--cycle', action='store_true')
    arguments = parser.parse_args()
    if arguments.cycle:
        print_cycles()
        return
    pairs = list(itertools.product(arguments.scenarios, arguments.variants))
    jobs = [(*pair, seed) for pair in pairs for seed in range(arguments.seeds)]
    with ProcessPoolExecutor(arguments.processes) as pool:
        runs = list(pool.map(run_one, jobs))
    report: dict[str, dict[str, Any]] = {}
    for index, (scenario, variant) in enumerate(pairs):
        start = index * arguments.seeds
        figures = median_of(runs[start : start + arguments.seeds])
        report.setdefault(scenario, {})[variant] = figures
    for scenario, by_variant in report.items():
        print(f'\n{scenario}\n{HEADER}')
        for variant, figures in by_variant.items():
            print(row_of(variant, figures))
    if arguments.json is not None:
        encoded = msgspec.json.encode(report)
        arguments.json.write_text(json.dumps(json.loads(encoded), indent=1))


if __name__ == '__main__':
    main()
