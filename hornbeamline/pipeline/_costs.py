"""Per-stage cost accounting of one request."""

from __future__ import annotations

from typing import Final

from hornbeamline.decisions import CallReport, CallResult, RequestInfo
from hornbeamline.helpers.clock import MS_PER_S
from hornbeamline.inventory import Stage
from hornbeamline.pipeline import _metrics
from hornbeamline.pipeline._types import StageCost

_USE_COUNTED: Final = 'counted'
_USE_WASTED: Final = 'wasted'
# Results that prove that the target spent no time on the call.
_NOT_RUN: Final = frozenset((CallResult.refused, CallResult.unreachable))


class CostMeter:
    """Sums the cost of all attempts of one request."""

    def __init__(self, info: RequestInfo) -> None:
        """Create a meter without costs for the request `info`."""
        self._info = info
        self._costs_by_stage: dict[str, StageCost] = {}

    @property
    def costs(self) -> tuple[StageCost, ...]:
        """Return the costs so far, in order of the stages."""
        return tuple(self._costs_by_stage.values())

    def add(
        self,
        stage: Stage,
        target: str,
        report: CallReport,
        target_ms: float | None = None,
    ) -> None:
        """Add the cost of a finished attempt.

        `target_ms` is the time reported by the target for a successful
        attempt; other attempts are charged their duration. A broken stream
        that delivered tokens counts as useful, because the next attempt
        resumes after them.
        """
        spent_ms = report.duration_s * MS_PER_S
        if target_ms is not None:
            spent_ms = target_ms
        if report.result in _NOT_RUN:
            spent_ms = 0
        useful = report.result is CallResult.succeeded or report.tokens > 0
        previous = self._costs_by_stage.get(
            stage.name,
            StageCost(stage.name, stage.service, target, 0, 0, 0),
        )
        self._costs_by_stage[stage.name] = previous._replace(
            target=target
            if useful or not previous.target_ms
            else previous.target,
            target_ms=previous.target_ms + (spent_ms if useful else 0),
            wasted_ms=previous.wasted_ms + (0 if useful else spent_ms),
            tokens=previous.tokens + report.tokens,
            attempts=previous.attempts + 1,
        )
        self._update_metrics(stage, report, spent_ms, useful=useful)

    def discard(self, stage: Stage) -> None:
        """Count the cost of a stage so far as wasted.

        Called before a stage begins again without its earlier tokens.
        Metrics keep the attempts as they were counted.
        """
        previous = self._costs_by_stage.get(stage.name)
        if previous is None:
            return
        self._costs_by_stage[stage.name] = previous._replace(
            target_ms=0,
            wasted_ms=previous.wasted_ms + previous.target_ms,
            tokens=0,
        )

    def _update_metrics(
        self,
        stage: Stage,
        report: CallReport,
        spent_ms: float,
        *,
        useful: bool,
    ) -> None:
        use = _USE_COUNTED if useful else _USE_WASTED
        spent_s = spent_ms / MS_PER_S
        pipeline = self._info.pipeline
        account = _metrics.account_label(self._info.account)
        _metrics.ATTEMPTS.labels(
            pipeline,
            stage.name,
            report.result.value,
        ).inc()
        _metrics.STAGE_SECONDS.labels(pipeline, stage.name, use).inc(spent_s)
        _metrics.ACCOUNT_SECONDS.labels(account, use).inc(spent_s)
        if report.tokens:
            _metrics.STAGE_TOKENS.labels(pipeline, stage.name).inc(
                report.tokens,
            )
            _metrics.ACCOUNT_TOKENS.labels(account).inc(report.tokens)
