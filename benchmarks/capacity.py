"""Measure the cost per unit at several sizes, for docs/CAPACITY.md.

Run: python -m benchmarks.capacity [--json FILE]
"""

from __future__ import annotations

import gc
import hashlib
import random
import statistics
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, Final, NamedTuple

import typer

from hornbeamline.decisions import (
    CallReport,
    CallResult,
    DecisionEngine,
    DecisionSettings,
    Dispatch,
    LoadReport,
    RequestInfo,
    StageCall,
)
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.helpers.codec import encode, encode_json
from hornbeamline.inventory import (
    Document,
    Fleet,
    Operation,
    apply_operations,
    digest_after,
    document_digest,
    fleet_after,
    fleet_of,
    validate,
    validate_fleet,
)

TARGET_SIZES: Final = (24, 240, 2_400, 11_000)
ACCOUNT_SIZES: Final = (5, 2_000, 21_000)
SERVICES: Final = ('encoder', 'retriever', 'ranker', 'drafting')
KINDS: Final = ('encoding', 'retrieval', 'reranking', 'generation')
CYCLES: Final = 1_000
REPEATS: Final = 5
_US: Final = 1_000_000


class Figure(NamedTuple):
    """One measurement at one size."""

    what: str
    size: int
    unit: str
    value: float


def document_with(targets: int, accounts: int) -> Document:
    """Return a document with so many client accounts and targets.

    The targets are spread evenly over services and data centres.
    """
    return {
        'fleet': {'name': 'capacity'},
        'data_centres_by_name': {
            f'dc-{number}': {'region': f'region-{number % 6}'}
            for number in range(19)
        },
        'hosts_by_name': {
            f'entry-{number}': {'data_centre': f'dc-{number % 19}'}
            for number in range(12)
        },
        'services_by_name': {
            name: {'kind': kind}
            for name, kind in zip(SERVICES, KINDS, strict=True)
        },
        'targets_by_name': {
            f'target-{number}': {
                'service': SERVICES[number % len(SERVICES)],
                'data_centre': f'dc-{number % 19}',
                'address': f'10.{number >> 8}.{number & 255}.1:9000',
            }
            for number in range(targets)
        },
        'accounts_by_name': {
            f'account-{number}': {
                'credential_sha256': hashlib.sha256(
                    str(number).encode(),
                ).hexdigest(),
            }
            for number in range(accounts)
        },
        'pipelines_by_name': {
            f'pipeline-{number}': {
                'stages': [
                    {'name': name, 'service': name} for name in SERVICES
                ],
            }
            for number in range(8)
        },
    }


