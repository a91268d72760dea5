"""Executor, decisions and ledger for the tests of pipelines."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator
from typing import Any

from hornbeamline.configuration import StaticFleetSource
from hornbeamline.decisions import (
    CallReport,
    CallResult,
    DecisionEngine,
    DecisionSettings,
    Dispatch,
    Refusal,
    RequestInfo,
)
from hornbeamline.exceptions import LedgerError
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.inventory import Fleet
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
    """Dispatches to the first usable target and allows what a test sets."""

    def __init__(self, fleet: Fleet) -> None:
        """Take the fleet in force."""
        place = DecisionSettings('entry-1', 'dc-a')
        super().__init__(place, CLOCK, random.Random(1))
        self.retries = 0
        self.hedge_after_s: float | None = None
        self.attempt_timeout_s: float | None = None
        self.reports: list[tuple[str, CallReport]] = []
        self.prefixes: list[str] = []
        self._newest = fleet
        self._dispatched: dict[int, str] = {}
        self._ids = itertools.count(1)

    def update_fleet(self, fleet: Fleet) -> None:
        """Take a new revision."""
        self._newest = fleet

    def admit(self, request: RequestInfo) -> Refusal | None:
        """Admit every request."""

    def finish_request(self, request: RequestInfo) -> None:
        """Keep no record of requests."""

    def submit(self, call, decided) -> None:
        """Dispatch to the first usable target by name."""
        self.prefixes.append(call.prefix)
        pipeline = self._newest.pipelines_by_name[call.request.pipeline]
        service = pipeline.stages[call.stage_index].service
        names = sorted(self._newest.targets_of(service).keys() - call.excluded)
        if not names:
            decided(Refusal('no_target', 1))
            return
        dispatch_id = next(self._ids)
        self._dispatched[dispatch_id] = names[0]
        remaining_s = call.request.deadline_at - CLOCK.monotonic()
        timeout_s = self.attempt_timeout_s or remaining_s
        decided(Dispatch(dispatch_id, call, names[0], timeout_s))

    def withdraw(self, call) -> None:
        """Keep no queue."""

    def first_token(self, dispatch: Dispatch, duration_s: float) -> None:
        """Keep no estimates."""

    def finished(self, dispatch: Dispatch, report: CallReport) -> None:
        """Record each report; a second one of a dispatch fails."""
        self._dispatched.pop(dispatch.dispatch_id)
        self.reports.append((dispatch.target, report))

    def in_flight(self, target: str) -> int:
        """Return the dispatches without a report."""
        return list(self._dispatched.values()).count(target)

    def hedge_delay_s(self, dispatch: Dispatch) -> float | None:
        """Return the delay that the test set."""
        return self.hedge_after_s

    def take_hedge(self, dispatch: Dispatch) -> bool:
        """Allow every hedge."""
        return True

    def retry_delay_s(self, dispatch, report) -> float | Refusal:
        """Allow as many retries as the test set."""
        if not self.retries:
            return Refusal('retry_budget_exhausted', 1)
        self.retries -= 1
        return 0

    def results(self) -> list[CallResult]:
        """Return the ends of all attempts."""
        return [report.result for _, report in self.reports]


class MemoryClaims:
    """Ledger in memory, with the interface of the ledger client."""

    def __init__(self) -> None:
        """Create an empty ledger."""
        self.states: list[ClaimState] = []
        self.views: dict[tuple[str, str], ClaimView] = {}
        self.marking_fails = False
        self.sending_allowed = True
        self.refusal = ''
        self.send_by_s: list[float] = []
        self._ended = asyncio.Condition()

    async def claim(
        self,
        account: str,
        key: str,
        digest: str,
        deadline_s: float,
    ) -> ClaimDecision:
        """Claim a key, or return what is known of it."""
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
        """Record SENDING, or fail as a ledger without quorum does."""
        await asyncio.sleep(0)
        if self.marking_fails:
            raise LedgerError('no quorum')
        self.send_by_s.append(send_by_s)
        view = self.views[claim.account, claim.request_key]
        self._put(view._replace(state=ClaimState.sending))
        return SendPermit(claim, CLOCK.monotonic() + send_by_s)

    def may_send(self, permit: SendPermit) -> bool:
        """Return what the test set."""
        return self.sending_allowed

    async def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Record the outcome."""
        view = self.views[claim.account, claim.request_key]
        self._put(view._replace(state=outcome.state, outcome=outcome))
        async with self._ended:
            self._ended.notify_all()

    async def lookup(self, account: str, key: str) -> ClaimView | None:
        """Return a claim."""
        return self.views.get((account, key))

    async def wait_outcome(
        self,
        account: str,
        key: str,
        timeout_s: float,
    ) -> ClaimView | None:
        """Return a claim once it has an outcome."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self._ended:
                await self._ended.wait_for(
                    lambda: self.views[account, key].outcome is not None,
                )
        return self.views[account, key]

    def _put(self, view: ClaimView) -> None:
        self.views[view.account, view.request_key] = view
        self.states.append(view.state)


class Bench:
    """An executor with everything it needs."""

    def __init__(self, fleet: Fleet) -> None:
        """Take the fleet in force."""
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
    """Run an executor; at the end every dispatch must be reported."""
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
    """Return a request of the account cement."""
    info = RequestInfo(
        request_id,
        'cement',
        pipeline,
        CLOCK.monotonic() + deadline_s,
    )
    return PipelineRequest(info, key, fields or {'prompt': 'levy report'})
