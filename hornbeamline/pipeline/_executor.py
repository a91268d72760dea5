"""Executor of pipeline requests: admission, claims and outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final, Protocol

from hornbeamline.core import TaskSet
from hornbeamline.decisions import DecisionEngine, Refusal
from hornbeamline.exceptions import LedgerError
from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import Fleet
from hornbeamline.ledger import Claim, ClaimExisting, ClaimRefused
from hornbeamline.pipeline._attempt import ExecutionContext
from hornbeamline.pipeline._claims import Claims
from hornbeamline.pipeline._events import CallerStalledError, TokenEvents
from hornbeamline.pipeline._metrics import OUTCOMES
from hornbeamline.pipeline._records import (
    REASON_IN_PROGRESS,
    REASON_KEY_EXPIRED,
    outcome_from_claim,
    record_from_outcome,
    request_digest,
)
from hornbeamline.pipeline._run import RequestRun, SendGuard
from hornbeamline.pipeline._types import (
    Outcome,
    OutcomeKind,
    PipelineRequest,
)
from hornbeamline.targets import TargetClient, TargetRefusedError
from hornbeamline.telemetry import log_event

REASON_CALLER_STALLED: Final = 'caller_stalled'
REASON_KEY_REQUIRED: Final = 'key_required'
REASON_NO_LEASE: Final = 'no_lease'
REASON_NO_LEDGER: Final = 'ledger_unavailable'
REASON_NO_SESSION: Final = 'no_session'
REASON_UNKNOWN_PIPELINE: Final = 'unknown_pipeline'
REASON_UNKNOWN_CREDENTIAL: Final = 'unknown_credential'
_RETRY_AFTER_S: Final = 1.0
# Limits the ledger lookup that precedes the refusal of a request.
_LOOKUP_TIMEOUT_S: Final = 0.5
_LEDGER_UNAVAILABLE_REASONS: Final = frozenset(
    (REASON_NO_LEDGER, REASON_NO_SESSION),
)


def _ignore_refusal(_target: str, _refusal: TargetRefusedError) -> None:
    """Do nothing; used if no membership service observes refusals."""


class FleetSource(Protocol):
    """Source of the current fleet configuration."""

    @property
    def fleet(self) -> Fleet:
        """Return the current inventory and rules."""

    def holds_lease(self) -> bool:
        """Return whether new requests may start with this configuration."""


class PipelineExecutor:
    """Executes requests as routed by one decision engine."""

    def __init__(
        self,
        fleet_source: FleetSource,
        decisions: DecisionEngine,
        client: TargetClient,
        clock: Clock,
        claims: Claims | None = None,
        on_refused: Callable[[str, TargetRefusedError], None] = _ignore_refusal,
    ) -> None:
        """Create an executor without running requests.

        Without `claims`, every non-repeatable request is refused.
        `on_refused` is called with the name of a target that refused a call,
        and the refusal.
        """
        self._fleet_source = fleet_source
        self._decisions = decisions
        self._clock = clock
        self._claims = claims
        self._tasks = TaskSet()
        # Non-repeatable requests and ledger writes; they continue after the
        # caller has disconnected.
        self._background_tasks: set[asyncio.Task[Any]] = set()
        self._context = ExecutionContext(
            decisions,
            client,
            clock,
            self._tasks,
            lambda: fleet_source.fleet,
            on_refused,
        )

    async def run(
        self,
        request: PipelineRequest,
        events: TokenEvents | None = None,
    ) -> Outcome:
        """Run a request and return its final outcome.

        If the last stage generates tokens, they are sent to `events`.
        Cancelling the call cancels a repeatable request; a non-repeatable
        request continues, and `lookup` returns its outcome by key.
        """
        if self._is_repeatable(request):
            return await self._run_and_count(request, events)
        running = self._spawn_background(self._run_and_count(request, events))
        outcome: Outcome = await asyncio.shield(running)
        return outcome

    async def refuse(
        self,
        request: PipelineRequest,
        refusal: Refusal,
    ) -> Outcome:
        """Return the outcome of a request that is refused.

        A key that was used before keeps its recorded outcome: "not run"
        would be false if the earlier request with this key has run.
        """
        if request.request_key:
            try:
                async with asyncio.timeout(_LOOKUP_TIMEOUT_S):
                    known = await self._recorded_outcome(request)
            except (LedgerError, TimeoutError):
                return _refused_outcome(REASON_NO_LEDGER)
            if known is not None and known.kind is not OutcomeKind.not_run:
                return known
        return Outcome(OutcomeKind.not_run, None, *refusal)

    async def lookup(self, account: str, key: str) -> Outcome | None:
        """Return the outcome of an earlier request, None if unknown.

        A request in progress is `unknown` with reason `in_progress`.
        Raises `LedgerError`.
        """
        if self._claims is None:
            return None
        view = await self._claims.lookup(account, key)
        return None if view is None else outcome_from_claim(view)

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait for non-repeatable requests and ledger writes.

        Return whether all of them ended within `timeout_s`.
        """
        if self._background_tasks:
            await asyncio.wait(self._background_tasks, timeout=timeout_s)
        return not self._background_tasks

    async def _recorded_outcome(
        self,
        request: PipelineRequest,
    ) -> Outcome | None:
        pipelines = self._fleet_source.fleet.pipelines_by_name
        is_known = request.info.pipeline in pipelines
        if is_known and self._is_repeatable(request):
            # Repeatable requests are not recorded in the ledger.
            return None
        return await self.lookup(request.info.account, request.request_key)

    def _is_repeatable(self, request: PipelineRequest) -> bool:
        fleet = self._fleet_source.fleet
        pipeline = request.info.pipeline
        return pipeline not in fleet.pipelines_by_name or fleet.may_repeat(
            pipeline,
        )

    async def _run_and_count(
        self,
        request: PipelineRequest,
        events: TokenEvents | None,
    ) -> Outcome:
        refusal = self._admit(request)
        if refusal is None:
            try:
                outcome = await self._run_admitted(request, events)
            finally:
                self._decisions.finish_request(request.info)
        else:
            outcome = await self.refuse(request, refusal)
        OUTCOMES.labels(
            request.info.pipeline,
            outcome.kind.value,
            outcome.reason,
        ).inc()
        return outcome

    def _admit(self, request: PipelineRequest) -> Refusal | None:
        if not self._fleet_source.holds_lease():
            return Refusal(REASON_NO_LEASE, _RETRY_AFTER_S)
        if (
            request.info.pipeline
            not in self._fleet_source.fleet.pipelines_by_name
        ):
            return Refusal(REASON_UNKNOWN_PIPELINE, _RETRY_AFTER_S)
        if not self._is_credential_valid(request):
            return Refusal(REASON_UNKNOWN_CREDENTIAL, _RETRY_AFTER_S)
        return self._decisions.admit(request.info)

    def _is_credential_valid(self, request: PipelineRequest) -> bool:
        """Return whether the credential is valid in the current revision.

        The caller's credential was checked before the lease. A lease renewal
        in between may have brought a new revision in which the credential
        is no longer valid.
        """
        accounts = self._fleet_source.fleet.accounts_by_name
        account = accounts.get(request.info.account)
        digest = request.credential_sha256
        return not digest or (
            account is not None and account.credential_sha256 == digest
        )

    async def _run_admitted(
        self,
        request: PipelineRequest,
        events: TokenEvents | None,
    ) -> Outcome:
        fleet = self._fleet_source.fleet
        if fleet.may_repeat(request.info.pipeline):
            run = RequestRun(self._context, request, fleet, events)
            return await self._run_to_outcome(run)
        if not request.request_key:
            # The pipeline became non-repeatable after the request arrived.
            return _refused_outcome(REASON_KEY_REQUIRED)
        if self._claims is None:
            # Without a ledger, no host of the fleet runs non-repeatable
            # requests, so "not run" is certain.
            return Outcome(
                OutcomeKind.not_run,
                None,
                REASON_NO_LEDGER,
                _RETRY_AFTER_S,
            )
        decision = await self._claims.claim(
            request.info.account,
            request.request_key,
            request_digest(request),
            self._remaining_s(request),
        )
        if isinstance(decision, ClaimRefused):
            return _refused_outcome(decision.reason)
        if isinstance(decision, ClaimExisting):
            return await self._existing_outcome(request, decision)
        send_guard = SendGuard(self._claims, decision.claim)
        outcome = await self._run_to_outcome(
            RequestRun(self._context, request, fleet, events, send_guard),
        )
        # Recorded in the background, so that the ledger write does not delay
        # the answer to the caller.
        self._spawn_background(self._record_outcome(decision.claim, outcome))
        return outcome

    async def _run_to_outcome(self, run: RequestRun) -> Outcome:
        try:
            return await run.run()
        except CallerStalledError:
            return run.failed_outcome(
                Refusal(REASON_CALLER_STALLED, _RETRY_AFTER_S),
            )
        except Exception as error:
            # The outcome must also be correct after an unexpected error in
            # this process.
            log_event('pipeline.failed', error=repr(error))
            return run.crashed_outcome()

    async def _existing_outcome(
        self,
        request: PipelineRequest,
        existing: ClaimExisting,
    ) -> Outcome:
        assert self._claims is not None
        found = outcome_from_claim(existing.view)
        if found.reason != REASON_IN_PROGRESS:
            return found
        try:
            view = await self._claims.wait_outcome(
                request.info.account,
                request.request_key,
                self._remaining_s(request),
            )
        except LedgerError:
            return found
        return found if view is None else outcome_from_claim(view)

    async def _record_outcome(self, claim: Claim, outcome: Outcome) -> None:
        assert self._claims is not None
        try:
            await self._claims.finish(claim, record_from_outcome(outcome))
        except LedgerError as error:
            # The ledger later ends the claim by itself, as unknown.
            log_event(
                'pipeline.outcome_not_recorded',
                account=claim.account,
                outcome=outcome.kind.value,
                error=str(error),
            )

    def _spawn_background(self, coroutine: Any) -> asyncio.Task[Any]:
        task = self._tasks.spawn(coroutine, 'background request')
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    def _remaining_s(self, request: PipelineRequest) -> float:
        return max(0, request.info.deadline_at - self._clock.monotonic())


def _refused_outcome(reason: str) -> Outcome:
    if reason == REASON_KEY_EXPIRED:
        return Outcome(OutcomeKind.unknown, None, reason)
    if reason in _LEDGER_UNAVAILABLE_REASONS:
        # An earlier request with this key may have run at another host;
        # without the ledger, "not run" cannot be proved.
        return Outcome(OutcomeKind.unknown, None, reason, _RETRY_AFTER_S)
    return Outcome(OutcomeKind.not_run, None, reason, _RETRY_AFTER_S)
