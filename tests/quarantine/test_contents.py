"""Requests that crash targets by their own content."""

from __future__ import annotations

import pytest

from hornbeamline.helpers.clock import ManualClock
from hornbeamline.quarantine import (
    PartQuarantine,
    PartQuarantinedError,
    content_of,
)
from hornbeamline.quarantine.const import (
    CONTENT_CRASHES,
    MAX_CONTENT_MARKS,
    VERDICT_S,
)
from tests.quarantine.builders import make_crash

CONTENT = content_of(b'caller', b'/path', b'body')
OTHER = content_of(b'caller', b'/path', b'another body')


@pytest.fixture
def clock() -> ManualClock:
    """Return the clock of all hosts."""
    return ManualClock(1000.0)


def crash(
    quarantine: PartQuarantine,
    name: str,
    content: str = CONTENT,
    parts: tuple[str, ...] = (),
) -> None:
    """Lose a request with its target."""
    guard = quarantine.guard(f'r-{name}', parts, content)
    guard.engine_ended(make_crash(f't-{name}'))


def is_refused(quarantine: PartQuarantine, content: str = CONTENT) -> bool:
    """Return whether a request with this content is refused."""
    try:
        quarantine.guard('r', (), content).check()
    except PartQuarantinedError:
        return True
    return False


def test_crashes_at_two_hosts_are_added_up(clock) -> None:
    """Guards against one crash more at each host that a caller reaches."""
    hosts = [PartQuarantine(f'host-{number}', clock) for number in range(3)]
    for number in range(CONTENT_CRASHES):
        assert not any(is_refused(host) for host in hosts)
        crash(hosts[number], str(number))
        clock.advance(1)
        for host in hosts:
            host.merge(hosts[number].export())
    assert all(is_refused(host) for host in hosts)
    assert not any(is_refused(host, OTHER) for host in hosts)


def test_targets_that_end_together_count_once(clock) -> None:
    """Guards against a verdict on a request that met the end of a rack."""
    host = PartQuarantine('host', clock)
    for number in range(4):
        guard = host.guard(f'r{number}', (), CONTENT)
        ended = make_crash(f't{number}')._replace(waited_s=0.5)
        guard.engine_ended(ended)
        clock.advance(0.01)
    assert not is_refused(host)


def test_complete_answer_clears_a_request_at_all_hosts(clock) -> None:
    """Guards against a verdict on a request that two crashes met."""
    first, second = (PartQuarantine(name, clock) for name in ('a', 'b'))
    crash(first, '1')
    second.merge(first.export())
    clock.advance(1)
    second.guard('r', (), CONTENT).answer_completed()
    first.merge(second.export())
    crash(first, '2')
    assert not is_refused(first)


def test_verdict_ends_and_one_more_crash_renews_it(clock) -> None:
    """Guards against a request that is refused for ever, or tried often."""
    host = PartQuarantine('host', clock)
    for number in range(CONTENT_CRASHES):
        crash(host, str(number))
        clock.advance(1)
    clock.advance(VERDICT_S)
    host.expire()
    assert not is_refused(host)
    crash(host, 'renewed')
    clock.advance(2 * VERDICT_S)
    assert is_refused(host)


def test_lost_requests_displace_no_evidence_on_parts(clock) -> None:
    """Load: many requests are lost with their targets."""
    host = PartQuarantine('host', clock)
    crash(host, 'a', content_of(b'a'), ('deadly',))
    for number in range(3 * MAX_CONTENT_MARKS):
        clock.advance(1)
        crash(host, str(number), content_of(b'%d' % number))
    assert len(host.export().marks) <= MAX_CONTENT_MARKS + 1
    crash(host, 'b', content_of(b'b'), ('deadly',))
    assert [verdict.part for verdict in host.verdicts()] == ['deadly']


def test_part_with_the_name_of_a_content_is_no_content(clock) -> None:
    """Guards against a caller that has the requests of another refused."""
    host = PartQuarantine('host', clock)
    for number in range(CONTENT_CRASHES):
        crash(host, str(number), content_of(b'%d' % number), (CONTENT,))
        clock.advance(1)
    assert not is_refused(host)


def test_bytes_cannot_move_between_the_fields_of_a_content() -> None:
    """Guards against equal keys of different requests."""
    assert content_of(b'ab', b'c') != content_of(b'a', b'bc')


# Failure: all requests had one body, and were refused for a minute when targets
# ended under another request (review/4 on the first version).
def test_common_content_is_not_named(clock) -> None:
    """Guards against the refusal of all requests that are alike."""
    host = PartQuarantine('host', clock)
    for _ in range(64):
        host.guard('r', ('common',), CONTENT).answer_completed()
    for number in range(4):
        crash(host, str(number), CONTENT, (f'part-{number}', 'deadly'))
        clock.advance(1)
    assert not is_refused(host)
    # The crashes are separate occasions for the parts of the prompts.
    assert [verdict.part for verdict in host.verdicts()] == ['deadly']
