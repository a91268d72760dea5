"""Splits a request's remaining time over its remaining stages."""

from __future__ import annotations

from typing import Final, NamedTuple

from hornbeamline.decisions._estimates import MEDIAN, P95
from hornbeamline.decisions._pool import Pool
from hornbeamline.decisions._types import StageCall
from hornbeamline.inventory import Fleet, Stage

_REFRESH_S: Final = 0.05
# The first attempt at a stage that may be retried leaves time for another.
_FIRST_ATTEMPT_PART: Final = 0.5
# An attempt is never cut before this many p95: a burst that slows all
# targets must not turn into timeouts.
_SHORTEST_P95: Final = 3.0


class StagePlan(NamedTuple):
    """Expected durations of a stage and of the stages after it."""

    median_s: float
    p95_s: float
    rest_median_s: float
    rest_p95_s: float


class DeadlinePlanner:
    """Knows the expected durations of all stages of all pipelines."""

    def __init__(self, fleet: Fleet, pools_by_name: dict[str, Pool]) -> None:
        """Take the fleet in force and the pools of its services."""
        self._fleet = fleet
        self._pools_by_name = pools_by_name
        self._plans_by_pipeline: dict[str, list[StagePlan]] = {}
        self._expires_by_pipeline: dict[str, float] = {}

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

    def plan(self, call: StageCall, now: float) -> StagePlan:
        """Return the plan of one call."""
        pipeline = call.request.pipeline
        plan = self.plans(pipeline, now)[call.stage_index]
        if not call.max_tokens:
            return plan
        stages = self._fleet.pipelines_by_name[pipeline].stages
        stage = stages[call.stage_index]
        median_s, p95_s = self._durations(stage, call.max_tokens, now)
        return plan._replace(median_s=median_s, p95_s=p95_s)

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
    """Return when a call must have started to meet the deadline."""
    return deadline_at - reserve_s - plan.median_s - plan.rest_median_s


def attempt_timeout_s(
    plan: StagePlan,
    remaining_s: float,
    *,
    may_retry: bool,
) -> float:
    """Return the bound of one attempt in seconds.

    An attempt that can't be retried gets all the time that the later
    stages do not need. One that can be retried gets half of its stage's
    part, by p95, of the remaining time.
    """
    longest_s = remaining_s - plan.rest_median_s
    if longest_s <= 0:
        return remaining_s
    if not may_retry:
        return longest_s
    part = plan.p95_s / (plan.p95_s + plan.rest_p95_s)
    wanted_s = remaining_s * part * _FIRST_ATTEMPT_PART
    return min(longest_s, max(wanted_s, _SHORTEST_P95 * plan.p95_s))
