"""Evidence of crashes: merging, bounds and lifted parts."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamline.helpers.clock import ManualClock
from hornbeamline.quarantine import CrashMark, EvidenceTable, MarkWeight, Phase
from hornbeamline.quarantine.const import MARK_TTL_S, MAX_MARKS
from tests.quarantine.builders import make_mark

_MARKS = st.builds(
    CrashMark,
    st.sampled_from(['a', 'b', 'c']),
    st.sampled_from(['e1', 'e2']),
    st.sampled_from([int(Phase.SENT), int(Phase.HEAD)]),
    st.integers(0, 2),
    st.just(999.0),
    st.sampled_from(['r1', 'r2']),
    st.sampled_from([0.1, 0.2]),
    st.builds(MarkWeight, st.sampled_from([2.0, 4.6, 7.0]), st.booleans()),
    st.booleans(),
)


@given(st.lists(st.lists(_MARKS, max_size=6), max_size=5), st.randoms())
def test_order_and_repetition_of_reports_do_not_matter(groups, rng) -> None:
    """Guards against hosts that disagree for good after lost messages."""
    clock = ManualClock(1000)
    reports = []
    for marks in groups:
        table = EvidenceTable(clock)
        for mark in marks:
            table.add_mark(mark)
        reports.append(table.export())
    digests = set()
    for _ in range(3):
        repeated = [*reports, *rng.sample(reports, len(reports) // 2)]
        rng.shuffle(repeated)
        merged = EvidenceTable(clock)
        for report in repeated:
            merged.merge(report)
        digests.add(merged.digest)
    assert len(digests) == 1


def test_a_million_parts_stay_bounded() -> None:
    """Guards against callers that fill the tables with parts."""
    clock = ManualClock(1000)
    table = EvidenceTable(clock)
    rng = random.Random(1)
    for number in range(20_000):
        clock.advance(0.01)
        part = f'{rng.getrandbits(64):x}'
        table.add_mark(make_mark(part, f'e{number}', at=clock.monotonic()))
        table.add_begun(part)
    assert len(table.marks) == MAX_MARKS
    assert len(table.begun_parts) <= MAX_MARKS


def test_marks_expire() -> None:
    """Evidence does not last for ever."""
    clock = ManualClock(1000)
    table = EvidenceTable(clock)
    table.add_mark(make_mark('a', 'e1'))
    table.add_begun('a')
    clock.advance(MARK_TTL_S + 1)
    assert table.expire()
    assert not table.marks
    assert not table.begun_parts


def test_lifted_part_does_not_return_from_another_process() -> None:
    """Guards against a lift that the next exchange undoes."""
    clock = ManualClock(1000)
    control = EvidenceTable(clock)
    host = EvidenceTable(clock)
    host.add_mark(make_mark('a', 'e1'))
    control.merge(host.export())
    clock.advance(1)
    assert control.lift('a')
    control.merge(host.export())
    assert not control.marks
    assert host.merge(control.export())
    assert not host.marks
    assert not control.merge(host.export())
    clock.advance(1)
    assert host.add_mark(make_mark('a', 'e2', at=clock.monotonic()))


@pytest.mark.parametrize('delay_s', [0.0, 0.2])
def test_late_report_of_a_lift_changes_nothing(delay_s) -> None:
    """Guards against processes that exchange the same lift without end."""
    clock = ManualClock(1000)
    first = EvidenceTable(clock)
    second = EvidenceTable(clock)
    first.lift('a')
    report = first.export()
    clock.advance(delay_s)
    assert second.merge(report)
    assert not first.merge(second.export())
    assert first.digest == second.digest
