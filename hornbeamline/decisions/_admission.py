"""Admission of requests by rate, predicted finish and fair share."""

from __future__ import annotations

import random
from typing import Final

from hornbeamline.decisions import _metrics, const
from hornbeamline.decisions._backlog import Backlog
from hornbeamline.decisions._plan import DeadlinePlanner, StagePlan
from hornbeamline.decisions._pool import Pool
from hornbeamline.decisions._rates import RateLimit
from hornbeamline.decisions._targets import entry_host_count
from hornbeamline.decisions._types import Refusal, RequestInfo
from hornbeamline.inventory import Fleet

_SHORTEST_RETRY_AFTER_S: Final = 0.1
_HIGHEST_PRIORITY: Final = 9


class Admitted:
    """An admitted request and the stages that it still needs."""

    def __init__(
        self,
        account: str,
        weight: float,
        reserve_s: float,
        backlogs: list[Backlog],
    ) -> None:
        """Count the request at all its stages."""
        self.account = account
        self.reserve_s = reserve_s
        self._backlogs = backlogs
        self._passed = 0
        for backlog in backlogs:
            backlog.add(account, weight)

    def passed(self, stages: int) -> None:
        """Count the first `stages` stages as dispatched."""
        while self._passed < stages:
            self._backlogs[self._passed].remove(self.account)
            self._passed += 1

    def ended(self) -> None:
        """Count no stage any more."""
        self.passed(len(self._backlogs))


class ReturnPacer:
    """Spreads the callers that were refused over the time to drain.

    Each refusal takes the next slot at the drain rate, so that callers who
    wait as told do not come back in the burst in which they were refused.
    """

    def __init__(self, rng: random.Random) -> None:
        """Take a random source."""
        self._rng = rng
        self._slot_at: float = 0

    def retry_after_s(
        self,
        backlog_s: float,
        per_s: float,
        fleet: Fleet,
        now: float,
    ) -> float:
        """Return the wait to tell, with jitter, under the rules' cap."""
        rules = fleet.rules.admission
        most_s = rules.max_retry_after_s / (1 + rules.retry_after_jitter)
        self._slot_at = max(self._slot_at, now + backlog_s)
        if per_s > 0:
            self._slot_at += 1 / per_s
        self._slot_at = min(self._slot_at, now + most_s)
        wait_s = max(_SHORTEST_RETRY_AFTER_S, self._slot_at - now)
        return wait_s * (1 + rules.retry_after_jitter * self._rng.random())


