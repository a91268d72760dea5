"""Executor, decision engine and claim ledger for pipeline tests."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from hornbeamline.configuration import StaticFleetSource
from hornbeamline.decisions import (
    CallReport,
    CallResult,
    DecisionEngine,
    DecisionSettings,
    Dispatch,
    Refusal,
    RequestInfo,
    algorithm,
)
from hornbeamline.exceptions import LedgerError
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.inventory import Fleet, RoutingRules
from hornbeamline.ledger import (
    Claim,
    ClaimDecision,
    ClaimExisting,
    ClaimGranted,
    ClaimOutcome,
    ClaimRefused,
    ClaimState,
    ClaimView,
    SendPermit,
)
from hornbeamline.pipeline import PipelineExecutor, PipelineRequest
from hornbeamline.targets import TargetClient

CLOCK = SystemClock()


class ScriptedDecisions(DecisionEngine):
    """Decision engine with routing, retries and hedging set by a test."""

    def __init__(self, fleet: Fleet) -> None:
        """Create an engine that allows no retries and no hedging."""
        settings = DecisionSettings('entry-1', 'dc-a')
        super().__init__(settings, CLOCK, random.Random(1))
        self.update_fleet(fleet)
        self.retries = 0
        self.hedge_after_s: float | None = None
        self.attempt_timeout_s: float | None = None
        self.reports: list[tuple[str, CallReport]] = []
        self.prefixes: list[str] = []

    def update_fleet(self, fleet: Fleet) -> None:
        """Replace the fleet, but keep the routing algorithm of the tests."""
        routing = RoutingRules(algorithm='first_by_name')
        rules = msgspec.structs.replace(fleet.rules, routing=routing)
        super().update_fleet(msgspec.structs.replace(fleet, rules=rules))

    def submit(self, call, decided) -> None:
        """Record the prefix and apply the attempt timeout of the test."""
        self.prefixes.append(call.prefix)

        def with_test_timeout(answer: Dispatch | Refusal) -> None:
            if isinstance(answer, Dispatch) and self.attempt_timeout_s:
                answer = answer._replace(timeout_s=self.attempt_timeout_s)
            decided(answer)

        super().submit(call, with_test_timeout)

    def finished(self, dispatch: Dispatch, report: CallReport) -> None:
        """Record the report."""
        super().finished(dispatch, report)
        self.reports.append((dispatch.target, report))

    def hedge_delay_s(self, dispatch: Dispatch) -> float | None:
        """Return the delay set by the test."""
        return self.hedge_after_s

    def take_hedge(self, dispatch: Dispatch) -> bool:
        """Allow every hedge."""
        return True

    def retry_delay_s(self, dispatch, report) -> float | Refusal:
        """Allow as many retries as set by the test."""
        if not self.retries:
            return Refusal('retry_budget_exhausted', 1)
        self.retries -= 1
        return 0

    def results(self) -> list[CallResult]:
        """Return the results of all attempts, in order of their ends."""
        return [report.result for _, report in self.reports]


@algorithm('first_by_name')
def first_by_name(view, call):
    """Choose the first target by name, for a predictable order."""
    names = sorted(
        record.name
        for record in (
            *view.local_candidates.records,
            *view.remote_candidates.records,
        )
        if record.name not in call.excluded
    )
    return view.records_by_name[names[0]] if names else None


class MemoryClaims:
    """In-memory ledger with the interface of the ledger client."""

    def __init__(self) -> None:
        """Create an empty ledger."""
        self.states: list[ClaimState] = []
        self.views: dict[tuple[str, str], ClaimView] = {}
        self.marking_fails = False
        self.sending_allowed = True
        self.refusal = ''
        self.send_by_s: list[float] = []
        self._outcome_recorded = asyncio.Condition()

    async def claim(
        self,
        account: str,
        key: str,
        digest: str,
        deadline_s: float,
    ) -> ClaimDecision:
        """Claim a key, or return its existing claim."""
        await asyncio.sleep(0)
        if self.refusal:
            return ClaimRefused(self.refusal)
        known = self.views.get((account, key))
        if known is not None and known.body_digest != digest:
            return ClaimRefused('key_reused')
        if known is not None and known.state is not ClaimState.not_run:
            return ClaimExisting(known)
        attempt = 1 if known is None else known.attempt + 1
        self._put(
            ClaimView(account, key, digest, attempt, ClaimState.claimed, None),
        )
        return ClaimGranted(Claim(account, key, attempt, 1, attempt))

    async def mark_sending(self, claim: Claim, send_by_s: float) -> SendPermit:
        """Record the state `sending`, or fail like a ledger without quorum."""
        await asyncio.sleep(0)
        if self.marking_fails:
            raise LedgerError('no quorum')
        self.send_by_s.append(send_by_s)
        view = self.views[claim.account, claim.request_key]
        self._put(view._replace(state=ClaimState.sending))
        return SendPermit(claim, CLOCK.monotonic() + send_by_s)

    def may_send(self, permit: SendPermit) -> bool:
        """Return the answer set by the test."""
        return self.sending_allowed

    async def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Record the outcome and notify waiting requests."""
        view = self.views[claim.account, claim.request_key]
        self._put(view._replace(state=outcome.state, outcome=outcome))
        async with self._outcome_recorded:
            self._outcome_recorded.notify_all()

    async def lookup(self, account: str, key: str) -> ClaimView | None:
        """Return a claim, or None if the key is unknown."""
        return self.views.get((account, key))

    async def wait_outcome(
        self,
        account: str,
        key: str,
        timeout_s: float,
    ) -> ClaimView | None:
        """Return a claim when it has an outcome or on timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self._outcome_recorded:
                await self._outcome_recorded.wait_for(
                    lambda: self.views[account, key].outcome is not None,
                )
        return self.views[account, key]

    def _put(self, view: ClaimView) -> None:
        self.views[view.account, view.request_key] = view
        self.states.append(view.state)


class Bench:
    """Test bench: an executor with its dependencies."""

    def __init__(self, fleet: Fleet) -> None:
        """Create an executor for `fleet`."""
        self.source = StaticFleetSource(fleet)
        self.decisions = ScriptedDecisions(fleet)
        self.client = TargetClient()
        self.claims = MemoryClaims()
        self.executor = PipelineExecutor(
            self.source,
            self.decisions,
            self.client,
            CLOCK,
            self.claims,
        )


@contextlib.asynccontextmanager
async def bench_for(fleet: Fleet) -> AsyncIterator[Bench]:
    """Yield a started bench; check that all dispatches are reported."""
    bench = Bench(fleet)
    await bench.client.start()
    try:
        yield bench
        await bench.executor.wait_idle(2)
        for target in fleet.targets_by_name:
            assert bench.decisions.in_flight(target) == 0
    finally:
        await bench.client.stop()


def request(
    pipeline: str,
    *,
    key: str = '',
    deadline_s: float = 3,
    request_id: str = 'r-1',
    **fields: Any,
) -> PipelineRequest:
    """Return a request of the client account `cement`."""
    info = RequestInfo(
        request_id,
        'cement',
        pipeline,
        CLOCK.monotonic() + deadline_s,
    )
    return PipelineRequest(info, key, fields or {'prompt': 'levy report'})
