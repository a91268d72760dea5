"""Tests of pipelines with a stage that may run at most once."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import pytest

from hornbeamline.decisions import Refusal
from hornbeamline.exceptions import LedgerError
from hornbeamline.ledger import ClaimState
from hornbeamline.pipeline import OutcomeKind
from hornbeamline.standins import Faults
from tests.pipeline.support import bench_for, request
from tests.serving import fleet_with, serving, until

NOT_RUN = OutcomeKind.not_run
UNKNOWN = OutcomeKind.unknown


@contextlib.asynccontextmanager
async def filing_pipeline(
    faults: Faults | None = None,
    later_faults: Faults | None = None,
    **options: Any,
):
    """Yield a bench and the target of its only non-repeatable stage.

    The pipeline `file` has three stages. The second one, `desk`, stands for
    an external filing that must not be made twice; the others are repeatable.
    """
    async with (
        serving(name='lookup') as lookup,
        serving(name='desk', faults=faults, **options) as desk,
        serving(name='notice', faults=later_faults) as notice,
    ):
        fleet = fleet_with(
            {'lookup': [lookup], 'desk': [desk], 'notice': [notice]},
            {'file': ['lookup', 'desk', 'notice']},
            non_repeatable=frozenset(('desk',)),
        )
        async with bench_for(fleet) as bench:
            # The non-repeatable stage must not use the retry allowance.
            bench.decisions.retries = 2
            yield bench, desk


async def test_answered_filing_runs_once() -> None:
    """Guards against a second execution when a request is resent."""
    async with filing_pipeline() as (bench, desk):
        first = await bench.executor.run(request('file', key='k'))
        await bench.executor.wait_idle(1)
        again = await bench.executor.run(request('file', key='k'))
        assert desk.executions_by_key == {'cement/k/desk': 1}
    assert first.kind is again.kind is OutcomeKind.answered
    assert again.output == first.output
    assert bench.claims.states == [
        ClaimState.claimed,
        ClaimState.sending,
        ClaimState.answered,
    ]
    assert bench.claims.send_by_s[0] <= 3


@pytest.mark.parametrize(
    ('faults', 'reason'),
    [
        (Faults(reset_after_execution=True), 'target_failed'),
        (Faults(error=True), 'target_failed'),
        (Faults(wrong_request_id=True), 'target_failed'),
        (Faults(slow=2000), 'target_timed_out'),
    ],
)
async def test_lost_answer_is_unknown(faults: Faults, reason: str) -> None:
    """Guards against a retry, or "not run", after the stage executed."""
    async with filing_pipeline(faults) as (bench, desk):
        outcome = await bench.executor.run(
            request('file', key='k', deadline_s=0.5),
        )
        await bench.executor.wait_idle(1)
        desk.set_faults(Faults())
        again = await bench.executor.run(request('file', key='k'))
        assert desk.executions_by_key == {'cement/k/desk': 1}
    assert outcome.kind is again.kind is OutcomeKind.unknown
    assert outcome.reason == reason
    assert bench.claims.states[-1] is ClaimState.unknown


async def test_refused_filing_is_not_run_and_may_be_claimed_again() -> None:
    """Guards against "unknown" for a stage that provably did not run."""
    async with filing_pipeline(Faults(refuse=True)) as (bench, desk):
        outcome = await bench.executor.run(request('file', key='k'))
        await bench.executor.wait_idle(1)
        assert outcome.kind is OutcomeKind.not_run
        assert outcome.reason == 'target_refused'
        assert desk.executions_by_key == {}
        desk.set_faults(Faults())
        again = await bench.executor.run(request('file', key='k'))
        assert again.kind is OutcomeKind.answered
        assert desk.executions_by_key == {'cement/k/desk': 1}


async def test_later_failure_is_partially_run() -> None:
    """Guards against "not run", or a lost output, after a later failure.

    The stage after the non-repeatable one is refused by its target.
    """
    async with filing_pipeline(later_faults=Faults(refuse=True)) as (
        bench,
        desk,
    ):
        outcome = await bench.executor.run(request('file', key='k'))
        await bench.executor.wait_idle(1)
        found = await bench.executor.lookup('cement', 'k')
        assert desk.executions_by_key == {'cement/k/desk': 1}
    for each in (outcome, found):
        assert each.kind is OutcomeKind.unknown
        assert each.reason == 'partially_run'
        assert each.output['target'] == 'desk'


@pytest.mark.parametrize(
    ('attribute', 'value', 'kind', 'reason'),
    [
        ('marking_fails', True, NOT_RUN, 'sending_not_recorded'),
        ('sending_allowed', False, NOT_RUN, 'send_by_passed'),
        # Another host may have run an earlier request with this key.
        ('refusal', 'ledger_unavailable', UNKNOWN, 'ledger_unavailable'),
        ('refusal', 'no_session', UNKNOWN, 'no_session'),
        ('refusal', 'key_reused', NOT_RUN, 'key_reused'),
    ],
)
async def test_nothing_is_sent_without_the_ledger(
    attribute: str,
    value: Any,
    kind: OutcomeKind,
    reason: str,
) -> None:
    """Guards against a call that the ledger has not permitted.

    It also guards against "not run" without proof.
    """
    async with filing_pipeline() as (bench, desk):
        setattr(bench.claims, attribute, value)
        outcome = await bench.executor.run(request('file', key='k'))
        assert desk.executions_by_key == {}
    assert outcome.kind is kind
    assert outcome.reason == reason


async def test_unavailable_ledger_is_no_proof_of_not_run() -> None:
    """Guards against "not run" for a key that ran at another host.

    The ledger is unavailable when a host that stops refuses the request.
    """
    async with filing_pipeline() as (bench, _):
        await bench.executor.run(request('file', key='k'))

        async def unavailable_lookup(account: str, key: str) -> None:
            raise LedgerError(f'no quorum for {account} {key}')

        bench.claims.lookup = unavailable_lookup
        refusal = Refusal('stopping', 1)
        outcome = await bench.executor.refuse(request('file', key='k'), refusal)
        other = await bench.executor.refuse(request('text'), refusal)
    assert outcome.kind is OutcomeKind.unknown
    assert outcome.retry_after_s > 0
    assert other.kind is OutcomeKind.not_run


async def test_reused_key_with_another_body_is_refused() -> None:
    """Guards against the answer of another request under the same key."""
    async with filing_pipeline() as (bench, desk):
        await bench.executor.run(request('file', key='k', levy=1))
        other = await bench.executor.run(request('file', key='k', levy=2))
        assert desk.executions_by_key == {'cement/k/desk': 1}
    assert other.reason == 'key_reused'


async def test_caller_that_leaves_does_not_stop_a_filing() -> None:
    """Guards against aborting a sent call when the caller disconnects."""
    async with filing_pipeline(service_ms=200) as (bench, desk):
        running = asyncio.create_task(
            bench.executor.run(request('file', key='k')),
        )
        await until(lambda: desk.executions_by_key)
        running.cancel()
        assert await bench.executor.wait_idle(2)
        found = await bench.executor.lookup('cement', 'k')
        assert desk.executions_by_key == {'cement/k/desk': 1}
        assert desk.cancelled == []
    assert found.kind is OutcomeKind.answered


async def test_concurrent_resends_share_one_execution() -> None:
    """Guards against two executions if a request is resent while it runs."""
    async with filing_pipeline(service_ms=400) as (bench, desk):
        outcomes = await asyncio.gather(
            *(bench.executor.run(request('file', key='k')) for _ in range(5)),
        )
        slow_run = asyncio.create_task(
            bench.executor.run(request('file', key='other')),
        )
        await until(lambda: 'cement/other/desk' in desk.executions_by_key)
        timed_out = await bench.executor.run(
            request('file', key='other', deadline_s=0.01),
        )
        await slow_run
        assert desk.executions_by_key == {
            'cement/k/desk': 1,
            'cement/other/desk': 1,
        }
    assert {each.kind for each in outcomes} == {OutcomeKind.answered}
    assert timed_out.kind is OutcomeKind.unknown
    assert timed_out.reason == 'in_progress'


async def test_refusal_of_a_used_key_tells_its_outcome() -> None:
    """Guards against "not run" for the resend of a request that ran."""
    async with filing_pipeline() as (bench, _):
        await bench.executor.run(request('file', key='k'))
        await bench.executor.wait_idle(1)
        bench.source.holds_lease = lambda: False
        known = await bench.executor.run(request('file', key='k'))
        new = await bench.executor.run(request('file', key='new'))
    assert known.kind is OutcomeKind.answered
    assert new.kind is OutcomeKind.not_run
    assert new.reason == 'no_lease'


async def test_internal_error_after_the_dispatch_is_unknown(
    monkeypatch,
) -> None:
    """Guards against "not run" if an internal error follows the call."""
    async with filing_pipeline() as (bench, desk):
        original_call = bench.client.call

        async def failing_call(name, target, call):
            answer = await original_call(name, target, call)
            if name == 'desk':
                raise RuntimeError('fault')
            return answer

        monkeypatch.setattr(bench.client, 'call', failing_call)
        outcome = await bench.executor.run(request('file', key='k'))
        assert desk.executions_by_key == {'cement/k/desk': 1}
    assert outcome.kind is OutcomeKind.unknown
    assert outcome.reason == 'internal_error'
