"""Admission control by rate limit, predicted completion and fair share."""

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

_MIN_RETRY_AFTER_S: Final = 0.1
_MAX_PRIORITY: Final = 9


class AdmittedRequest:
    """An admitted request and its stages that are not dispatched yet."""

    def __init__(
        self,
        account: str,
        weight: float,
        reserve_s: float,
        backlogs: list[Backlog],
    ) -> None:
        """Add the request to the backlogs of all its stages."""
        self.account = account
        self.reserve_s = reserve_s
        self._backlogs = backlogs
        self._dispatched_stages = 0
        for backlog in backlogs:
            backlog.add(account, weight)

    def mark_dispatched(self, stages: int) -> None:
        """Remove the request from the backlogs of the first `stages` stages."""
        while self._dispatched_stages < stages:
            self._backlogs[self._dispatched_stages].remove(self.account)
            self._dispatched_stages += 1

    def release(self) -> None:
        """Remove the request from the backlogs that still count it."""
        self.mark_dispatched(len(self._backlogs))


class RetryAfterPacer:
    """Spreads the retries of refused callers over the drain time.

    Each refusal takes the next slot at the drain rate, so that callers that
    honour `Retry-After` do not return in one burst.
    """

    def __init__(self, rng: random.Random) -> None:
        """Initialize with a random source for the jitter."""
        self._rng = rng
        self._next_slot_at: float = 0

    def retry_after_s(
        self,
        backlog_s: float,
        per_s: float,
        fleet: Fleet,
        now: float,
    ) -> float:
        """Return the value of `Retry-After`, with jitter and capped by rules.

        `backlog_s` is the time until the backlog has drained, and `per_s`
        the drain rate in calls per second.
        """
        rules = fleet.rules.admission
        max_wait_s = rules.max_retry_after_s / (1 + rules.retry_after_jitter)
        self._next_slot_at = max(self._next_slot_at, now + backlog_s)
        if per_s > 0:
            self._next_slot_at += 1 / per_s
        self._next_slot_at = min(self._next_slot_at, now + max_wait_s)
        wait_s = max(_MIN_RETRY_AFTER_S, self._next_slot_at - now)
        return wait_s * (1 + rules.retry_after_jitter * self._rng.random())


