"""Decisions of the leader about default versions."""

from __future__ import annotations

import math

import pytest

from hornbeamline.origins._machine import DefaultChange
from hornbeamline.origins._observer import VersionObserver

RETENTION_S = 60.0
SERVICE = 'drafting'


class Leader:
    """Observer with a default, ticked each second."""

    def __init__(self) -> None:
        self.observer = VersionObserver()
        self.defaults: dict[str, str] = {}
        self.now = 1000.0

    def run(
        self, seconds: float, *versions: str, age_s: float = 0.5
    ) -> list[float]:
        """Tick for a time; return the seconds after which defaults changed."""
        began = self.now
        changed = []
        while self.now < began + seconds:
            changes = self.observer.decide(
                {SERVICE: dict.fromkeys(versions, 1)},
                age_s,
                self.defaults,
                RETENTION_S,
                self.now,
            )
            for change in changes:
                assert change.previous == self.defaults.get(SERVICE)
                self.defaults[SERVICE] = change.version
                changed.append(self.now - began)
            self.now += 1
        return changed


@pytest.fixture
def leader() -> Leader:
    """Return a leader that has set the first default."""
    started = Leader()
    assert started.run(5, 'v1') == [0]
    return started


# Guards against leaders that choose differently or by chance.
@pytest.mark.parametrize(
    ('counts', 'expected'),
    [
        ({'v2': 3, 'v1': 2}, 'v2'),
        ({'v2': 2, 'v1': 2}, 'v1'),
        ({'': 4, 'v1': 2}, ''),
        ({'v1': 0}, None),
        ({}, None),
        ({'x' * 1000: 4, 'v1': 1}, 'v1'),
    ],
)
def test_first_default_is_the_most_frequent_version(counts, expected) -> None:
    """Ties go to the smallest name; unusable names are left out."""
    changes = VersionObserver().decide({SERVICE: counts}, 0, {}, 60, 0)
    wanted = []
    if expected is not None:
        wanted = [DefaultChange(SERVICE, None, expected)]
    assert changes == wanted


# Guards against a default that changes while its streams may go on.
def test_default_changes_after_the_retention_only(leader) -> None:
    """Streams that began without a record need the earlier default."""
    assert not leader.run(100, 'v1', 'v2')
    # Its last sign was one second before the first list without it.
    assert leader.run(100, 'v2') == [RETENTION_S - 1]
    assert leader.defaults[SERVICE] == 'v2'


# Guards against a replaced default when a version comes back in time.
def test_version_that_comes_back_counts_anew(leader) -> None:
    """Fault: the earlier version is gone twice for almost the retention."""
    assert not leader.run(RETENTION_S - 2, 'v2')
    assert not leader.run(1, 'v1', 'v2')
    assert not leader.run(RETENTION_S - 2, 'v2')
    assert leader.run(5, 'v2')


# Guards against a default replaced while hosts still begin streams at it.
def test_use_of_the_default_counts_as_a_sign(leader) -> None:
    """Fault: the list lacks targets that still serve."""
    assert not leader.run(RETENTION_S - 2, 'v2')
    leader.observer.note_use(SERVICE, leader.now)
    assert not leader.run(RETENTION_S - 1, 'v2')
    assert leader.run(5, 'v2')


# Guards against a new leader that trusts its predecessor's observation.
def test_new_leader_counts_anew(leader) -> None:
    """Fault: the leader is lost shortly before the change."""
    assert not leader.run(RETENTION_S - 2, 'v2')
    leader.observer.reset()
    assert not leader.run(RETENTION_S, 'v2')
    assert leader.run(5, 'v2')


# Guards against a list that says nothing about the present.
@pytest.mark.parametrize('age_s', [6.0, math.inf])
def test_old_list_is_no_observation(leader, age_s) -> None:
    """Fault: the leader can't read the list, also for a short time."""
    assert not leader.run(200, 'v2', age_s=age_s)
    assert not leader.run(RETENTION_S - 2, 'v2')
    assert not leader.run(10, 'v2', age_s=age_s)
    # The interruption makes it count anew.
    assert not leader.run(RETENTION_S, 'v2')
    assert leader.run(5, 'v2')


# Guards against a default that changes to nothing or back and forth.
def test_default_stays_without_targets_and_between_others(leader) -> None:
    """Fault: all targets are gone, then five versions serve."""
    assert not leader.run(200)
    # The version is long gone, and another one is listed.
    assert leader.run(5, 'v2') == [0]
    assert not leader.run(200, 'v2', 'v3', 'v4', 'v5', 'v6')
    assert leader.run(200, 'v3', 'v4', 'v5', 'v6') == [RETENTION_S - 1]
    assert leader.defaults[SERVICE] == 'v3'


# Guards against records that are dropped before their streams end.
def test_generation_lasts_for_the_retention() -> None:
    """It counts from when this leader first saw the generation."""
    observer = VersionObserver()
    assert not observer.ends_generation(3, RETENTION_S, 0)
    assert not observer.ends_generation(3, RETENTION_S, RETENTION_S - 1)
    assert observer.ends_generation(3, RETENTION_S, RETENTION_S)
    assert not observer.ends_generation(4, RETENTION_S, RETENTION_S + 1)
    observer.reset()
    assert not observer.ends_generation(4, RETENTION_S, 10 * RETENTION_S)
