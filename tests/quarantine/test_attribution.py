"""Attribution of crashes to prompt parts."""

from __future__ import annotations

import pytest

from hornbeamline.quarantine import CrashMark, MarkWeight, Phase, attribute
from tests.quarantine.builders import make_mark


def named(marks: list[CrashMark], *begun_parts: str) -> set[str]:
    """Return the parts that the evidence names."""
    findings = attribute(marks, begun_parts)
    return {part for part, finding in findings.items() if finding.is_named}


def crash(target: str, *parts: str, at: float = 1000.0) -> list[CrashMark]:
    """Return the marks of a request that was being answered at a crash."""
    return [
        make_mark(part, target, following=following, at=at)
        for following, part in enumerate(reversed(parts))
    ]


def test_one_crash_names_nobody() -> None:
    """One crash may be due to the request's own content."""
    assert not named(crash('e1', 'common', 'deadly'))


def test_the_part_that_fewest_requests_have_is_named() -> None:
    """Guards against a verdict on what sound requests share."""
    marks = [*crash('e1', 'common', 'deadly'), *crash('e2', 'common', 'deadly')]
    assert named(marks) == {'deadly'}


def test_part_of_a_cleared_crash_is_not_named() -> None:
    """An answer that begins clears its parts."""
    marks = [
        mark._replace(is_cleared=mark.part == 'sibling')
        for target in ('e1', 'e2', 'e3')
        for mark in crash(target, 'common', 'deadly', 'sibling')
    ]
    assert named(marks) == {'deadly'}


def test_two_parts_at_once_are_both_named() -> None:
    """Guards against one verdict for the crashes of two parts."""
    marks = [
        mark
        for target, part in (('e1', 'a'), ('e2', 'b'), ('e3', 'a'), ('e4', 'b'))
        for mark in crash(target, 'common', part)
    ]
    cleared = [
        mark._replace(is_cleared=mark.part == 'common') for mark in marks
    ]
    assert named(cleared) == {'a', 'b'}


def test_requests_that_waited_beside_a_crash_are_not_named() -> None:
    """Guards against verdicts on requests in the queue of a crashed engine."""
    marks = [
        mark
        for number in range(6)
        for mark in (
            *crash(f'e{number}', 'deadly', at=1000.0 + number),
            make_mark(
                'waiting', f'e{number}', phase=Phase.SENT, at=1000.0 + number
            ),
        )
    ]
    assert named(marks) == {'deadly'}


@pytest.mark.parametrize('engines', [2, 20])
def test_engines_that_end_together_name_no_waiting_request(engines) -> None:
    """Guards against verdicts after the loss of a rack."""
    marks = [
        make_mark('waiting', f'e{number}', phase=Phase.SENT)
        for number in range(engines)
    ]
    assert not named(marks)


def test_part_that_was_sound_needs_more_evidence() -> None:
    """A part whose answers began before may become deadly all the same."""
    marks = [make_mark('part', f'e{number}') for number in range(2)]
    assert named(marks, 'part') == {'part'}
    common = [mark._replace(following=1) for mark in marks]
    assert not named(common, 'part')
    assert named([*common, make_mark('part', 'e3', following=1)], 'part') == {
        'part'
    }


COMMON = MarkWeight(2.0, is_telling=False)


def test_crashes_under_one_request_say_as_much_as_one() -> None:
    """Guards against a verdict on parts because of a request's own content."""
    marks = [
        mark._replace(request='r1', at=1000.0 + number)
        for number in range(8)
        for mark in crash(f'e{number}', 'part')
    ]
    assert not named(marks)


def test_engines_that_end_together_under_new_requests_convict() -> None:
    """Guards against slow verdicts while requests come in quick succession."""
    marks = [
        make_mark('deadly', f'e{number}', phase=Phase.SENT, waited_s=0, at=at)
        for number, at in enumerate((1000.0, 1000.02))
    ]
    assert named(marks) == {'deadly'}
    waited = [mark._replace(waited_s=1) for mark in marks]
    assert not named(waited)


# Failure: servers that ended together under answers whose heads had come named
# what all prompts share (LOST, review/4).
@pytest.mark.parametrize('engines', [2, 3, 20])
def test_engines_that_end_together_convict_nothing_common(engines) -> None:
    """Guards against heads that come early, which say nothing."""
    marks = [
        make_mark(
            'common', f'e{number}', weight=COMMON, at=1000.0 + number / 1000
        )
        for number in range(engines)
    ]
    assert not named(marks)


def test_suspect_explains_the_crashes_of_what_all_requests_share() -> None:
    """Guards against a verdict on a common part before a second crash."""
    marks = [
        mark
        for number in range(4)
        for mark in crash(
            f'e{number}', 'common', f'part-{number}', at=1000.0 + number
        )
    ]
    findings = attribute(
        [
            mark._replace(weight=COMMON) if mark.part == 'common' else mark
            for mark in marks
        ],
        ['common'],
    )
    assert 'common' not in findings
    assert not any(finding.is_named for finding in findings.values())


def test_common_part_that_ends_engine_after_engine_is_named() -> None:
    """Guards against a part that is never named because many have it."""
    marks = [
        make_mark('common', f'e{number}', weight=COMMON, at=1000.0 + number)
        for number in range(5)
    ]
    assert named(marks) == {'common'}
