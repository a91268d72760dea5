"""Simulates crashes and verdicts of the quarantine in virtual time.

    python -m benchmarks.quarantine [RUNS]

All requests begin with one part; others are Zipf-distributed. They wait at
engines until their answers begin. A request with a deadly part ends its engine
then; other crashes come at random, to single engines or to a quarter of them at
once. A lost request is sent to another engine unless it is suspect. Engines
send the head of an answer late, with its first event, or early, when they
receive the request; a deadly one may end its engine before or after the head.
The evidence reaches all hosts after a delay.

Prints, for each number of hosts and each cause of crashes, how many engines
ended under the deadly part, the time from the first of them to the verdict, the
sound parts that were named, and the sound requests that were refused.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
import sys
from typing import Final, NamedTuple

from hornbeamline.helpers.clock import ManualClock
from hornbeamline.quarantine import (
    AnswerTiming,
    CrashMark,
    EvidenceTable,
    Phase,
    SoundTraffic,
    attribute,
)
from hornbeamline.quarantine.const import (
    SUSPECT_ENGINES,
    SUSPECT_SCORE,
    SYNC_INTERVAL_S,
    URGENT_SCORE,
)

DURATION_S: Final = 30.0
REQUESTS_PER_HOST_S: Final = 2.0
HOSTS_PER_ENGINE: Final = 2
PREFILL_S: Final = 0.25
DOWN_S: Final = 3.0
# Check of the target, way to a control process, its delay, way to the hosts.
SPREAD_S: Final = 0.03
WARM_UP_S: Final = 2.0
FIRST_PARTS: Final = 12
TOPICS: Final = 400
COMMON: Final = 'common'
DEADLY: Final = 'deadly'
SERVICE: Final = 'engines'
MAX_ATTEMPTS: Final = 3
RACK_SHARE: Final = 0.25
# The shorter of the two phases of an answer.
SHORT_PHASE_S: Final = 0.001


class Heads(NamedTuple):
    """When engines send heads."""

    # Whether sound requests wait with the head of their answer.
    are_early: bool
    # Whether the head of a deadly request gets out.
    is_guilty_shown: bool


LATE: Final = Heads(are_early=False, is_guilty_shown=True)
LATE_UNSEEN: Final = Heads(are_early=False, is_guilty_shown=False)
EARLY: Final = Heads(are_early=True, is_guilty_shown=True)
EARLY_UNSEEN: Final = Heads(are_early=True, is_guilty_shown=False)


class Scenario(NamedTuple):
    """Causes of crashes."""

    name: str
    # Share of the requests with the deadly part.
    deadly_share: float
    # Crashes of one engine per second that no request causes.
    crash_rate: float
    heads: Heads = LATE
    # Losses of a quarter of the engines per second.
    rack_rate: float = 0


class Request(NamedTuple):
    """A request at an engine."""

    id: str
    host: int
    parts: tuple[str, ...]
    sent_at: float
    attempt: int
    ended_engines: int


class Result(NamedTuple):
    """What happened in one run."""

    deadly_crashes: int
    other_crashes: int
    # Seconds from the first crash by a request to the verdict, if any.
    verdict_s: float | None
    sound_named: int
    sound_refused: int


class Simulation:
    """One run."""

    def __init__(self, hosts: int, scenario: Scenario, seed: int) -> None:
        self._hosts = hosts
        self._engines = max(hosts // HOSTS_PER_ENGINE, 4)
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._table = EvidenceTable(self._clock)
        self._events: list[tuple[float, int, str, tuple[object, ...]]] = []
        self._numbers = itertools.count()
        self._waiting: dict[int, dict[str, Request]] = {}
        self._traffic = [SoundTraffic() for _ in range(hosts)]
        self._down_until: dict[int, float] = {}
        self._starts: dict[int, int] = {}
        self._begun: set[str] = set()
        self._named: set[str] = set()
        self._sound_named: set[str] = set()
        self._topic_weights = [1 / (rank + 1) for rank in range(TOPICS)]
        self._first_at: float | None = None
        self._verdict_s: float | None = None
        self._crashes = {'deadly': 0, 'other': 0}
        self._sound_refused = 0

    def run(self) -> Result:
        """Run to the end."""
        rate = self._hosts * REQUESTS_PER_HOST_S
        at: float = 0
        while at < DURATION_S:
            at += self._rng.expovariate(rate)
            self._schedule(at, 'arrive')
        crash_rate = self._scenario.crash_rate * self._engines
        at = WARM_UP_S
        while crash_rate and at < DURATION_S:
            at += self._rng.expovariate(crash_rate)
            self._schedule(at, 'fail', self._rng.randrange(self._engines))
        at = WARM_UP_S
        while self._scenario.rack_rate and at < DURATION_S:
            at += self._rng.expovariate(self._scenario.rack_rate)
            size = max(int(self._engines * RACK_SHARE), 2)
            for engine in self._rng.sample(range(self._engines), size):
                delay_s = self._rng.uniform(0, 0.02)
                self._schedule(at + delay_s, 'fail', engine)
        while self._events:
            self._clock.now_s, _, kind, details = heapq.heappop(self._events)
            getattr(self, f'_{kind}')(*details)
        return Result(
            self._crashes['deadly'],
            self._crashes['other'],
            self._verdict_s,
            len(self._sound_named),
            self._sound_refused,
        )

    def _schedule(self, at: float, kind: str, *details: object) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, details))

    def _arrive(self) -> None:
        first = f'first-{self._rng.randrange(FIRST_PARTS)}'
        (topic,) = self._rng.choices(range(TOPICS), self._topic_weights)
        parts: tuple[str, ...] = (COMMON, first, f'{first}-topic-{topic}')
        if (
            self._clock.now_s > WARM_UP_S
            and self._rng.random() < self._scenario.deadly_share
        ):
            parts = (*parts, DEADLY)
        host = self._rng.randrange(self._hosts)
        self._send(Request(f'r{next(self._numbers)}', host, parts, 0, 1, 0))

    def _send(self, request: Request) -> None:
        if self._named.intersection(request.parts):
            self._sound_refused += DEADLY not in request.parts
            return
        up = [
            engine
            for engine in range(self._engines)
            if self._down_until.get(engine, 0) <= self._clock.now_s
        ]
        if not up:
            return
        engine = self._rng.choice(up)
        sent = request._replace(sent_at=self._clock.now_s)
        self._waiting.setdefault(engine, {})[request.id] = sent
        wait_s = self._rng.expovariate(1 / PREFILL_S)
        self._schedule(self._clock.now_s + wait_s, 'begin', engine, request.id)

    def _begin(self, engine: int, request_id: str) -> None:
        request = self._waiting.get(engine, {}).pop(request_id, None)
        if request is None:
            return
        parts = request.parts
        if DEADLY in parts:
            if self._first_at is None:
                self._first_at = self._clock.now_s
            self._end(engine, 'deadly', request)
            return
        waited_s = self._clock.now_s - request.sent_at
        timing = (waited_s, SHORT_PHASE_S)
        if self._scenario.heads.are_early:
            timing = (SHORT_PHASE_S, waited_s)
        self._traffic[request.host].record_begun(
            parts, AnswerTiming(SERVICE, *timing)
        )
        self._begun.update(parts)
        findings = attribute(self._table.marks, self._table.begun_parts)
        for part in parts:
            finding = findings.get(part)
            if finding is None:
                continue
            is_urgent = finding.score >= URGENT_SCORE
            delay_s = SPREAD_S if is_urgent else SYNC_INTERVAL_S
            self._schedule(self._clock.now_s + delay_s, 'clear', part)

    def _fail(self, engine: int) -> None:
        if self._down_until.get(engine, 0) <= self._clock.now_s:
            self._end(engine, 'other', None)

    def _end(self, engine: int, cause: str, guilty: Request | None) -> None:
        self._crashes[cause] += 1
        self._down_until[engine] = self._clock.now_s + DOWN_S
        start = self._starts.get(engine, 0) + 1
        self._starts[engine] = start
        heads = self._scenario.heads
        waiting = Phase.HEAD if heads.are_early else Phase.SENT
        lost = [
            (request, waiting)
            for request in self._waiting.pop(engine, {}).values()
        ]
        if guilty is not None:
            phase = Phase.HEAD if heads.is_guilty_shown else Phase.SENT
            lost.append((guilty, phase))
        marks = [
            CrashMark(
                part,
                f'{engine}-{start}',
                phase,
                following,
                self._clock.now_s,
                request.id,
                self._clock.now_s - request.sent_at,
                self._traffic[request.host].weigh(part, phase, SERVICE),
            )
            for request, phase in lost
            for following, part in enumerate(reversed(request.parts))
        ]
        self._schedule(self._clock.now_s + SPREAD_S, 'learn', marks)
        for request, _ in lost:
            self._schedule(self._clock.now_s + SPREAD_S, 'retry', request)

    def _retry(self, request: Request) -> None:
        findings = attribute(self._table.marks, self._table.begun_parts)
        ended_engines = request.ended_engines + 1
        is_suspect = ended_engines >= SUSPECT_ENGINES or any(
            findings[part].score >= SUSPECT_SCORE
            for part in request.parts
            if part in findings
        )
        if is_suspect or request.attempt >= MAX_ATTEMPTS:
            return
        self._send(
            request._replace(
                attempt=request.attempt + 1, ended_engines=ended_engines
            )
        )

    def _learn(self, marks: list[CrashMark]) -> None:
        for mark in marks:
            self._table.add_mark(mark)
            if mark.part in self._begun:
                self._table.add_begun(mark.part)
        self._judge()

    def _clear(self, part: str) -> None:
        if self._table.clear(part):
            self._judge()

    def _judge(self) -> None:
        findings = attribute(self._table.marks, self._table.begun_parts)
        self._named = {
            part for part, finding in findings.items() if finding.is_named
        }
        self._sound_named |= self._named - {DEADLY}
        if DEADLY in self._named and self._verdict_s is None:
            # Other crashes may name the part before it ends an engine.
            first_at = self._first_at or self._clock.now_s
            self._verdict_s = self._clock.now_s - first_at
        for waiting in self._waiting.values():
            for request_id, request in tuple(waiting.items()):
                if self._named.intersection(request.parts):
                    waiting.pop(request_id)


SCENARIOS: Final = (
    Scenario('part, share 0.01', 0.01, 0),
    Scenario('part, share 0.10', 0.1, 0),
    Scenario('part, share 0.05, no head', 0.05, 0, LATE_UNSEEN),
    Scenario('part, share 0.05, early heads', 0.05, 0, EARLY),
    Scenario('part, share 0.05, early heads, no head', 0.05, 0, EARLY_UNSEEN),
    Scenario('other crashes', 0, 0.02),
    Scenario('other crashes, early heads', 0, 0.02, EARLY),
    Scenario('racks', 0, 0, LATE, 0.2),
    Scenario('racks, early heads', 0, 0, EARLY, 0.2),
    Scenario('both', 0.05, 0.02),
    Scenario('both, racks', 0.05, 0.02, LATE, 0.2),
    Scenario('both, racks, early heads', 0.05, 0.02, EARLY, 0.2),
    Scenario('both, racks, early, no head', 0.05, 0.02, EARLY_UNSEEN, 0.2),
)


def main(runs: int) -> None:
    """Print a row for each number of hosts and scenario."""
    print(
        'hosts | cause | runs | named | crashes by the part, mean, most |'
        ' other crashes, mean | s to the verdict, median, most |'
        ' sound parts named, in all runs | sound requests refused'
    )
    for hosts in (12, 96, 200):
        for scenario in SCENARIOS:
            found = [
                Simulation(hosts, scenario, seed).run() for seed in range(runs)
            ]
            crashes = [result.deadly_crashes for result in found]
            others = [result.other_crashes for result in found]
            times = [
                result.verdict_s
                for result in found
                if result.verdict_s is not None
            ]
            took = (
                f'{statistics.median(times):.2f}, {max(times):.2f}'
                if times
                else '-'
            )
            print(
                f'{hosts} | {scenario.name} | {runs} | {len(times)} |'
                f' {statistics.mean(crashes):.2f}, {max(crashes)} |'
                f' {statistics.mean(others):.1f} | {took} |'
                f' {sum(result.sound_named for result in found)} |'
                f' {sum(result.sound_refused for result in found)}',
                flush=True,
            )


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 40)
