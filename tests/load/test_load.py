"""Schedule, report and plot of the load generator, and find_violations."""

from __future__ import annotations

from pathlib import Path

import pytest

from hornbeamline.load import (
    Burst,
    Ending,
    EndingKind,
    LoadSettings,
    SharedText,
    arrivals,
    build_report,
    render_text,
    write_plot,
)
from hornbeamline.load._runner import is_own_answer
from hornbeamline.local_fleet import find_violations
from tests.serving import expected_tokens


def load_settings(**changes) -> LoadSettings:
    """Return settings with two pipelines and two client accounts."""
    plain = {
        'entries': ['127.0.0.1:1'],
        'rate_per_s': 100,
        'duration_s': 10,
        'pipelines': {'report': 3, 'filing': 1},
        'accounts': {'large': 4, 'small': 1},
        'credentials': {'large': 'l', 'small': 's'},
    }
    return LoadSettings(**{**plain, **changes})


def ending(kind: EndingKind, key: str = '', reason: str = '') -> Ending:
    """Return the record of one ended request."""
    cost = {'stage': 'draft', 'attempts': 2, 'target_ms': 5.0, 'tokens': 3}
    return Ending(
        'report', 'large', key, kind, reason, 1.0, 0.25, True, 1, (cost,)
    )


def test_schedule_repeats_with_its_seed() -> None:
    """Guards against runs that are not comparable despite the same seed."""
    first = list(arrivals(load_settings(seed=7)))
    assert first == list(arrivals(load_settings(seed=7)))
    assert first != list(arrivals(load_settings(seed=8)))


def test_burst_multiplies_the_rate() -> None:
    """Guards against bursts that do not change the rate."""
    burst = Burst(at_s=4, for_s=2, factor=3)
    schedule = list(arrivals(load_settings(bursts=[burst])))
    inside = sum(4 <= arrival.at_s < 6 for arrival in schedule)
    before = sum(arrival.at_s < 4 for arrival in schedule)
    assert inside / 2 == pytest.approx(3 * before / 4, rel=0.2)


def test_shared_text_leaves_the_schedule_as_it_is() -> None:
    """Guards against runs with and without the text that differ otherwise."""
    shared = SharedText(text='dead', share=0.25, at_s=2, for_s=4)
    plain = list(arrivals(load_settings()))
    schedule = list(arrivals(load_settings(shared_texts=[shared])))
    assert [each._replace(shared_text='') for each in schedule] == plain
    texts = [each for each in schedule if each.shared_text]
    assert all(2 <= each.at_s < 6 for each in texts)
    assert len(texts) == pytest.approx(0.25 * 4 * 100, rel=0.4)


def test_report_counts_late_and_refused_as_not_attained() -> None:
    """Guards against an attainment that ignores late and refused requests."""
    endings = [
        ending(EndingKind.answered),
        ending(EndingKind.answered)._replace(in_time=False),
        ending(EndingKind.not_run, reason='queue_full'),
    ]
    report = build_report(endings, 10)
    assert report['overall']['attainment'] == pytest.approx(1 / 3)
    assert report['refusals_by_reason'] == {'not_run: queue_full': 1}
    assert report['cost_by_stage']['draft']['attempts'] == 6
    assert 'queue_full' in render_text(report)


@pytest.mark.parametrize(
    ('kind', 'executions', 'broken'),
    [
        (EndingKind.answered, 1, False),
        (EndingKind.answered, 0, True),
        (EndingKind.answered, 2, True),
        (EndingKind.not_run, 0, False),
        (EndingKind.not_run, 1, True),
        (EndingKind.unknown, 0, False),
        (EndingKind.unknown, 1, False),
        (EndingKind.unknown, 2, True),
        (EndingKind.connection_lost, 1, False),
        (EndingKind.wrong_answer, 1, True),
    ],
)
def test_checker_finds_broken_promises(
    kind: EndingKind,
    executions: int,
    *,
    broken: bool,
) -> None:
    """Guards against a checker that overlooks wrong or duplicate executions."""
    report = find_violations([ending(kind, 'k')], {'large/k/file': executions})
    assert bool(report.violations) is broken


def test_plot_is_written(tmp_path: Path) -> None:
    """Guards against an empty plot file."""
    path = tmp_path / 'load.png'
    write_plot([ending(EndingKind.answered)], path)
    assert path.stat().st_size > 1000


def test_text_of_two_versions_is_a_wrong_answer() -> None:
    """Guards against joined streams that a load run does not notice."""
    versions = ('1', '2')
    old, new = (expected_tokens('levy', 8, version) for version in versions)
    joined = old[: len(old) // 2] + new[len(new) // 2 :]
    assert is_own_answer({'text': old}, 'levy', versions)
    assert is_own_answer({'text': new}, 'levy', versions)
    assert not is_own_answer({'text': joined}, 'levy', versions)
    assert not is_own_answer({'text': new}, 'levy', ('1',))
