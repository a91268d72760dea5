"""Tests of the budget: what yields, and what never does."""

from __future__ import annotations

import pytest

from hornbeamline.clients import ClientBudget, ProcessLimits
from hornbeamline.clients._budget import Phase, Share
from hornbeamline.helpers.clock import ManualClock

MEMORY_MB = 100
BODY = 8_388_608


class Clients:
    """Connections of a budget with a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        # 16 connections, and room for 3 large bodies.
        self.budget = ClientBudget(ProcessLimits(MEMORY_MB, 232), self.clock)
        self.dropped: list[tuple[Share, str]] = []

    def connect(self, address: str = '10.0.0.1') -> Share:
        """Open a connection."""
        share = Share(address, lambda _: None, lambda: 0)
        share.drop = lambda reason: self.dropped.append((share, reason))
        self.budget.open(share)
        return share

    def send_body(self, account: str = '') -> tuple[Share, bool]:
        """Open a connection with a large body; return whether it may."""
        share = self.connect()
        self.budget.enter(share, Phase.BODY)
        if account:
            self.budget.identify(share, account)
        return share, self.budget.reserve(share, BODY)


@pytest.fixture
def clients() -> Clients:
    """Return clients without connections."""
    return Clients()


def test_stalled_body_yields_and_running_request_does_not(clients) -> None:
    """Load: more bodies than there is room for, of which one runs."""
    running, _ = clients.send_body()
    clients.budget.enter(running, Phase.RUNNING)
    stalled, _ = clients.send_body()
    clients.clock.advance(2)
    steady, _ = clients.send_body()
    assert clients.send_body()[1]
    assert clients.dropped == [(stalled, 'crowded')]
    # None of those left has stalled.
    assert not clients.send_body()[1]
    assert clients.budget.used == 3 * BODY
    assert running.phase is Phase.RUNNING
    assert steady.phase is Phase.BODY


def test_account_with_less_takes_the_place_of_one_with_more(clients) -> None:
    """Load: one account sends as many large bodies as there is room for."""
    first, _ = clients.send_body('greedy')
    clients.send_body('greedy')
    clients.send_body('greedy')
    assert clients.send_body('other')[1]
    assert clients.dropped == [(first, 'crowded')]
    assert not clients.send_body('greedy')[1]


def test_small_requests_have_room_beside_large_ones(clients) -> None:
    """Load: large bodies hold all that they may."""
    while clients.send_body()[1]:
        pass
    small = clients.connect()
    assert clients.budget.reserve(small, 10_000)


def test_connection_read_least_recently_yields(clients) -> None:
    """Load: more connections than descriptors, most of them idle."""
    first = clients.connect()
    second = clients.connect()
    clients.budget.enter(first, Phase.RUNNING)
    for _ in range(20):
        clients.connect()
    assert clients.dropped[0] == (second, 'crowded')
    assert clients.budget.connections == clients.budget.max_connections
    assert first not in [share for share, _ in clients.dropped]


@pytest.mark.parametrize(
    ('phase', 'within_s', 'after_s', 'reason'),
    [
        (Phase.IDLE, 14.5, 15.5, 'idle'),
        (Phase.HEAD, 2.5, 3.5, 'head_late'),
        (Phase.BODY, 9.5, 10.5, 'body_late'),
        (Phase.RUNNING, 1000, 1000, ''),
    ],
)
def test_what_stands_still_times_out(
    clients, phase, within_s, after_s, reason
) -> None:
    """Failure: connections that send nothing are kept for ever."""
    share = clients.connect()
    clients.budget.enter(share, phase)
    clients.clock.advance(within_s)
    clients.budget.drop_expired()
    assert not clients.dropped
    clients.clock.advance(after_s - within_s)
    clients.budget.drop_expired()
    assert clients.dropped == ([(share, reason)] if reason else [])


def test_closed_connections_leave_nothing_behind(clients) -> None:
    """Failure: a budget that shrinks with each connection."""
    share, _ = clients.send_body('account')
    clients.budget.note_unread(share, 50_000)
    assert clients.budget.used == BODY + 50_000
    clients.budget.close(share)
    clients.budget.note_unread(share, 50_000)
    clients.budget.release(share)
    assert clients.budget.used == 0
    assert clients.budget.connections == 0
    assert not clients.budget._held_by_client
    assert not clients.budget._connections_by_address
