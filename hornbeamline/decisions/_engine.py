"""Facade of the package for executors and benchmarks."""

from __future__ import annotations

import random
from typing import Final

from hornbeamline.decisions import _metrics, const
from hornbeamline.decisions._admission import Admission
from hornbeamline.decisions._attempts import ExtraAttempts
from hornbeamline.decisions._budgets import CostWeight
from hornbeamline.decisions._calls import CallsInProgress
from hornbeamline.decisions._dispatcher import Dispatcher
from hornbeamline.decisions._fleet import FleetState
from hornbeamline.decisions._types import (
    CallReport,
    DecisionCallback,
    DecisionSettings,
    Dispatch,
    LoadReport,
    Refusal,
    RequestInfo,
    StageCall,
)
from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import Fleet

_TICK_S: Final = 0.05


class DecisionEngine:
    """Makes all decisions of one entry host; runs no task and no timer."""

    def __init__(
        self,
        settings: DecisionSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Initialize with the host's settings, clock and random source."""
        self._clock = clock
        self._state = FleetState(settings, rng)
        self._admission = Admission(rng)
        self._cost = CostWeight()
        self._attempts = ExtraAttempts(self._cost, rng)
        self._calls = CallsInProgress()
        self._dispatcher = Dispatcher(
            self._state,
            self._admission,
            self._calls,
        )

    def update_fleet(self, fleet: Fleet) -> None:
        """Apply a new revision of inventory and rules.

        Queued calls of removed services are refused.
        """
        now = self._clock.monotonic()
        removed = self._state.update(fleet, now)
        self._cost.update(fleet.rules.cost)
        self._admission.update(
            fleet,
            self._state.pools_by_name,
            self._state.planner,
        )
        for pool in removed:
            self._dispatcher.refuse_all(pool, now)
        self._drain_all(now)

    def update_unavailable(self, targets: frozenset[str]) -> None:
        """Set the targets that membership excludes from new work."""
        now = self._clock.monotonic()
        self._state.update_unavailable(targets, now)
        self._drain_all(now)

    def admit(self, request: RequestInfo) -> Refusal | None:
        """Admit a request, or return the refusal.

        The caller ends each admitted request with `finish_request`.
        """
        if self._state.fleet is None:
            return self._refuse_without_pool()
        now = self._clock.monotonic()
        self._state.review(request.pipeline, now)
        return self._admission.admit(request, now)

    def finish_request(self, request: RequestInfo) -> None:
        """End an admitted request; idempotent."""
        self._admission.finish(request)

    def submit(self, call: StageCall, on_decision: DecisionCallback) -> None:
        """Request a dispatch; `on_decision` is called once, now or later.

        A later decision is made within the `submit` of another call, or within
        `finished`, `tick`, `update_fleet` or `update_unavailable`.
        """
        now = self._clock.monotonic()
        pool = self._state.pool_of(call)
        if pool is None:
            on_decision(self._refuse_without_pool())
            return
        self._state.review_pool(pool, now)
        self._dispatcher.submit(call, on_decision, pool, now)

    def withdraw(self, call: StageCall) -> None:
        """Remove a submitted call from the queue if it is undecided."""
        pool = self._state.pool_of(call)
        waiting = None if pool is None else pool.queue.find(call)
        if pool is not None and waiting is not None:
            pool.queue.remove(waiting)

    def finished(self, dispatch: Dispatch, report: CallReport) -> None:
        """Record the end of a dispatched call; idempotent."""
        now = self._clock.monotonic()
        pool = self._calls.finished(dispatch, report, now)
        if pool is not None:
            self._dispatcher.drain(pool, now)

    def record_first_token(self, dispatch: Dispatch, duration_s: float) -> None:
        """Record the time to the first token of a stream."""
        now = self._clock.monotonic()
        self._calls.record_first_token(dispatch, duration_s, now)

    def hedge_delay_s(self, dispatch: Dispatch) -> float | None:
        """Return the delay before a hedge in seconds, or None for no hedge."""
        pool = self._state.pool_of(dispatch.call)
        if pool is None:
            return None
        tokens = self._state.tokens_of(dispatch.call)
        now = self._clock.monotonic()
        return self._attempts.hedge_delay_s(pool, dispatch, tokens, now)

    def take_hedge(self, dispatch: Dispatch) -> bool:
        """Spend a hedge from the budget; return whether it is granted."""
        pool = self._state.pool_of(dispatch.call)
        if pool is None:
            return False
        wall_ms = self._clock.wall_ms()
        return self._attempts.take_hedge(pool, dispatch, wall_ms)

    def retry_delay_s(
        self,
        dispatch: Dispatch,
        report: CallReport,
    ) -> float | Refusal:
        """Return the delay before a retry in seconds, or the refusal.

        A returned delay spends one retry from the budget.
        """
        now = self._clock.monotonic()
        pool = self._state.pool_of(dispatch.call)
        if pool is None:
            return self._refuse_without_pool()
        plan = self._state.plan(dispatch.call, now)
        answer = self._attempts.take_retry(pool, dispatch, report, plan, now)
        if isinstance(answer, str):
            return self._admission.refuse(answer, pool, now)
        return answer

    def live_by_version(self, service: str) -> dict[str, int]:
        """Return a service's number of live targets by software version."""
        pool = self._state.pools_by_name.get(service)
        return {} if pool is None else pool.live_by_version()

    def load_reported(self, target: str, report: LoadReport) -> None:
        """Apply a load report of a target."""
        record = self._state.records_by_name.get(target)
        if record is not None:
            record.report_load(report, self._clock.monotonic())

    def version_stated(self, target: str, software_version: str) -> None:
        """Apply the software version that a target has stated."""
        record = self._state.records_by_name.get(target)
        if record is not None:
            record.version_stated(software_version)

    def prefix_cached(self, target: str, prefix: str, *, held: bool) -> None:
        """Apply a cache event of a target; events may be late or lost."""
        record = self._state.records_by_name.get(target)
        if record is None:
            return
        pool = self._state.pools_by_name[record.entry.service]
        if held:
            pool.affinity.record_holder(prefix, target, self._clock.monotonic())
        else:
            pool.affinity.remove_holder(prefix, target)

    def tick(self) -> float | None:
        """Expire queued calls; return the seconds until the next tick.

        Returns None if no call is queued.
        """
        now = self._clock.monotonic()
        is_waiting = False
        for pool in list(self._state.pools_by_name.values()):
            if pool.queue:
                self._state.review_pool(pool, now)
                self._dispatcher.expire(pool, now)
                self._dispatcher.drain(pool, now)
                is_waiting = is_waiting or bool(pool.queue)
        return _TICK_S if is_waiting else None

    def in_flight(self, target: str) -> int:
        """Return the number of this host's calls in flight at a target."""
        record = self._state.records_by_name.get(target)
        return 0 if record is None else record.in_flight

    def _refuse_without_pool(self) -> Refusal:
        _metrics.refusals.add('', const.REASON_NO_TARGET)
        return Refusal(const.REASON_NO_TARGET, 1)

    def _drain_all(self, now: float) -> None:
        for pool in list(self._state.pools_by_name.values()):
            self._dispatcher.refuse_unroutable(pool, now)
            self._dispatcher.drain(pool, now)