def processor_time_us(work: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Return the median CPU time of a call in microseconds."""
    durations_s = []
    for _ in range(repeats):
        started_s = time.process_time()
        work()
        durations_s.append(time.process_time() - started_s)
    return statistics.median(durations_s) * _US


def resident_kb() -> int:
    """Return the resident memory of this process in KB."""
    for line in Path('/proc/self/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    raise RuntimeError('no VmRSS line in /proc/self/status')


def engine_for(document: Document) -> DecisionEngine:
    """Return a decision engine with the fleet of a document."""
    settings = DecisionSettings('entry-0', 'dc-0')
    engine = DecisionEngine(settings, SystemClock(), random.Random(1))
    engine.update_fleet(fleet_of(document))
    return engine


def run_request(engine: DecisionEngine, number: int, accounts: int) -> None:
    """Run one request of four stages through the decision engine."""
    info = RequestInfo(
        f'r{number}',
        f'account-{number % accounts}',
        f'pipeline-{number % 8}',
        time.monotonic() + 4,
    )
    if engine.admit(info) is not None:
        return
    for index in range(len(SERVICES)):
        decided: list[Any] = []
        engine.submit(StageCall(info, index), decided.append)
        if decided and isinstance(decided[0], Dispatch):
            report = CallReport(CallResult.succeeded, 0.05, 10)
            engine.finished(decided[0], report)
    engine.finish_request(info)


def measure_decisions(targets: int, accounts: int) -> list[Figure]:
    """Return the CPU time and memory of decisions at one size."""
    gc.collect()
    before_kb = resident_kb()
    engine = engine_for(document_with(targets, accounts))
    memory_kb = resident_kb() - before_kb

    def run_requests() -> None:
        for number in range(CYCLES):
            run_request(engine, number, accounts)

    request_us = processor_time_us(run_requests, 3) / CYCLES
    report = LoadReport(3, 1, 0.5)

    def deliver_reports() -> None:
        for number in range(targets):
            engine.load_reported(f'target-{number}', report)

    return [
        Figure('request, 4 stages', targets, 'us', request_us),
        Figure(
            'load report',
            targets,
            'us',
            processor_time_us(deliver_reports) / targets,
        ),
        Figure('engine and fleet memory', targets, 'KB', memory_kb),
    ]


def measure_configuration(targets: int, accounts: int) -> list[Figure]:
    """Return the cost of changing one target at one document size."""
    document = document_with(targets, accounts)
    table = {**document['targets_by_name']['target-0'], 'concurrency': 9}
    change = [Operation('put', 'targets_by_name', 'target-0', table)]
    settings = DecisionSettings('entry-0', 'dc-0')
    engine = DecisionEngine(settings, SystemClock(), random.Random(1))
    fleet = fleet_of(document)
    engine.update_fleet(fleet)
    size = targets + accounts
    digest = document_digest(document)
    changed = apply_operations(document, change)
    return [
        Figure('delta size', size, 'bytes', len(encode(change))),
        Figure('document size', size, 'bytes', len(encode_json(document))),
        Figure(
            'apply operations',
            size,
            'us',
            processor_time_us(lambda: apply_operations(document, change)),
        ),
        Figure(
            'digest after a change',
            size,
            'us',
            processor_time_us(lambda: digest_after(digest, document, change)),
        ),
        Figure(
            'fleet after a change',
            size,
            'us',
            processor_time_us(lambda: fleet_after(fleet, changed, change)),
        ),
        Figure(
            'references (leader)',
            size,
            'us',
            processor_time_us(lambda: validate_fleet(fleet)),
        ),
        Figure(
            'document digest',
            size,
            'us',
            processor_time_us(lambda: document_digest(document)),
        ),
        Figure(
            'typed fleet',
            size,
            'us',
            processor_time_us(lambda: fleet_of(document)),
        ),
        Figure(
            'validate (leader)',
            size,
            'us',
            processor_time_us(lambda: validate(document)),
        ),
        Figure(
            'engine update',
            size,
            'us',
            processor_time_us(lambda: engine.update_fleet(fleet_of(document)))
            - processor_time_us(lambda: fleet_of(document)),
        ),
        Figure(
            'engine update, one target changed',
            size,
            'us',
            processor_time_us(lambda: apply_change(engine, fleet, changed)),
        ),
    ]


def apply_change(
    engine: DecisionEngine,
    fleet: Fleet,
    changed: Document,
) -> None:
    """Update an engine to a fleet that differs in one target."""
    table = changed['targets_by_name']['target-0']
    change = [Operation('put', 'targets_by_name', 'target-0', table)]
    engine.update_fleet(fleet_after(fleet, changed, change))


def main(
    json_file: Annotated[
        Path | None,
        typer.Option('--json', help='Write the figures as JSON.'),
    ] = None,
) -> None:
    """Run all measurements and print them."""
    figures: list[Figure] = []
    for targets in TARGET_SIZES:
        figures += measure_decisions(targets, 5)
    for accounts in ACCOUNT_SIZES:
        figures += [
            figure._replace(what=f'{figure.what}, by accounts', size=accounts)
            for figure in measure_decisions(240, accounts)
            if figure.what != 'load report'
        ]
    for targets in TARGET_SIZES:
        figures += measure_configuration(targets, 5)
    figures += measure_configuration(11_000, 21_000)
    for figure in figures:
        typer.echo(
            f'{figure.what:40} {figure.size:>7} '
            f'{figure.value:>12.1f} {figure.unit}',
        )
    if json_file is not None:
        json_file.write_bytes(encode_json([item._asdict() for item in figures]))


if __name__ == '__main__':
    typer.run(main)