class Admission:
    """Decides which requests start, and keeps count of them."""

    def __init__(self, rng: random.Random) -> None:
        """Take a random source for the jitter of `Retry-After`."""
        self._rng = rng
        self._admitted: dict[str, Admitted] = {}
        self._rates: dict[str, RateLimit] = {}
        self._pacers: dict[str, ReturnPacer] = {}

    def update(
        self,
        fleet: Fleet,
        pools_by_name: dict[str, Pool],
        planner: DeadlinePlanner,
    ) -> None:
        """Take a new revision."""
        self._fleet = fleet
        self._pools_by_name = pools_by_name
        self._planner = planner
        self._host_count = entry_host_count(fleet)
        self._rates = {
            name: rate
            for name, rate in self._rates.items()
            if name in fleet.accounts_by_name
        }
        shares = [each.share for each in fleet.accounts_by_name.values()]
        average = sum(shares) / len(shares) if shares else 1
        self._weights = {
            name: account.share / average
            for name, account in fleet.accounts_by_name.items()
        }

    def admit(self, request: RequestInfo, now: float) -> Refusal | None:
        """Admit a request or return why not."""
        if request.deadline_at <= now:
            return self.refuse(const.REASON_DEADLINE_EXCEEDED, None, now)
        pipeline = self._fleet.pipelines_by_name.get(request.pipeline)
        if pipeline is None:
            return self.refuse(const.REASON_NO_TARGET, None, now)
        pools = [
            self._pools_by_name[stage.service] for stage in pipeline.stages
        ]
        reserve = self._fleet.rules.admission.deadline_reserve
        reserve_s = reserve * (request.deadline_at - now)
        weight = self.weight(request.account)
        refusal = self._check_time(request, pools, reserve_s, now)
        if refusal is None:
            refusal = self._check_rate(request, now)
        if refusal is not None:
            return refusal
        # A request id that is admitted again replaces its earlier entry.
        self.finish(request)
        self._admitted[request.request_id] = Admitted(
            request.account,
            weight,
            reserve_s,
            [pool.backlog for pool in pools],
        )
        return None

    def finish(self, request: RequestInfo) -> None:
        """Forget an admitted request; a second time changes nothing."""
        admitted = self._admitted.pop(request.request_id, None)
        if admitted is not None:
            admitted.ended()

    def dispatched(self, request: RequestInfo, stage_index: int) -> None:
        """Count a stage of a request as started."""
        admitted = self._admitted.get(request.request_id)
        if admitted is not None:
            admitted.passed(stage_index + 1)

    def reserve_s(self, request: RequestInfo) -> float:
        """Return the time that predictions keep in reserve."""
        admitted = self._admitted.get(request.request_id)
        return 0 if admitted is None else admitted.reserve_s

    def weight(self, account: str) -> float:
        """Return an account's share relative to the average share."""
        return self._weights.get(account, 1)

    def priority(self, request: RequestInfo) -> int:
        """Return the caller's priority on top of its account's."""
        account = self._fleet.accounts_by_name.get(request.account)
        base = 0 if account is None else account.priority
        return min(_HIGHEST_PRIORITY, max(0, base + request.priority))

    def refuse(self, reason: str, pool: Pool | None, now: float) -> Refusal:
        """Count a refusal and say when to come back."""
        service = '' if pool is None else pool.name
        _metrics.refusals.add(service, reason)
        backlog_s: float = 0
        per_s = 0 if pool is None else pool.per_s
        if pool is not None and per_s > 0:
            backlog_s = pool.backlog.total / per_s
        return Refusal(reason, self._paced(service, backlog_s, per_s, now))

    def _check_rate(self, request: RequestInfo, now: float) -> Refusal | None:
        account = self._fleet.accounts_by_name.get(request.account)
        if account is None:
            return None
        # Each entry host enforces its equal part of the account's rate.
        per_s = account.max_requests_per_s / self._host_count
        rate = self._rates.get(request.account)
        if rate is None or rate.requests_per_s != per_s:
            rate = RateLimit(per_s, now)
            self._rates[request.account] = rate
        wait_s = rate.wait_s(now)
        if not wait_s:
            return None
        _metrics.refusals.add('', const.REASON_RATE_LIMITED)
        paced_s = self._paced(f'account {request.account}', wait_s, per_s, now)
        return Refusal(const.REASON_RATE_LIMITED, paced_s)

    def _check_time(
        self,
        request: RequestInfo,
        pools: list[Pool],
        reserve_s: float,
        now: float,
    ) -> Refusal | None:
        plans = self._planner.plans(request.pipeline, now)
        per_s = [pool.per_s for pool in pools]
        if min(per_s) <= 0:
            pool = pools[per_s.index(min(per_s))]
            return self.refuse(const.REASON_NO_TARGET, pool, now)
        if not self._fleet.rules.admission.by_prediction:
            return None
        slack_s = request.deadline_at - reserve_s - now
        medians_s = plans[0].median_s + plans[0].rest_median_s
        if medians_s > slack_s:
            reason = const.REASON_DEADLINE_UNREACHABLE
            return self.refuse(reason, pools[0], now)
        queued_s, slowest = self._queued_s(request.account, pools, plans)
        # The longer the predicted queue, the more certain the finish must be:
        # work on a request that is late in the end is lost to the others.
        tails_s = plans[0].p95_s + plans[0].rest_p95_s - medians_s
        if medians_s + queued_s + min(queued_s, tails_s) > slack_s:
            return self.refuse(const.REASON_OVERLOADED, slowest, now)
        return None

    def _queued_s(
        self,
        account: str,
        pools: list[Pool],
        plans: list[StagePlan],
    ) -> tuple[float, Pool]:
        """Return the time in all queues and the pool with the last one."""
        weight = self.weight(account)
        queued_s: float = 0
        arrives_s: float = 0
        slowest = pools[0]
        for pool, plan in zip(pools, plans, strict=True):
            # A backlog that is gone before the request arrives costs nothing.
            wait_s = pool.backlog.wait_s(account, weight, pool.per_s)
            wait_s -= arrives_s
            if wait_s > 0:
                queued_s += wait_s
                arrives_s += wait_s
                slowest = pool
            arrives_s += plan.median_s
        return queued_s, slowest

    def _paced(
        self,
        key: str,
        backlog_s: float,
        per_s: float,
        now: float,
    ) -> float:
        pacer = self._pacers.get(key)
        if pacer is None:
            pacer = ReturnPacer(self._rng)
            self._pacers[key] = pacer
        return pacer.retry_after_s(backlog_s, per_s, self._fleet, now)
