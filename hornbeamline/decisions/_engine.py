"""Facade that executors and benches call."""

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
    Decided,
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
    """Decides for one entry host; keeps no task and no timer."""

    def __init__(
        self,
        settings: DecisionSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Take the host's place, its time source and random source."""
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
        """Take a new revision of inventory and rules.

        Calls that wait for a service that is gone are refused.
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
        self._serve_all(now)

    def update_unavailable(self, targets: frozenset[str]) -> None:
        """Take the targets that get no new work, by membership."""
        now = self._clock.monotonic()
        self._state.update_unavailable(targets, now)
        self._serve_all(now)

    def admit(self, request: RequestInfo) -> Refusal | None:
        """Admit a request, or refuse it at once.

        Each admitted request is ended by `finish_request`.
        """
        if self._state.fleet is None:
            return self._without_pool()
        now = self._clock.monotonic()
        self._state.review(request.pipeline, now)
        return self._admission.admit(request, now)

    def finish_request(self, request: RequestInfo) -> None:
        """End an admitted request."""
        self._admission.finish(request)

    def submit(self, call: StageCall, decided: Decided) -> None:
        """Ask for a dispatch; `decided` is called once, now or later.

        A later answer comes from inside `finished`, `tick`,
        `update_fleet` or `update_unavailable`.
        """
        now = self._clock.monotonic()
        pool = self._state.pool_of(call)
        if pool is None:
            decided(self._without_pool())
            return
        self._state.review_pool(pool, now)
        self._dispatcher.submit(call, decided, pool, now)

    def withdraw(self, call: StageCall) -> None:
        """Forget a submitted call that has no decision yet."""
        pool = self._state.pool_of(call)
        waiting = None if pool is None else pool.queue.find(call)
        if pool is not None and waiting is not None:
            pool.queue.remove(waiting)

    def finished(self, dispatch: Dispatch, report: CallReport) -> None:
        """Record the end of a dispatched call; ends it exactly once."""
        now = self._clock.monotonic()
        pool = self._calls.finished(dispatch, report, now)
        if pool is not None:
            self._dispatcher.drain(pool, now)

    def first_token(self, dispatch: Dispatch, duration_s: float) -> None:
        """Record the time to the first token of a stream."""
        now = self._clock.monotonic()
        self._calls.first_token(dispatch, duration_s, now)

    def hedge_delay_s(self, dispatch: Dispatch) -> float | None:
        """Return when to ask for a hedge, or None for never."""
        pool = self._state.pool_of(dispatch.call)
        if pool is None:
            return None
        tokens = self._state.tokens_of(dispatch.call)
        now = self._clock.monotonic()
        return self._attempts.hedge_delay_s(pool, dispatch, tokens, now)

    def take_hedge(self, dispatch: Dispatch) -> bool:
        """Return whether the budget allows a hedge now, and spend it."""
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
        """Return the wait before another attempt, or why there is none.

        The budget is spent when a delay is returned.
        """
        now = self._clock.monotonic()
        pool = self._state.pool_of(dispatch.call)
        if pool is None:
            return self._without_pool()
        plan = self._state.plan(dispatch.call, now)
        answer = self._attempts.retry(pool, dispatch, report, plan, now)
        if isinstance(answer, str):
            return self._admission.refuse(answer, pool, now)
        return answer

    def load_reported(self, target: str, report: LoadReport) -> None:
        """Take a load report of a target."""
        record = self._state.records_by_name.get(target)
        if record is not None:
            record.report_load(report, self._clock.monotonic())

    def prefix_cached(self, target: str, prefix: str, *, held: bool) -> None:
        """Take a cache event of an engine; events are late and lossy."""
        record = self._state.records_by_name.get(target)
        if record is None:
            return
        pool = self._state.pools_by_name[record.entry.service]
        if held:
            pool.affinity.note(prefix, target, self._clock.monotonic())
        else:
            pool.affinity.forget(prefix, target)

    def tick(self) -> float | None:
        """Expire queued calls; return seconds until the next tick."""
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
        """Return this host's calls in progress at a target."""
        record = self._state.records_by_name.get(target)
        return 0 if record is None else record.in_flight

    def _without_pool(self) -> Refusal:
        _metrics.refusals.add('', const.REASON_NO_TARGET)
        return Refusal(const.REASON_NO_TARGET, 1)

    def _serve_all(self, now: float) -> None:
        for pool in list(self._state.pools_by_name.values()):
            self._dispatcher.refuse_hopeless(pool, now)
            self._dispatcher.drain(pool, now)
