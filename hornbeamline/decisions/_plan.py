"""Allocation of a request's remaining time to its remaining stages."""

from __future__ import annotations

from typing import Final, NamedTuple

from hornbeamline.decisions._estimates import MEDIAN, P95
from hornbeamline.decisions._pool import Pool
from hornbeamline.inventory import Fleet, Stage

_REFRESH_S: Final = 0.05
_MAX_CACHED_PLANS: Final = 1024
# An attempt that may be retried leaves time for another one.
_FIRST_ATTEMPT_FRACTION: Final = 0.5
# Minimum timeout of a retryable attempt as a multiple of the p95, so that a
# burst that slows down all targets does not cause timeouts.
_MIN_TIMEOUT_P95: Final = 3.0


class StagePlan(NamedTuple):
    """Expected durations of a stage and of all later stages."""

    median_s: float
    p95_s: float
    rest_median_s: float
    rest_p95_s: float


class _CachedPlan(NamedTuple):
    expires_at: float
    plan: StagePlan


class DeadlinePlanner:
    """Computes and caches the expected durations of pipeline stages."""

    def __init__(self, fleet: Fleet, pools_by_name: dict[str, Pool]) -> None:
        """Initialize with the current fleet and the pools of its services."""
        self._fleet = fleet
        self._pools_by_name = pools_by_name
        self._plans_by_pipeline: dict[str, list[StagePlan]] = {}
        self._expires_by_pipeline: dict[str, float] = {}
        self._plans_by_stages: dict[
            tuple[tuple[Stage, ...], int],
            _CachedPlan,
        ] = {}

    def plans(self, pipeline: str, now: float) -> list[StagePlan]:
        """Return the plans of all stages, at most 50 ms old."""
        if now < self._expires_by_pipeline.get(pipeline, now):
            return self._plans_by_pipeline[pipeline]
        found: list[StagePlan] = []
        rest: tuple[float, float] = (0, 0)
        stages = self._fleet.pipelines_by_name[pipeline].stages
        for stage in reversed(stages):
            own = self._durations(stage, stage.max_tokens, now)
            found.append(StagePlan(*own, *rest))
            rest = (rest[0] + own[0], rest[1] + own[1])
        found.reverse()
        self._plans_by_pipeline[pipeline] = found
        self._expires_by_pipeline[pipeline] = now + _REFRESH_S
        return found

    def plan(
        self,
        stages: tuple[Stage, ...],
        max_tokens: int,
        now: float,
    ) -> StagePlan:
        """Return the plan of the first of the remaining stages.

        It is at most 50 ms old. `max_tokens` overrides the first stage's own
        maximum unless it is 0.
        """
        cached = self._plans_by_stages.get((stages, max_tokens))
        if cached is not None and now < cached.expires_at:
            return cached.plan
        if len(self._plans_by_stages) >= _MAX_CACHED_PLANS:
            self._plans_by_stages.clear()
        plan = self._compute_plan(stages, max_tokens, now)
        expires_at = now + _REFRESH_S
        self._plans_by_stages[stages, max_tokens] = _CachedPlan(
            expires_at, plan
        )
        return plan

    def _compute_plan(
        self,
        stages: tuple[Stage, ...],
        max_tokens: int,
        now: float,
    ) -> StagePlan:
        tokens = max_tokens or stages[0].max_tokens
        own = self._durations(stages[0], tokens, now)
        rest = [
            self._durations(stage, stage.max_tokens, now)
            for stage in stages[1:]
            if stage.service in self._pools_by_name
        ]
        return StagePlan(
            *own,
            sum(median_s for median_s, _ in rest),
            sum(p95_s for _, p95_s in rest),
        )

    def _durations(
        self,
        stage: Stage,
        tokens: int,
        now: float,
    ) -> tuple[float, float]:
        estimates = self._pools_by_name[stage.service].estimates
        return (
            estimates.quantile_s(MEDIAN, tokens, now),
            estimates.quantile_s(P95, tokens, now),
        )


def latest_start_at(
    plan: StagePlan,
    deadline_at: float,
    reserve_s: float,
) -> float:
    """Return the latest start of a call that can still meet its deadline."""
    return deadline_at - reserve_s - plan.median_s - plan.rest_median_s


def attempt_timeout_s(
    plan: StagePlan,
    remaining_s: float,
    *,
    may_retry: bool,
) -> float:
    """Return the timeout of one attempt in seconds.

    An attempt that can't be retried gets all the time that the later stages
    do not need. One that can be retried gets half of its stage's share of the
    remaining time, in proportion to the p95, but at least three times its p95
    if the later stages leave that much.
    """
    longest_s = remaining_s - plan.rest_median_s
    if longest_s <= 0:
        return remaining_s
    if not may_retry:
        return longest_s
    part = plan.p95_s / (plan.p95_s + plan.rest_p95_s)
    wanted_s = remaining_s * part * _FIRST_ATTEMPT_FRACTION
    return min(longest_s, max(wanted_s, _MIN_TIMEOUT_P95 * plan.p95_s))
