"""Resumed streams while a service has targets of several versions."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Mapping
from typing import NamedTuple

import msgspec
import pytest

from hornbeamline.decisions import CallResult
from hornbeamline.inventory import Fleet, ServiceKind, TargetState
from hornbeamline.pipeline import Outcome, OutcomeKind, TokenEvents, _stage
from hornbeamline.standins import Faults, StandinTarget
from tests.pipeline.support import CLOCK, Bench, bench_for, request
from tests.serving import expected_tokens, fleet_with, serving, until

PROMPT = 'levy report'
TOKENS = 40
BREAKS = Faults(break_stream_after=7)


class Engine(NamedTuple):
    """Version and faults of a stand-in engine."""

    version: str
    faults: Faults = Faults()


@contextlib.asynccontextmanager
async def engines(
    engines_by_name: Mapping[str, Engine],
) -> AsyncIterator[tuple[Bench, dict[str, StandinTarget]]]:
    """Yield a bench whose calls go to the first free engine by name."""
    async with contextlib.AsyncExitStack() as stack:
        standins_by_name = {
            name: await stack.enter_async_context(
                serving(
                    ServiceKind.generation,
                    name=name,
                    faults=engine.faults,
                    software_version=engine.version,
                ),
            )
            for name, engine in engines_by_name.items()
        }
        fleet = fleet_with(
            {'work': list(standins_by_name.values())},
            {'report': ['work']},
            max_tokens=TOKENS,
        )
        bench = await stack.enter_async_context(bench_for(fleet))
        bench.decisions.retries = 4
        yield bench, standins_by_name


async def run_stream(
    bench: Bench,
    deadline_s: float = 5,
) -> tuple[Outcome, bytes]:
    """Run a streamed request; return the outcome and the token events."""
    events = TokenEvents()
    outcome = await bench.executor.run(
        request('report', deadline_s=deadline_s),
        events,
    )
    return outcome, events.take()


def called(bench: Bench) -> list[str]:
    """Return the targets of all attempts, in order of their ends."""
    return [target for target, _ in bench.decisions.reports]


def delivered(events: bytes) -> str:
    """Return the text of token events."""
    starts = events.split(b'{"text":"')[1:]
    return ''.join(start.partition(b'"')[0].decode() for start in starts)


def change_target(bench: Bench, name: str, **fields) -> None:
    """Apply a revision with a changed inventory entry of a target."""
    fleet: Fleet = bench.source.fleet
    entry = msgspec.structs.replace(fleet.targets_by_name[name], **fields)
    targets = {**fleet.targets_by_name, name: entry}
    changed = msgspec.structs.replace(fleet, targets_by_name=targets)
    bench.source.fleet = changed
    bench.decisions.update_fleet(changed)


@pytest.fixture
def lines(monkeypatch) -> list[tuple[str, dict]]:
    """Collect the log lines of stages."""
    collected: list[tuple[str, dict]] = []
    monkeypatch.setattr(
        _stage,
        'log_event',
        lambda event, **fields: collected.append((event, fields)),
    )
    return collected


async def test_stream_resumes_at_the_version_that_began_it() -> None:
    """Guards against a resumption at whichever engine comes first.

    The engine of another version is free, but is passed over.
    """
    async with engines(
        {
            'a': Engine('1', BREAKS),
            'b': Engine('2'),
            'c': Engine('1'),
        },
    ) as (bench, _):
        outcome, events = await run_stream(bench)
    assert outcome.kind is OutcomeKind.answered
    assert outcome.output['text'] == expected_tokens(PROMPT, TOKENS, '1')
    assert delivered(events) == outcome.output['text']
    assert called(bench) == ['a', 'c']


@pytest.mark.parametrize(
    'faults',
    [Faults(refuse=True), Faults(error=True), Faults(wrong_request_id=True)],
)
async def test_first_token_binds_the_version_not_the_pick(faults) -> None:
    """Guards against a version that is bound by the first pick.

    The first pick fails before a token; the second one's version counts.
    """
    async with engines(
        {
            'a': Engine('1', faults),
            'b': Engine('2', BREAKS),
            'c': Engine('1'),
            'd': Engine('2'),
        },
    ) as (bench, _):
        outcome, events = await run_stream(bench)
    assert outcome.kind is OutcomeKind.answered
    assert delivered(events) == expected_tokens(PROMPT, TOKENS, '2')
    assert called(bench) == ['a', 'b', 'd']


async def test_stream_ends_at_once_when_its_version_is_gone(lines) -> None:
    """Guards against joined text, and against a wait for the deadline.

    The only engine of the version breaks the stream and is drained.
    """
    async with engines(
        {'a': Engine('1', BREAKS), 'b': Engine('2'), 'c': Engine('')},
    ) as (bench, _):
        inherited = bench.decisions.retry_delay_s

        def drain_then_retry(dispatch, report):
            change_target(bench, 'a', state=TargetState.draining)
            return inherited(dispatch, report)

        bench.decisions.retry_delay_s = drain_then_retry
        async with asyncio.timeout(1):
            outcome, events = await run_stream(bench)
    assert outcome.kind is OutcomeKind.not_run
    assert outcome.reason == 'target_failed'
    written = delivered(events)
    assert written
    assert expected_tokens(PROMPT, TOKENS, '1').startswith(written)
    assert called(bench) == ['a']
    assert lines == [
        (
            'pipeline.resumption_refused',
            {
                'request': 'r-1',
                'stage': 'work',
                'target': 'a',
                'software_version': '1',
                'candidates': '=1,2=1',
                'next_token': len(written.split()),
                'outcome': 'target_failed',
            },
        ),
    ]


@pytest.mark.parametrize('is_dead', [False, True])
async def test_ejected_engines_of_a_version_are_the_last_resort(
    is_dead: bool,
) -> None:
    """Guards against a wait for ejected engines until the deadline.

    All engines of the version are ejected; a call shows whether they work.
    """
    async with engines(
        {'a': Engine('1', BREAKS), 'b': Engine('1'), 'c': Engine('2')},
    ) as (bench, standins):
        inherited = bench.decisions.retry_delay_s

        async def eject_engines() -> None:
            state = bench.decisions._state
            for name in ('a', 'b'):
                record = state.records_by_name[name]
                record.breaker.open(CLOCK.monotonic(), state._rng)
            state.pools_by_name['work'].refresh(CLOCK.monotonic())
            if is_dead:
                await standins['a'].close_listener()
                await standins['b'].close_listener()

        def eject_then_retry(dispatch, report):
            if len(called(bench)) == 1:
                ejecting.append(asyncio.create_task(eject_engines()))
            return inherited(dispatch, report) or 0.2

        ejecting: list[asyncio.Task[None]] = []
        bench.decisions.retries = 2
        bench.decisions.retry_delay_s = eject_then_retry
        async with asyncio.timeout(2):
            outcome, events = await run_stream(bench)
    if is_dead:
        assert outcome.reason == 'target_unreachable'
        assert sorted(called(bench)) == ['a', 'a', 'b']
    else:
        assert outcome.kind is OutcomeKind.answered
        assert delivered(events) == expected_tokens(PROMPT, TOKENS, '1')
        assert called(bench) == ['a', 'b']


async def test_queued_resumption_ends_when_its_version_goes() -> None:
    """Guards against a queued resumption that outlives the last engine.

    The other engine of the version is full, then it is drained.
    """
    async with engines(
        {'a': Engine('1', BREAKS), 'b': Engine('1'), 'c': Engine('2')},
    ) as (bench, _):
        state = bench.decisions._state
        inherited = bench.decisions.submit

        def submit_then_drain(call, on_decision):
            if call.attempt == 1:
                inherited(call, on_decision)
                return
            change_target(bench, 'a', state=TargetState.draining)
            full = state.records_by_name['b']
            full.in_flight += 100
            state.pools_by_name['work'].update_candidacy(full)
            inherited(call, on_decision)
            full.in_flight -= 100
            change_target(bench, 'b', state=TargetState.draining)

        bench.decisions.submit = submit_then_drain
        async with asyncio.timeout(1):
            outcome, _ = await run_stream(bench)
    assert outcome.reason == 'target_failed'
    assert called(bench) == ['a']


async def test_only_engine_of_a_version_is_tried_again() -> None:
    """Guards against a stream given up although its engine still serves.

    The engine of the version broke the stream, but accepts work.
    """
    async with engines({'a': Engine('1', BREAKS), 'b': Engine('2')}) as (
        bench,
        standins,
    ):
        inherited = bench.decisions.retry_delay_s

        def repair_then_retry(dispatch, report):
            standins['a'].set_faults(Faults())
            return inherited(dispatch, report)

        bench.decisions.retry_delay_s = repair_then_retry
        outcome, events = await run_stream(bench)
    assert outcome.kind is OutcomeKind.answered
    assert delivered(events) == expected_tokens(PROMPT, TOKENS, '1')
    assert called(bench) == ['a', 'a']


@pytest.mark.parametrize('first', ['', '1', '2.0', '2.0-rc1', 'z'])
async def test_five_versions_side_by_side(first: str) -> None:
    """Guards against versions that are treated as old and new.

    Each version is resumed at the other engine of the version only.
    """
    versions = ['', '1', '2.0', '2.0-rc1', 'z']
    fleet = {'a': Engine(first, BREAKS)}
    for number, version in enumerate(versions):
        fleet[f'b{number}'] = Engine(version)
    async with engines(fleet) as (bench, _):
        outcome, events = await run_stream(bench)
    assert outcome.kind is OutcomeKind.answered
    assert delivered(events) == expected_tokens(PROMPT, TOKENS, first)
    assert called(bench) == ['a', f'b{versions.index(first)}']


async def test_absent_versions_count_as_one_version() -> None:
    """Guards against a missing version that matches every version.

    Engines without a version resume each other and no others.
    """
    async with engines(
        {'a': Engine('', BREAKS), 'b': Engine('1'), 'c': Engine('')},
    ) as (bench, _):
        outcome, _ = await run_stream(bench)
    assert outcome.output['text'] == expected_tokens(PROMPT, TOKENS, '')
    assert called(bench) == ['a', 'c']


async def test_every_resumption_stays_with_the_version() -> None:
    """Guards against a resumption of a resumption that forgets the version.

    The stream breaks twice.
    """
    async with engines(
        {
            'a': Engine('1', BREAKS),
            'b': Engine('1', Faults(break_stream_after=20)),
            'c': Engine('2'),
            'd': Engine('1'),
        },
    ) as (bench, _):
        outcome, events = await run_stream(bench)
    assert outcome.kind is OutcomeKind.answered
    assert delivered(events) == expected_tokens(PROMPT, TOKENS, '1')
    assert called(bench) == ['a', 'b', 'd']


async def test_version_is_that_of_the_time_of_the_first_token() -> None:
    """Guards against the version of the list instead of that of the writer.

    The target starts again with another version after its stream broke.
    """
    async with engines(
        {'a': Engine('1', BREAKS), 'b': Engine('2'), 'c': Engine('1')},
    ) as (bench, _):
        inherited = bench.decisions.retry_delay_s

        def restart_then_retry(dispatch, report):
            change_target(bench, 'a', software_version='2')
            return inherited(dispatch, report)

        bench.decisions.retry_delay_s = restart_then_retry
        outcome, events = await run_stream(bench)
    assert outcome.kind is OutcomeKind.answered
    assert delivered(events) == expected_tokens(PROMPT, TOKENS, '1')
    assert called(bench) == ['a', 'c']


async def test_hedge_before_the_first_token_may_have_any_version() -> None:
    """Guards against a hedge that binds or breaks the version of the winner.

    A hedge of another version wins, breaks, and resumes at its version.
    """
    async with engines(
        {
            'a': Engine('1', Faults(slow=500)),
            'b': Engine('2', BREAKS),
            'c': Engine('1'),
            'd': Engine('2'),
        },
    ) as (bench, _):
        bench.decisions.hedge_after_s = 0.05
        outcome, events = await run_stream(bench)
    assert outcome.kind is OutcomeKind.answered
    assert delivered(events) == expected_tokens(PROMPT, TOKENS, '2')
    assert sorted(called(bench)) == ['a', 'b', 'd']


@pytest.mark.parametrize('last', ['1', '2'])
async def test_hedge_of_a_resumption_has_its_version(last: str) -> None:
    """Guards against a hedge of a resumption at another version.

    The resumed attempt is slow; only its own version may be the hedge.
    """
    async with engines(
        {
            'a': Engine('1', BREAKS),
            'b': Engine('1', Faults(slow=100)),
            'c': Engine('2'),
            'd': Engine(last),
        },
    ) as (bench, _):
        bench.decisions.hedge_after_s = 0.05
        outcome, events = await run_stream(bench, deadline_s=10)
    assert outcome.kind is OutcomeKind.answered
    assert delivered(events) == expected_tokens(PROMPT, TOKENS, '1')
    resumed = ['b', 'd'] if last == '1' else ['b']
    assert called(bench) == ['a', *resumed]
    assert bench.decisions.results()[-1] is CallResult.succeeded


async def test_undelivered_tokens_are_dropped_with_their_version() -> None:
    """Guards against text of two versions in an answer that is not streamed.

    Nothing was delivered, so the stage begins again at another version.
    """
    async with engines({'a': Engine('1', BREAKS), 'b': Engine('2')}) as (
        bench,
        _,
    ):
        inherited = bench.decisions.retry_delay_s

        def drain_then_retry(dispatch, report):
            change_target(bench, 'a', state=TargetState.draining)
            return inherited(dispatch, report)

        bench.decisions.retry_delay_s = drain_then_retry
        outcome = await bench.executor.run(request('report', deadline_s=5))
    assert outcome.kind is OutcomeKind.answered
    assert outcome.output['text'] == expected_tokens(PROMPT, TOKENS, '2')
    assert outcome.costs[0].target == 'b'
    assert outcome.costs[0].tokens == TOKENS
    assert outcome.costs[0].wasted_ms > 0


async def test_stated_version_prevails_over_the_inventory() -> None:
    """Guards against joined text while the inventory lags behind a restart.

    `b` runs version 2 already, its entry still says 1.
    """
    async with engines(
        {'a': Engine('1', BREAKS), 'b': Engine('2'), 'c': Engine('1')},
    ) as (bench, standins):
        change_target(bench, 'b', software_version='1')
        outcome, events = await run_stream(bench)
        assert outcome.kind is OutcomeKind.answered
        assert delivered(events) == expected_tokens(PROMPT, TOKENS, '1')
        assert called(bench) == ['a', 'b', 'c']
        await until(lambda: not standins['b'].work_by_id)
        # The statement is remembered until the entry of the target changes.
        bench.decisions.reports.clear()
        _, events = await run_stream(bench)
        assert delivered(events) == expected_tokens(PROMPT, TOKENS, '1')
        assert called(bench) == ['a', 'c']


async def test_stated_version_of_the_first_writer_binds() -> None:
    """Guards against a stream bound to a version that did not write it.

    The entry of `a` says 1, but the target runs version 2.
    """
    async with engines(
        {'a': Engine('2', BREAKS), 'b': Engine('1'), 'c': Engine('2')},
    ) as (bench, _):
        change_target(bench, 'a', software_version='1')
        outcome, events = await run_stream(bench)
    assert outcome.kind is OutcomeKind.answered
    assert delivered(events) == expected_tokens(PROMPT, TOKENS, '2')
    assert called(bench) == ['a', 'c']


async def test_only_targets_of_other_versions_end_the_stream() -> None:
    """Guards against an outcome that hides how the stream broke.

    `a` is drained after its stream broke, and `b` states another version.
    """
    async with engines({'a': Engine('1', BREAKS), 'b': Engine('2')}) as (
        bench,
        _,
    ):
        change_target(bench, 'b', software_version='1')
        inherited = bench.decisions.retry_delay_s

        def drain_then_retry(dispatch, report):
            change_target(bench, 'a', state=TargetState.draining)
            return inherited(dispatch, report)

        bench.decisions.retry_delay_s = drain_then_retry
        async with asyncio.timeout(1):
            outcome, events = await run_stream(bench)
    assert outcome.kind is OutcomeKind.not_run
    assert outcome.reason == 'target_failed'
    assert expected_tokens(PROMPT, TOKENS, '1').startswith(delivered(events))
    assert called(bench) == ['a', 'b']


async def test_newer_entry_prevails_over_an_earlier_statement() -> None:
    """Guards against a stated version that outlives a restart.

    `b` states 2, then starts again with version 3, and its entry says so.
    """
    async with engines(
        {'a': Engine('1', BREAKS), 'b': Engine('2'), 'c': Engine('1')},
    ) as (bench, standins):
        change_target(bench, 'b', software_version='1')
        await run_stream(bench)
        renewed = msgspec.structs.replace(
            standins['b'].settings,
            software_version='3',
        )
        standins['b'].settings = renewed
        change_target(bench, 'b', software_version='3')
        change_target(bench, 'a', software_version='3')
        standins['a'].settings = msgspec.structs.replace(
            standins['a'].settings,
            software_version='3',
        )
        bench.decisions.reports.clear()
        _, events = await run_stream(bench)
    assert delivered(events) == expected_tokens(PROMPT, TOKENS, '3')
    assert called(bench) == ['a', 'b']
