"""Log lines of stages that leave the queue."""

from __future__ import annotations

import pytest

from hornbeamline.batching import Piece, PieceTerms, QueuedPiece, _dispatch_log


def queued(request: str, count: int) -> list[QueuedPiece]:
    """Return a stage that was queued at second 10 and is due 2 s later."""
    return [
        QueuedPiece(
            Piece(request, 1, number, '', []),
            PieceTerms(2.0, 8.0, 0, 1000),
            10.0,
        )
        for number in range(count)
    ]


@pytest.fixture
def lines(monkeypatch):
    """Collect log lines."""
    collected = []
    monkeypatch.setattr(
        _dispatch_log,
        'log_event',
        lambda event, **fields: collected.append((event, fields)),
    )
    return collected


def test_dispatch_of_each_request_in_a_call_is_logged(lines) -> None:
    """Guards against late answers whose queueing time is not logged."""
    chosen = [*queued('a', 2), *queued('b', 1)]
    _dispatch_log.record_dispatches('stage', 't1', chosen, 10.5, 0.4)
    assert [(event, fields['request']) for event, fields in lines] == [
        ('batching.turn', 'a'),
        ('batching.turn', 'b'),
    ]
    assert lines[0][1]['pieces'] == 2
    assert lines[0][1]['waited_s'] == pytest.approx(0.5)
    assert lines[0][1]['spare_s'] == pytest.approx(1.1)


def test_dropped_stage_is_logged_with_its_reason(lines) -> None:
    """Guards against refusals whose reason is not logged."""
    _dispatch_log.record_given_up(
        'stage', queued('a', 3), _dispatch_log.HOPELESS, 11
    )
    [(event, fields)] = lines
    assert event == 'batching.given_up'
    assert fields['reason'] == 'hopeless'
    assert fields['pieces'] == 3
    assert fields['waited_s'] == pytest.approx(1)
