"""Compare the choice by counts with the choice by expected cost.

Virtual hosts with real `TargetPicker` instances send the same arrivals to
simulated targets in virtual time. One run gives the figures of the section on
the choice by cost in docs/measurements-decisions.md:

    python -m benchmarks.choice --seeds 3
    python -m benchmarks.choice --cpu
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
import statistics
import time
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from hornbeamline.directory._loads import (
    ProcessLoad,
    subtract_load,
    sum_loads,
)
from hornbeamline.gateway import (
    CallerRequest,
    PromptPart,
    Target,
    TargetLoad,
    TargetPicker,
)
from hornbeamline.gateway._picker import PickCriteria
from hornbeamline.helpers.clock import ManualClock

WARM_UP_S = 6.0
MEASURED_S = 8.0
PUBLISH_S = 0.2
# The engines of a known deployment: prompt tokens read in a second, seconds of
# a decode step, what each further running request adds to it, tokens an event.
PREFILL_TOKENS_PER_S = 157_000
STEP_S = 0.00355
STEP_GROWTH = 0.02
EVENT_TOKENS = 10
CACHE_TOKENS = 120_000
PROMPT_TOKENS = (11_992, 826, 2_368)
PROMPTS_PER_ROUTE = 12
OWN_SHARE = 0.1
SPELL_S = 0.6
SPELL_SLOWNESS = 2.5
SPELL_SHARE = 0.15
ENGINE_AIM_S = 0.3
PLAIN_AIM_S = 0.2
PLAIN_S = 0.06


class Scenario(NamedTuple):
    """One comparison."""

    name: str
    kind: str
    targets: int
    slots: int
    # Requests per second of all hosts.
    rate: float
    hosts: int = 78
    view_age_s: tuple[float, float] = (0.5, 1.0)
    # What the fourth figure tells: the slowness relative to the usual one of
    # the target, or to that of the service.
    is_absolute: bool = False
    # Factor on the durations of the first target's reports.
    liar_slowness: float | None = None
    spell_s: float = SPELL_S
    # Sigma of the logarithm of plain durations.
    tail: float = 0.6
    warm_up_s: float = WARM_UP_S


SCENARIOS = [
    Scenario('engines quiet', 'engine', 45, 16, 60, warm_up_s=60),
    Scenario('engines half', 'engine', 45, 16, 350),
    Scenario('engines busy', 'engine', 45, 16, 550),
    Scenario('engines busy, absolute', 'engine', 45, 16, 550, is_absolute=True),
    Scenario('plain quiet', 'plain', 24, 6, 300),
    Scenario('plain half', 'plain', 24, 6, 900),
    Scenario('plain busy', 'plain', 24, 6, 1300),
    Scenario('plain, heavy tail', 'plain', 24, 6, 350, tail=1.4),
    Scenario('plain, spells 50 ms', 'plain', 24, 6, 900, spell_s=0.05),
    Scenario('plain, one lies', 'plain', 24, 6, 900, liar_slowness=0.1),
    Scenario('plain, 12 hosts, 0 s', 'plain', 24, 6, 900, 12, (0, 0)),
    Scenario('plain, 96 hosts, 2 s', 'plain', 24, 6, 900, 96, (1.5, 2)),
    Scenario('plain, 200 hosts, 2 s', 'plain', 24, 6, 900, 200, (1.5, 2)),
    Scenario('engines, 200 hosts, 2 s', 'engine', 45, 16, 350, 200, (1.5, 2)),
]


class Arrival(NamedTuple):
    """A request of the trace."""

    at: float
    host: int
    request: CallerRequest
    route: str
    # Actual output tokens, or seconds of work at a plain target.
    work: float


class Work:
    """A request at a target."""

    def __init__(self, arrival: Arrival, record: Any, fleet: Fleet) -> None:
        self.arrival = arrival
        self.record = record
        self.fleet = fleet
        self.tokens_left = arrival.work
        self.is_read = False


class SimTarget:
    """Speed and load of a simulated target."""

    def __init__(self, fleet: Fleet, target: Target, slowness: float) -> None:
        self.fleet = fleet
        self.target = target
        self.usual = slowness
        self.running: list[Work] = []
        self.waiting: deque[Work] = deque()
        self.cached: OrderedDict[str, int] = OrderedDict()
        self.is_busy = False
        self.spells = _spells(fleet.rng, fleet.scenario.spell_s)
        self.spell = next(self.spells)

    def spell_slowness(self) -> float:
        """Return the slowness of the moment."""
        now = self.fleet.clock.monotonic()
        while now >= self.spell[1]:
            self.spell = next(self.spells)
        return SPELL_SLOWNESS if now >= self.spell[0] else 1.0

    def slowness(self) -> float:
        """Return the complete slowness."""
        return self.usual * self.spell_slowness()

    def load(self) -> TargetLoad:
        """Return the reported load."""
        scenario = self.fleet.scenario
        told: float | None = self.spell_slowness()
        if scenario.is_absolute:
            told = self.slowness()
        if scenario.liar_slowness and self.target.id == 't0':
            told = scenario.liar_slowness
        if self.fleet.by_counts:
            told = None
        return TargetLoad(
            len(self.running),
            len(self.waiting),
            self.target.slots,
            told,
        )

    def add(self, work: Work) -> None:
        """Accept a request."""
        self.waiting.append(work)
        if self.fleet.scenario.kind == 'plain':
            self.start_plain()
        elif not self.is_busy:
            self.is_busy = True
            self.cycle()

    def start_plain(self) -> None:
        """Start waiting requests on free slots."""
        while self.waiting and len(self.running) < self.target.slots:
            work = self.waiting.popleft()
            self.running.append(work)
            took_s = work.arrival.work * self.slowness()
            self.fleet.after(took_s, lambda work=work: self.end_plain(work))

    def end_plain(self, work: Work) -> None:
        """End a request of a plain service."""
        self.running.remove(work)
        self.fleet.answered(self, work)
        self.start_plain()

    def cycle(self) -> None:
        """Read one prompt, or decode some tokens of all running requests."""
        while self.waiting and len(self.running) < self.target.slots:
            self.running.append(self.waiting.popleft())
        unread = [work for work in self.running if not work.is_read]
        if unread:
            tokens = self.read(unread[0])
            took_s = tokens / PREFILL_TOKENS_PER_S * self.slowness()
            self.fleet.after(took_s, self.next_cycle)
            return
        if not self.running:
            self.is_busy = False
            return
        step_s = STEP_S * (1 + STEP_GROWTH * (len(self.running) - 1))
        took_s = step_s * EVENT_TOKENS * self.slowness()
        self.fleet.after(took_s, self.end_steps)

    def read(self, work: Work) -> int:
        """Return the prompt tokens to read, and cache the shared part."""
        work.is_read = True
        part = work.arrival.request.prompt[0]
        tokens = work.arrival.request.prompt_tokens
        if part.id in self.cached:
            tokens -= part.tokens
        self.cached[part.id] = part.tokens
        self.cached.move_to_end(part.id)
        while sum(self.cached.values()) > CACHE_TOKENS:
            self.cached.popitem(last=False)
        return max(tokens, 1)

    def next_cycle(self) -> None:
        """Go on after a prompt."""
        self.cycle()

    def end_steps(self) -> None:
        """Send an event of each running request; end those that are done."""
        for work in [work for work in self.running if work.is_read]:
            work.tokens_left -= EVENT_TOKENS
            self.fleet.event(self, work)
            if work.tokens_left <= 0:
                self.running.remove(work)
                self.fleet.answered(self, work)
        self.cycle()


class Fleet:
    """Hosts and targets of one run."""

    def __init__(self, scenario: Scenario, seed: int, by_counts: bool) -> None:
        self.scenario = scenario
        self.by_counts = by_counts
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.targets = [
            Target(f't{number}', 's', f'a{number}', 'dc', scenario.slots, False)
            for number in range(scenario.targets)
        ]
        self.sims = {
            target.id: SimTarget(
                self, target, 1 / (0.55 if number % 4 == 0 else 1.2)
            )
            for number, target in enumerate(self.targets)
        }
        self.pickers = [
            TargetPicker('dc', self.clock, random.Random(seed * 1000 + host))
            for host in range(scenario.hosts)
        ]
        self.history: deque[tuple[float, list[ProcessLoad], ProcessLoad]] = (
            deque(maxlen=16)
        )
        self.first_s: dict[str, float] = {}
        self.total_s: list[float] = []
        self.begun_s: list[float] = []
        self.sent: Counter[str] = Counter()
        self.sent_work: Counter[str] = Counter()
        self.cached_tokens = 0
        self.cpu_s = 0.0

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        at = self.clock.monotonic() + seconds
        heapq.heappush(self.queue, (at, next(self.numbers), action))

    def run(self, arrivals: list[Arrival]) -> None:
        """Run until all requests are answered."""
        for arrival in arrivals:
            self.after(arrival.at, lambda arrival=arrival: self.send(arrival))
        self.after(0, self.publish)
        end = self.scenario.warm_up_s + MEASURED_S + 30
        while self.queue:
            at, _, action = heapq.heappop(self.queue)
            if at > end:
                break
            self.clock.advance(at - self.clock.monotonic())
            action()

    def publish(self) -> None:
        """Exchange the loads of the hosts with their delay."""
        now = self.clock.monotonic()
        loads = [
            ProcessLoad(
                picker.in_flight_by_target,
                work_by_target=picker.beliefs.work.own_by_target(),
                speeds_by_target=picker.beliefs.speeds.evidence_by_target(),
            )
            for picker in self.pickers
        ]
        self.history.append((now, loads, sum_loads(loads)))
        for host, picker in enumerate(self.pickers):
            age_s = self.rng.uniform(*self.scenario.view_age_s)
            view = [entry for entry in self.history if entry[0] <= now - age_s]
            if not view:
                continue
            _, then, total = view[-1]
            others = subtract_load(total, then[host])
            picker.update_remote_in_flight(others.in_flight_by_target)
            picker.beliefs.update_others(
                others.work_by_target, others.speeds_by_target
            )
        self.after(PUBLISH_S, self.publish)

    def send(self, arrival: Arrival) -> None:
        """Let a host choose a target for a request."""
        picker = self.pickers[arrival.host]
        criteria = PickCriteria(arrival.request, {}, (), arrival.route)
        began = time.process_time()
        if self.scenario.kind == 'engine':
            chosen = picker.pick_engine(self.targets, criteria)
        else:
            chosen = picker.pick(self.targets, criteria)
        assert chosen is not None
        record = picker.attempt_started(chosen, criteria)
        self.cpu_s += time.process_time() - began
        if arrival.at >= self.scenario.warm_up_s:
            self.sent[chosen.id] += 1
        self.sims[chosen.id].add(Work(arrival, record, self))

    def event(self, sim: SimTarget, work: Work) -> None:
        """Deliver an event of a stream."""
        picker = self.pickers[work.arrival.host]
        if work.arrival.request.id not in self.first_s:
            now = self.clock.monotonic()
            self.first_s[work.arrival.request.id] = now - work.arrival.at
            picker.record_load(sim.target, sim.load())
            picker.record_prompt(sim.target, work.arrival.request)
        if work.record is not None:
            picker.beliefs.progressed(work.record)

    def answered(self, sim: SimTarget, work: Work) -> None:
        """Deliver the end of a response."""
        picker = self.pickers[work.arrival.host]
        if self.scenario.kind == 'plain':
            picker.record_load(sim.target, sim.load())
        picker.record_success(sim.target, work.record)
        picker.attempt_ended(sim.target, work.record)
        if work.arrival.at < self.scenario.warm_up_s:
            return
        total_s = self.clock.monotonic() - work.arrival.at
        self.total_s.append(total_s)
        first_s = self.first_s.get(work.arrival.request.id, total_s)
        self.begun_s.append(first_s)


def _spells(
    rng: random.Random, spell_s: float
) -> Iterator[tuple[float, float]]:
    """Yield start and end of the slow spells of a target."""
    gap_s = spell_s * (1 - SPELL_SHARE) / SPELL_SHARE
    at = rng.expovariate(1 / gap_s) if spell_s else math.inf
    while True:
        yield at, at + spell_s
        at += spell_s + rng.expovariate(1 / gap_s)


def make_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return the same trace for both choices."""
    rng = random.Random(seed + 77)
    arrivals = []
    at = 0.0
    for number in itertools.count():
        at += rng.expovariate(scenario.rate)
        if at > scenario.warm_up_s + MEASURED_S:
            return arrivals
        route = rng.randrange(3)
        is_engine = scenario.kind == 'engine'
        tokens = PROMPT_TOKENS[route] if is_engine else 0
        own = int(tokens * OWN_SHARE)
        shared = f'{route}-{rng.randrange(PROMPTS_PER_ROUTE)}'
        limit = (64, 256, 128)[route] if is_engine else 0
        used = min(rng.lognormvariate(math.log(0.5), 0.5), 1)
        seconds = PLAIN_S * (0.5, 1, 2)[route]
        seconds *= rng.lognormvariate(0, scenario.tail)
        request = CallerRequest(
            f'r{number}', 'POST', 'h', '/', '/', (), None, at, None,
            (PromptPart(shared, tokens - own), PromptPart(f'o{number}', own))
            if is_engine
            else (),
            tokens, limit, (), '', None,
        )  # fmt: skip
        arrivals.append(
            Arrival(
                at,
                rng.randrange(scenario.hosts),
                request,
                f'route-{route}',
                max(limit * used, 1) if is_engine else min(seconds, 6),
            )
        )
    return arrivals


