"""The history checkers, on valid and on invalid histories."""

from __future__ import annotations

import random

import pytest

from hornbeamline.history import (
    NEVER_ENDED,
    ChangeAnswer,
    ChangeArgument,
    ClaimAnswer,
    ClaimArgument,
    ClaimModel,
    ConfigurationModel,
    FinishArgument,
    HistoryTooLargeError,
    Operation,
    ReadArgument,
    RevisionObservation,
    check_monotonic_revisions,
    check_takes_force,
    is_linearizable,
)


def change(base: int, name: str, answer, began: float, ended: float):
    """Return a change of the configuration."""
    return Operation('a', ChangeArgument(base, name), answer, began, ended)


def read(revision: int, began: float, ended: float) -> Operation:
    """Return a read of the configuration."""
    return Operation('b', ReadArgument(), revision, began, ended)


def sequential_history(seed: int) -> list[Operation]:
    """Return operations with overlapping intervals but a sequential effect."""
    rng = random.Random(seed)
    revision = 1
    history = []
    for number in range(60):
        at = number + 0.5
        began, ended = at - rng.uniform(0, 2), at + rng.uniform(0, 2)
        if rng.random() < 0.4:
            history.append(read(revision, began, ended))
            continue
        base = revision - rng.choice((0, 0, 1))
        accepted = base == revision
        revision += accepted
        answer = ChangeAnswer(accepted, revision)
        if rng.random() < 0.1:
            answer, ended = None, NEVER_ENDED
        history.append(change(base, f'c{number}', answer, began, ended))
    return history


@pytest.mark.parametrize('seed', range(10))
def test_sequential_run_is_accepted(seed: int) -> None:
    """Guards against a checker that rejects valid histories."""
    assert is_linearizable(sequential_history(seed), ConfigurationModel(1))


@pytest.mark.parametrize(
    'history',
    [
        # Two changes with the same base are both accepted.
        [
            change(1, 'x', ChangeAnswer(True, 2), 0, 2),
            change(1, 'y', ChangeAnswer(True, 2), 1, 3),
        ],
        # A read after an accepted change still sees the old revision.
        [change(1, 'x', ChangeAnswer(True, 2), 0, 1), read(1, 2, 3)],
        # A read returns a revision that no change created.
        [read(2, 0, 1)],
        # A resent change is accepted a second time.
        [
            change(1, 'x', ChangeAnswer(True, 2), 0, 1),
            change(1, 'x', ChangeAnswer(True, 3), 2, 3),
        ],
        # The configuration goes back to an older revision.
        [
            change(1, 'x', ChangeAnswer(True, 2), 0, 1),
            read(2, 2, 3),
            read(1, 4, 5),
        ],
    ],
)
def test_wrong_configuration_history_is_refused(history) -> None:
    """Guards against a checker that accepts invalid histories."""
    assert not is_linearizable(history, ConfigurationModel(1))


def test_lost_change_may_have_taken_effect_or_not() -> None:
    """Guards against a checker that assumes the effect of a lost change."""
    lost = change(1, 'x', None, 0, NEVER_ENDED)
    assert is_linearizable([lost, read(2, 5, 6)], ConfigurationModel(1))
    assert is_linearizable([lost, read(1, 5, 6)], ConfigurationModel(1))
    reverted = [lost, read(2, 5, 6), read(1, 7, 8)]
    assert not is_linearizable(reverted, ConfigurationModel(1))


def claim(owner: str, answer, began: float, ended: float) -> Operation:
    """Return a claim of the key."""
    return Operation(owner, ClaimArgument(owner), answer, began, ended)


def finish(attempt: int, began: float, *, ran: bool) -> Operation:
    """Return the end of an attempt."""
    return Operation('x', FinishArgument(attempt, ran), True, began, began + 1)


def test_second_attempt_after_not_run_is_accepted() -> None:
    """Guards against a checker that rejects a legal second attempt."""
    history = [
        claim('x', ClaimAnswer(True, 1), 0, 1),
        claim('y', ClaimAnswer(False, 1), 0.5, 1),
        finish(1, 2, ran=False),
        claim('y', ClaimAnswer(True, 2), 4, 5),
    ]
    assert is_linearizable(history, ClaimModel())


@pytest.mark.parametrize(
    'history',
    [
        [
            claim('x', ClaimAnswer(True, 1), 0, 1),
            claim('y', ClaimAnswer(True, 1), 0, 1),
        ],
        [
            claim('x', ClaimAnswer(True, 1), 0, 1),
            finish(1, 2, ran=True),
            claim('y', ClaimAnswer(True, 2), 4, 5),
        ],
    ],
)
def test_two_owners_are_refused(history) -> None:
    """Guards against a checker that overlooks a second execution."""
    assert not is_linearizable(history, ClaimModel())


def test_too_large_history_is_not_called_right() -> None:
    """Guards against an exceeded bound that counts as a pass."""
    history = [
        change(1, f'c{number}', None, 0, NEVER_ENDED) for number in range(12)
    ]
    history.append(read(9, 1, 2))
    with pytest.raises(HistoryTooLargeError):
        is_linearizable(history, ConfigurationModel(1), max_visited=50)


def test_revision_that_goes_back_is_found() -> None:
    """Guards against a restarted host that serves an older configuration."""
    observations = [
        RevisionObservation('h', 5, 0, 1),
        RevisionObservation('h', 4, 2, 3),
        RevisionObservation('i', 4, 2, 3),
    ]
    assert len(check_monotonic_revisions(observations)) == 1
    assert not check_monotonic_revisions(observations[1:])


def test_overlapping_answers_may_come_in_either_order() -> None:
    """Guards against false violations for concurrent requests."""
    observations = [
        RevisionObservation('h', 5, 0, 1),
        RevisionObservation('h', 4, 0.5, 3),
    ]
    assert not check_monotonic_revisions(observations)


def test_late_revision_is_found() -> None:
    """Guards against a host that serves an old revision beyond the bound."""
    accepted = {2: 10.0, 3: 20.0}
    in_time = RevisionObservation('h', 2, 23, 24)
    late = RevisionObservation('h', 2, 25, 26)
    assert not check_takes_force([in_time], accepted, 4)
    assert len(check_takes_force([late], accepted, 4)) == 1
