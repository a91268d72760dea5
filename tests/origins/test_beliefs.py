"""When a host may use its believed default without asking."""

from __future__ import annotations

import pytest

from hornbeamline.origins._beliefs import DefaultBeliefs

SERVICE = 'drafting'


class Host:
    """Beliefs of a host that reads a list each second."""

    def __init__(self) -> None:
        self.beliefs = DefaultBeliefs()
        self.now = 1000.0

    def read(self, seconds: int, *versions: str) -> None:
        """Read lists with these versions for some time."""
        for _ in range(seconds):
            self.now += 1
            self.beliefs.note_listed({SERVICE: versions}, self.now)

    def confirm(self, version: str) -> None:
        """Get an answer that took half a second."""
        self.beliefs.confirm(SERVICE, version, self.now + 0.1)
        self.now += 0.5

    @property
    def state(self) -> tuple[bool, bool]:
        """Return whether the belief is steady and fresh."""
        return (
            self.beliefs.is_steady(SERVICE, self.now),
            self.beliefs.is_fresh(SERVICE, self.now),
        )


@pytest.fixture
def host() -> Host:
    """Return a host whose belief in `v1` is confirmed."""
    started = Host()
    started.read(5, 'v1')
    started.confirm('v1')
    assert started.state == (True, True)
    return started


# Guards against a default that may change, as the leader knows of no use.
def test_heard_default_is_not_confirmed() -> None:
    """The default came with the answer to another question."""
    host = Host()
    host.read(5, 'v1')
    host.beliefs.observe_default(SERVICE, 'v1')
    assert host.beliefs.version_of(SERVICE) == 'v1'
    assert host.state == (False, False)
    host.read(5, 'v1')
    assert host.state == (False, False)
    host.confirm('v1')
    assert host.state == (True, True)
    host.beliefs.observe_default(SERVICE, 'v2')
    assert host.beliefs.version_of(SERVICE) == 'v2'
    assert host.state == (False, False)


# Guards against questions while one version serves, and against none later.
def test_belief_ages_with_other_versions_only(host) -> None:
    """A release of another version begins after some minutes."""
    host.read(300, 'v1')
    assert host.state == (True, True)
    host.read(1, 'v1', 'v2')
    assert host.state == (True, False)
    host.confirm('v1')
    host.read(9, 'v1', 'v2')
    assert host.state == (True, True)
    host.read(2, 'v1', 'v2')
    assert host.state == (True, False)


# Guards against a default that was replaced while its version was gone.
@pytest.mark.parametrize('listed', [(), ('v2',)])
def test_absence_ends_a_belief_until_it_is_confirmed(host, listed) -> None:
    """Fault: the version is missing in lists for 18 s, then for 21 s."""
    for _ in range(3):
        host.read(18, *listed)
        assert host.state[0]
        host.read(1, 'v1')
    host.read(21, *listed)
    assert host.state == (False, False)
    host.read(100, 'v1')
    assert host.state == (False, False)
    host.confirm('v1')
    assert host.state == (True, True)


# Guards against a default that was replaced while the host had no list.
def test_gap_ends_a_belief_until_it_is_confirmed(host) -> None:
    """Fault: the host gets no list for 19 s, then for 21 s."""
    host.read(1, 'v1')
    host.now += 18
    assert host.state == (True, True)
    host.read(1, 'v1')
    assert host.state == (True, True)
    host.now += 21
    assert host.state == (False, False)
    host.read(20, 'v1')
    assert host.state == (False, False)
    host.confirm('v1')
    assert host.state == (True, True)


# Guards against a belief made fresh by an answer that was asked for earlier.
def test_late_answer_confirms_only_from_when_it_was_asked_for(host) -> None:
    """Fault: the leader answers after 25 s without a list."""
    asked_at = host.now
    host.now += 25
    host.beliefs.confirm(SERVICE, 'v1', asked_at)
    assert host.state == (False, False)
    host.read(5, 'v1')
    assert host.state == (False, False)