class Figures(NamedTuple):
    """Figures of one run or the means of several."""

    p50_s: float
    p99_s: float
    total_p99_s: float
    within_aim: float
    # Requests of the busiest target relative to the mean.
    busiest: float
    # Requests of a slow target relative to those of a fast one.
    slow_to_fast: float
    cpu_us: float


def measure(task: tuple[Scenario, int, bool]) -> Figures:
    """Run one scenario."""
    scenario, seed, by_counts = task
    fleet = Fleet(scenario, seed, by_counts)
    arrivals = make_arrivals(scenario, seed)
    fleet.run(arrivals)
    aim_s = ENGINE_AIM_S if scenario.kind == 'engine' else PLAIN_AIM_S
    expected = sum(arrival.at >= scenario.warm_up_s for arrival in arrivals)
    begun = sorted(fleet.begun_s)
    total = sorted(fleet.total_s)
    counts = [fleet.sent[target.id] for target in fleet.targets]
    slow = [fleet.sent[t.id] for t in fleet.targets[::4]]
    fast = [fleet.sent[t.id] for n, t in enumerate(fleet.targets) if n % 4]
    return Figures(
        begun[len(begun) // 2],
        begun[int(len(begun) * 0.99)],
        total[int(len(total) * 0.99)],
        sum(first <= aim_s for first in begun) / expected,
        max(counts) / statistics.mean(counts),
        statistics.mean(slow) / statistics.mean(fast),
        fleet.cpu_s / len(arrivals) * 1e6,
    )


def compare(seeds: int, only: str, workers: int) -> None:
    """Print a table with both choices for each scenario."""
    print(
        '| scenario | choice | p50 ms | p99 ms | p99 total ms | within aim '
        '| busiest | slow/fast | us |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- | --- | --- |')
    scenarios = [found for found in SCENARIOS if only in found.name]
    tasks = [
        (scenario, seed, by_counts)
        for scenario in scenarios
        for by_counts in (True, False)
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(workers) as pool:
        found = iter(pool.map(measure, tasks))
        for scenario in scenarios:
            for choice in ('counts', 'costs'):
                runs = [next(found) for _ in range(seeds)]
                mean = Figures(
                    *(statistics.mean(c) for c in zip(*runs, strict=True))
                )
                print(
                    f'| {scenario.name} | {choice} | {mean.p50_s * 1000:.0f} '
                    f'| {mean.p99_s * 1000:.0f} '
                    f'| {mean.total_p99_s * 1000:.0f} '
                    f'| {mean.within_aim:.2%} | {mean.busiest:.2f} '
                    f'| {mean.slow_to_fast:.2f} | {mean.cpu_us:.0f} |',
                    flush=True,
                )


def measure_cpu() -> None:
    """Print the CPU time of one choice and the start of its attempt."""
    rounds = 400
    print('| kind | targets | counts us | costs us |')
    print('| --- | --- | --- | --- |')
    for kind in ('plain', 'engine'):
        for count in (45, 500):
            scenario = Scenario('cpu', kind, count, 16, 100, 1)
            arrivals = make_arrivals(scenario, 1)[:rounds]
            columns = []
            for by_counts in (True, False):
                best = min(
                    _cpu_us(scenario, arrivals, by_counts) for _ in range(3)
                )
                columns.append(f'{best:.0f}')
            print(f'| {kind} | {count} | {" | ".join(columns)} |')


def _cpu_us(
    scenario: Scenario, arrivals: list[Arrival], by_counts: bool
) -> float:
    fleet = Fleet(scenario, 1, by_counts)
    picker = fleet.pickers[0]
    for target in fleet.targets:
        picker.record_load(target, fleet.sims[target.id].load())
    for arrival in arrivals:
        fleet.clock.advance(0.02)
        fleet.send(arrival)
    return fleet.cpu_s / len(arrivals) * 1e6


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--only', default='')
    parser.add_argument('--workers', type=int, default=2)
    parser.add_argument('--cpu', action='store_true')
    options = parser.parse_args()
    if options.cpu:
        measure_cpu()
        return
    compare(options.seeds, options.only, options.workers)


if __name__ == '__main__':
    main()