class Admission:
    """Decides which requests are admitted and keeps track of them."""

    def __init__(self, rng: random.Random) -> None:
        """Initialize with a random source for the jitter of `Retry-After`."""
        self._rng = rng
        self._admitted: dict[str, AdmittedRequest] = {}
        self._rate_limits: dict[str, RateLimit] = {}
        self._pacers: dict[str, RetryAfterPacer] = {}

    def update(
        self,
        fleet: Fleet,
        pools_by_name: dict[str, Pool],
        planner: DeadlinePlanner,
    ) -> None:
        """Apply a new revision; rate limits of known accounts are kept."""
        self._fleet = fleet
        self._pools_by_name = pools_by_name
        self._planner = planner
        self._host_count = entry_host_count(fleet)
        self._rate_limits = {
            name: limit
            for name, limit in self._rate_limits.items()
            if name in fleet.accounts_by_name
        }
        shares = [each.share for each in fleet.accounts_by_name.values()]
        average = sum(shares) / len(shares) if shares else 1
        self._weights = {
            name: account.share / average
            for name, account in fleet.accounts_by_name.items()
        }

    def admit(self, request: RequestInfo, now: float) -> Refusal | None:
        """Admit a request, or return the refusal."""
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
        refusal = self._check_deadline(request, pools, reserve_s, now)
        if refusal is None:
            refusal = self._check_rate(request, now)
        if refusal is not None:
            return refusal
        # An entry with the same request id is replaced.
        self.finish(request)
        self._admitted[request.request_id] = AdmittedRequest(
            request.account,
            weight,
            reserve_s,
            [pool.backlog for pool in pools],
        )
        return None

    def finish(self, request: RequestInfo) -> None:
        """Remove an admitted request; idempotent."""
        admitted = self._admitted.pop(request.request_id, None)
        if admitted is not None:
            admitted.release()

    def dispatched(self, request: RequestInfo, stage_index: int) -> None:
        """Record that a stage of a request was dispatched."""
        admitted = self._admitted.get(request.request_id)
        if admitted is not None:
            admitted.mark_dispatched(stage_index + 1)

    def reserve_s(self, request: RequestInfo) -> float:
        """Return the safety margin before the deadline, in seconds."""
        admitted = self._admitted.get(request.request_id)
        return 0 if admitted is None else admitted.reserve_s

    def weight(self, account: str) -> float:
        """Return an account's share relative to the average share."""
        return self._weights.get(account, 1)

    def priority(self, request: RequestInfo) -> int:
        """Return the account's priority plus that of the request, clamped."""
        account = self._fleet.accounts_by_name.get(request.account)
        base = 0 if account is None else account.priority
        return min(_MAX_PRIORITY, max(0, base + request.priority))

    def refuse(self, reason: str, pool: Pool | None, now: float) -> Refusal:
        """Count a refusal and return it with a paced `Retry-After`."""
        service = '' if pool is None else pool.name
        _metrics.refusals.add(service, reason)
        backlog_s: float = 0
        per_s = 0 if pool is None else pool.capacity_per_s
        if pool is not None and per_s > 0:
            backlog_s = pool.backlog.total / per_s
        return Refusal(
            reason,
            self._paced_retry_after_s(service, backlog_s, per_s, now),
        )

    def _check_rate(self, request: RequestInfo, now: float) -> Refusal | None:
        account = self._fleet.accounts_by_name.get(request.account)
        if account is None:
            return None
        # Each entry host enforces an equal share of the account's rate.
        per_s = account.max_requests_per_s / self._host_count
        limit = self._rate_limits.get(request.account)
        if limit is None or limit.requests_per_s != per_s:
            limit = RateLimit(per_s, now)
            self._rate_limits[request.account] = limit
        wait_s = limit.wait_s(now)
        if not wait_s:
            return None
        _metrics.refusals.add('', const.REASON_RATE_LIMITED)
        paced_s = self._paced_retry_after_s(
            f'account {request.account}',
            wait_s,
            per_s,
            now,
        )
        return Refusal(const.REASON_RATE_LIMITED, paced_s)

    def _check_deadline(
        self,
        request: RequestInfo,
        pools: list[Pool],
        reserve_s: float,
        now: float,
    ) -> Refusal | None:
        plans = self._planner.plans(request.pipeline, now)
        per_s = [pool.capacity_per_s for pool in pools]
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
        queued_s, bottleneck = self._queueing_time_s(
            request.account, pools, plans
        )
        # The margin for slow calls grows with the predicted queueing time up
        # to the p95, because under load a request that misses its deadline
        # wastes capacity that other requests need.
        tail_margin_s = plans[0].p95_s + plans[0].rest_p95_s - medians_s
        if medians_s + queued_s + min(queued_s, tail_margin_s) > slack_s:
            return self.refuse(const.REASON_OVERLOADED, bottleneck, now)
        return None

    def _queueing_time_s(
        self,
        account: str,
        pools: list[Pool],
        plans: list[StagePlan],
    ) -> tuple[float, Pool]:
        """Return the total queueing time and the last pool with a queue."""
        weight = self.weight(account)
        queued_s: float = 0
        arrives_s: float = 0
        bottleneck = pools[0]
        for pool, plan in zip(pools, plans, strict=True):
            # A backlog that drains before the request arrives adds no wait.
            wait_s = pool.backlog.wait_s(account, weight, pool.capacity_per_s)
            wait_s -= arrives_s
            if wait_s > 0:
                queued_s += wait_s
                arrives_s += wait_s
                bottleneck = pool
            arrives_s += plan.median_s
        return queued_s, bottleneck

    def _paced_retry_after_s(
        self,
        key: str,
        backlog_s: float,
        per_s: float,
        now: float,
    ) -> float:
        pacer = self._pacers.get(key)
        if pacer is None:
            pacer = RetryAfterPacer(self._rng)
            self._pacers[key] = pacer
        return pacer.retry_after_s(backlog_s, per_s, self._fleet, now)
