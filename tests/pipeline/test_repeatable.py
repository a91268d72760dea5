"""Tests of repeatable stages: retries, hedging and resumed streams."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from hornbeamline.decisions import CallResult
from hornbeamline.inventory import ServiceKind
from hornbeamline.pipeline import OutcomeKind, TokenEvents
from hornbeamline.standins import Faults
from tests.pipeline.support import bench_for, request
from tests.serving import expected_tokens, fleet_with, serving, until

GENERATION = ServiceKind.generation


@contextlib.asynccontextmanager
async def two_targets(
    kind: ServiceKind,
    first_faults: Faults,
    stages: tuple[str, ...] = ('work',),
):
    """Yield a bench with a faulty and a healthy target, and both targets."""
    async with (
        serving(kind, name='a-faulty', faults=first_faults) as faulty,
        serving(kind, name='b-sound') as healthy,
    ):
        fleet = fleet_with(
            {'work': [faulty, healthy]},
            {'report': list(stages)},
            max_tokens=40,
        )
        async with bench_for(fleet) as bench:
            yield bench, faulty, healthy


def token_ids(events: TokenEvents) -> list[int]:
    """Take the pending token events and return their indexes."""
    lines = events.take().split(b'\n')
    return [int(line[4:]) for line in lines if line.startswith(b'id: ')]


@pytest.mark.parametrize(
    'faults',
    [
        Faults(break_stream_after=7),
        Faults(stall_stream_after=7),
        Faults(wrong_request_id=True),
        Faults(refuse=True),
        Faults(error=True),
    ],
)
async def test_broken_stream_resumes_without_a_gap(faults: Faults) -> None:
    """Guards against repeated or lost tokens after a stream breaks."""
    async with two_targets(GENERATION, faults) as (bench, _, _):
        bench.decisions.retries = 1
        events = TokenEvents()
        outcome = await bench.executor.run(
            request('report', deadline_s=5),
            events,
        )
    assert outcome.kind is OutcomeKind.answered, outcome
    assert outcome.output['text'] == expected_tokens('levy report', 40)
    assert token_ids(events) == list(range(40))
    assert outcome.costs[0].tokens == 40
    assert outcome.costs[0].attempts == 2


async def test_stream_without_a_retry_is_not_answered() -> None:
    """Guards against a truncated answer that is reported as complete."""
    faults = Faults(break_stream_after=7)
    async with two_targets(GENERATION, faults) as (bench, _, _):
        outcome = await bench.executor.run(request('report'))
    assert outcome.kind is OutcomeKind.not_run
    assert outcome.reason == 'target_failed'


@pytest.mark.parametrize('kind', [ServiceKind.plain, GENERATION])
async def test_hedge_wins_and_the_loser_is_cancelled(kind) -> None:
    """Guards against a losing attempt left running or not counted."""
    async with two_targets(kind, Faults(slow=500)) as (bench, slow, healthy):
        bench.decisions.hedge_after_s = 0.05
        events = TokenEvents()
        outcome = await bench.executor.run(request('report'), events)
        assert outcome.kind is OutcomeKind.answered
        await until(lambda: slow.cancelled == ['r-1.1'])
        await until(lambda: not slow.work_by_id)
        assert healthy.cancelled == []
    assert outcome.costs[0].target == 'b-sound'
    assert outcome.costs[0].wasted_ms >= 40
    assert sorted(bench.decisions.results(), key=str) == [
        CallResult.cancelled,
        CallResult.succeeded,
    ]
    if kind is GENERATION:
        assert token_ids(events) == list(range(40))


async def test_failed_hedge_does_not_fail_the_request() -> None:
    """Guards against hedging that ends with the first error."""
    async with (
        serving(name='a-slow', service_ms=200) as slow,
        serving(name='b-bad', faults=Faults(error=True)) as bad,
    ):
        fleet = fleet_with({'work': [slow, bad]}, {'report': ['work']})
        async with bench_for(fleet) as bench:
            bench.decisions.hedge_after_s = 0.02
            outcome = await bench.executor.run(request('report'))
    assert outcome.kind is OutcomeKind.answered
    assert outcome.costs[0].target == 'a-slow'
    assert outcome.costs[0].attempts == 2


async def test_retry_takes_another_target() -> None:
    """Guards against a retry at the target that just failed."""
    async with two_targets(ServiceKind.plain, Faults(error=True)) as (
        bench,
        *_,
    ):
        bench.decisions.retries = 1
        outcome = await bench.executor.run(request('report'))
    assert outcome.kind is OutcomeKind.answered
    assert [target for target, _ in bench.decisions.reports] == [
        'a-faulty',
        'b-sound',
    ]


async def test_only_target_is_tried_again() -> None:
    """Guards against a refused retry when all targets have been tried."""
    async with serving(faults=Faults(refuse=True)) as target:
        fleet = fleet_with({'work': [target]}, {'report': ['work']})
        async with bench_for(fleet) as bench:
            bench.decisions.retries = 3
            outcome = await bench.executor.run(request('report'))
    assert outcome.reason == 'target_refused'
    assert len(bench.decisions.reports) == 4


@pytest.mark.parametrize('kind', [ServiceKind.plain, GENERATION])
async def test_cancelled_request_frees_its_target(kind) -> None:
    """Guards against work for a caller that has disconnected."""
    # The target is so slow that the work ends by the cancellation and not by
    # a failed write.
    async with two_targets(kind, Faults(slow=2000)) as (bench, slow, _):
        running = asyncio.create_task(bench.executor.run(request('report')))
        await until(lambda: slow.work_by_id)
        running.cancel()
        await until(lambda: slow.cancelled == ['r-1.1'])
        await until(lambda: not slow.work_by_id)
    assert bench.decisions.results() == [CallResult.cancelled]


async def test_cancelled_stream_frees_its_engine() -> None:
    """Guards against generating tokens after the caller disconnects."""
    async with two_targets(GENERATION, Faults(slow=50)) as (bench, slow, _):
        events = TokenEvents()
        running = asyncio.create_task(
            bench.executor.run(request('report'), events),
        )
        await events.wait_ready()
        running.cancel()
        await until(lambda: not slow.work_by_id, 1)
    assert bench.decisions.results() == [CallResult.cancelled]


async def test_stalled_caller_ends_the_request() -> None:
    """Guards against an engine kept busy by a caller that stops reading."""
    async with two_targets(GENERATION, Faults(slow=60)) as (
        bench,
        engine,
        _,
    ):
        events = TokenEvents(max_pending_bytes=200, stall_timeout_s=0.1)
        outcome = await bench.executor.run(request('report'), events)
        assert outcome.reason == 'caller_stalled'
        assert events.closed
        await until(lambda: engine.cancelled == ['r-1.1'])


async def test_each_request_gets_its_own_answer() -> None:
    """Guards against mixed-up outputs when answers arrive out of order."""
    async with (
        serving(
            name='one', service_jitter_ms=60, concurrency=99, seed=1
        ) as one,
        serving(
            name='two', service_jitter_ms=60, concurrency=99, seed=2
        ) as two,
        serving(GENERATION, name='engine') as engine,
    ):
        fleet = fleet_with(
            {'first': [one], 'second': [two], 'draft': [engine]},
            {'report': ['first', 'second'], 'text': ['first', 'draft']},
        )
        async with bench_for(fleet) as bench:
            outcomes = await asyncio.gather(
                *(
                    bench.executor.run(
                        request(
                            'report',
                            request_id=f'r-{number}',
                            number=number,
                        ),
                    )
                    for number in range(150)
                ),
            )
    assert [outcome.output['echo'] for outcome in outcomes] == [
        {'number': number} for number in range(150)
    ]


async def test_request_keeps_the_revision_it_began_with() -> None:
    """Guards against a new revision that changes a running request."""
    async with (
        serving(name='one', service_ms=150) as one,
        serving(name='two') as two,
        serving(name='three') as three,
    ):
        targets = {'first': [one], 'second': [two], 'other': [three]}
        old = fleet_with(targets, {'report': ['first', 'second']})
        new = fleet_with(targets, {'report': ['first', 'other']})
        without_pipeline = fleet_with(targets, {'text': ['first']})
        for newer in (new, without_pipeline):
            async with bench_for(old) as bench:
                running = asyncio.create_task(
                    bench.executor.run(request('report')),
                )
                await until(lambda: one.work_by_id)
                bench.source.fleet = newer
                bench.decisions.update_fleet(newer)
                outcome = await running
            assert outcome.kind is OutcomeKind.answered
            assert outcome.costs[1].target == 'two'


async def test_prefix_follows_the_first_part_of_the_prompt() -> None:
    """Guards against prefix affinity based on the whole prompt."""
    async with two_targets(GENERATION, Faults()) as (bench, *_):
        for number, tail in enumerate(('x', 'y')):
            await bench.executor.run(
                request(
                    'report',
                    request_id=f'r-{number}',
                    prompt='system ' * 200 + tail,
                ),
            )
    assert bench.decisions.prefixes[0]
    assert bench.decisions.prefixes[0] == bench.decisions.prefixes[1]


async def test_deadline_bounds_every_attempt() -> None:
    """Guards against an attempt that exceeds the request deadline."""
    async with two_targets(ServiceKind.plain, Faults(stuck=True)) as (
        bench,
        *_,
    ):
        bench.decisions.attempt_timeout_s = 30
        async with asyncio.timeout(2):
            outcome = await bench.executor.run(
                request('report', deadline_s=0.2),
            )
    assert outcome.reason == 'target_timed_out'


async def test_credential_that_changed_meanwhile_is_refused() -> None:
    """Guards against starting a request whose credential was replaced.

    A new revision and its lease can arrive while the request body is read.
    """
    async with two_targets(GENERATION, Faults()) as (bench, first, second):
        old = request('report')._replace(credential_sha256='0' * 64)
        outcome = await bench.executor.run(old, None)
        assert outcome.kind is OutcomeKind.not_run
        assert outcome.reason == 'unknown_credential'
        assert not first.executions_by_key
        assert not second.executions_by_key
