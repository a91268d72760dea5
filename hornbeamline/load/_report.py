"""Report of a load run: attainment, latency, refusals and cost by stage."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any, Final, TypedDict

from hdrh.histogram import HdrHistogram

from hornbeamline.load._types import Ending, EndingKind

_LOWEST_LATENCY_US: Final = 1
_HIGHEST_LATENCY_US: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 3
_US_PER_S: Final = 1_000_000
_US_PER_MS: Final = 1000
_PERCENT: Final = 100
_PERCENTILES: Final = (50, 99, 99.9)


class PipelineReport(TypedDict):
    """Figures of the run, of one pipeline or of one client account."""

    requests: int
    # Share of requests answered within the deadline, 0 to 1.
    attainment: float
    endings: dict[str, int]
    p50_ms: float
    p99_ms: float
    p99_9_ms: float


class StageReport(TypedDict):
    """Total cost of one stage over all answered requests."""

    calls: int
    attempts: int
    target_ms: float
    tokens: int
    wasted_ms: float


class LoadReport(TypedDict):
    """Figures of a load run."""

    overall: PipelineReport
    by_pipeline: dict[str, PipelineReport]
    by_account: dict[str, PipelineReport]
    refusals_by_reason: dict[str, int]
    cost_by_stage: dict[str, StageReport]
    # Answers within the deadline, per second of the run.
    goodput_per_s: float


def build_report(endings: list[Ending], duration_s: float) -> LoadReport:
    """Summarise the requests of a run of `duration_s` seconds."""
    reasons = Counter(
        f'{ending.kind.value}: {ending.reason}'
        for ending in endings
        if ending.kind is not EndingKind.answered
    )
    in_time = sum(map(_attained, endings))
    return LoadReport(
        overall=_summary(endings),
        by_pipeline=_summaries(endings, 'pipeline'),
        by_account=_summaries(endings, 'account'),
        refusals_by_reason=dict(sorted(reasons.items())),
        cost_by_stage=_costs(endings),
        goodput_per_s=in_time / duration_s,
    )


def render_text(report: LoadReport) -> str:
    """Format the report as text for a terminal."""
    lines = [_summary_line('all', report['overall'])]
    for group in ('by_pipeline', 'by_account'):
        lines.append(f'{group}:')
        for name, summary in report[group].items():
            lines.append(_summary_line(f'  {name}', summary))
    lines.append(f'goodput: {report["goodput_per_s"]:.1f} answers/s')
    lines.append('not answered by reason:')
    for reason, count in report['refusals_by_reason'].items():
        lines.append(f'  {reason}: {count}')
    lines.append('cost by stage:')
    for stage, cost in report['cost_by_stage'].items():
        lines.append(
            f'  {stage}: {cost["calls"]} calls, {cost["attempts"]} attempts, '
            f'{cost["target_ms"]:.0f} ms target time, '
            f'{cost["tokens"]} tokens, {cost["wasted_ms"]:.0f} ms wasted',
        )
    return '\n'.join(lines)


def _attained(ending: Ending) -> bool:
    return ending.kind is EndingKind.answered and ending.in_time


def _summaries(
    endings: list[Ending],
    field: str,
) -> dict[str, PipelineReport]:
    names = sorted({getattr(ending, field) for ending in endings})
    return {
        name: _summary(
            [ending for ending in endings if getattr(ending, field) == name]
        )
        for name in names
    }


def _summary(endings: list[Ending]) -> PipelineReport:
    histogram = HdrHistogram(
        _LOWEST_LATENCY_US, _HIGHEST_LATENCY_US, _SIGNIFICANT_DIGITS
    )
    for request in endings:
        if request.kind is EndingKind.answered:
            histogram.record_value(int(request.duration_s * _US_PER_S))
    p50_ms, p99_ms, p99_9_ms = (
        histogram.get_value_at_percentile(percentile) / _US_PER_MS
        for percentile in _PERCENTILES
    )
    return PipelineReport(
        requests=len(endings),
        attainment=sum(map(_attained, endings)) / max(1, len(endings)),
        endings=dict(Counter(ending.kind.value for ending in endings)),
        p50_ms=p50_ms,
        p99_ms=p99_ms,
        p99_9_ms=p99_9_ms,
    )


def _costs(endings: Iterable[Ending]) -> dict[str, StageReport]:
    totals: dict[str, StageReport] = {}
    for ending in endings:
        for cost in ending.costs:
            total = totals.setdefault(
                cost['stage'],
                StageReport(
                    calls=0,
                    attempts=0,
                    target_ms=0,
                    tokens=0,
                    wasted_ms=0,
                ),
            )
            _add_cost(total, cost)
    return totals


def _add_cost(total: StageReport, cost: dict[str, Any]) -> None:
    total['calls'] += 1
    total['attempts'] += cost.get('attempts', 1)
    total['target_ms'] += cost.get('target_ms', 0)
    total['tokens'] += cost.get('tokens', 0)
    total['wasted_ms'] += cost.get('wasted_ms', 0)


def _summary_line(name: str, summary: PipelineReport) -> str:
    endings = ', '.join(
        f'{kind} {count}' for kind, count in sorted(summary['endings'].items())
    )
    attainment = summary['attainment'] * _PERCENT
    return (
        f'{name}: {summary["requests"]} requests, '
        f'attainment {attainment:.2f}%, '
        f'p50 {summary["p50_ms"]:.1f} ms, p99 {summary["p99_ms"]:.1f} ms, '
        f'p99.9 {summary["p99_9_ms"]:.1f} ms ({endings})'
    )
