"""Tests of the checks of the soak tests, on made-up records."""

from __future__ import annotations

import random

import pytest

from hornbeamline.history import ChangeAnswer, ChangeArgument
from tests.soak.checks import check_configuration, check_keys
from tests.soak.clients import Attempt, Clients
from tests.soak.faults import INJECTORS, plan_rounds
from tests.soak.fleet import Execution

RAN = Execution('cement/k/desk', 'id-1', 0.5, 0.6)
ANSWERED = Attempt(
    *('k', 'entry-1', 'id-1', 'answered', ''),
    {'echo': {'text': 'k'}},
    *(0, 1),
)
NOT_RUN = ANSWERED._replace(outcome='not_run', output=None)
LOST = NOT_RUN._replace(outcome='lost', request_id='')


@pytest.mark.parametrize(
    ('attempts', 'executions', 'outcome'),
    [
        ([ANSWERED], [RAN], 'answered'),
        # The owner crashed before it recorded the answer.
        ([ANSWERED], [RAN], 'unknown'),
        ([NOT_RUN], [], 'not_run'),
        ([LOST], [], ''),
        # The first attempt was executed; the second host could not reach the
        # ledger.
        ([LOST, NOT_RUN._replace(request_id='id-2')], [RAN], 'answered'),
    ],
)
def test_kept_promises_pass(attempts, executions, outcome) -> None:
    """Guards against checks that report allowed outcomes."""
    assert not list(check_keys(attempts, executions, {'k': outcome}))


@pytest.mark.parametrize(
    ('attempts', 'executions', 'outcome'),
    [
        ([ANSWERED], [RAN, RAN._replace(request_id='id-2')], 'answered'),
        ([LOST], [RAN, RAN], 'unknown'),
        ([ANSWERED], [], 'answered'),
        ([LOST], [], 'answered'),
        ([ANSWERED._replace(output={'echo': {}})], [RAN], 'answered'),
        ([LOST, NOT_RUN], [RAN], 'unknown'),
        ([NOT_RUN._replace(request_id='')], [RAN], 'unknown'),
        ([LOST], [RAN], 'not_run'),
        ([LOST], [RAN], ''),
        ([ANSWERED], [RAN._replace(request_id='id-2')], 'answered'),
    ],
)
def test_broken_promises_are_found(attempts, executions, outcome) -> None:
    """Guards against checks that accept everything."""
    assert list(check_keys(attempts, executions, {'k': outcome}))


def clients_with(**accepted: int) -> Clients:
    """Return clients that recorded these changes as accepted in order."""
    clients = Clients(None, 0)
    for name, revision in accepted.items():
        clients.recorder.ended(
            name,
            ChangeArgument(revision - 1, name),
            ChangeAnswer(True, revision),
            clients.recorder.began(),
        )
        clients.changes_by_revision[revision] = name
    return clients


def test_lost_or_doubled_change_is_found() -> None:
    """Guards against checks that miss a lost or doubled change."""
    history = {2: 'c2', 3: 'c3'}
    assert not list(check_configuration(clients_with(c2=2, c3=3), history))
    assert list(check_configuration(clients_with(c2=2, c3=3), {2: 'c2'}))
    assert list(check_configuration(clients_with(x=2, c2=2), history))


def test_schedule_is_repeatable_and_has_every_fault() -> None:
    """Guards against schedules that a seed does not fix, or lack a fault."""
    rounds = plan_rounds(random.Random(5), 60)
    assert rounds == plan_rounds(random.Random(5), 60)
    kinds = {fault.kind for one in rounds for fault in one.faults}
    assert kinds == set(INJECTORS)
