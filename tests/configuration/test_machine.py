"""State machine of the configuration against a simple oracle."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from hornbeamline.configuration import (
    Change,
    ChangeResponse,
    ConfigurationMachine,
)
from hornbeamline.configuration import _machine as machine_module
from hornbeamline.configuration._machine import ChangeCommand
from hornbeamline.helpers.codec import decode, encode
from hornbeamline.inventory import (
    Operation,
    apply_operations,
    difference,
    document_digest,
)
from tests.configuration.documents import document, put_account, put_rule

MAX_HISTORY = 6
MAX_CHANGE_IDS = 12


class Log:
    """State machine behind a log whose leader validates each change."""

    def __init__(self) -> None:
        self.machine = ConfigurationMachine()
        self.index = 0

    def change(self, change: Change, digest: str = 'digest') -> ChangeResponse:
        self.index += 1
        command = ChangeCommand(change, self.index, digest)
        answer = self.machine.apply(self.index, encode(command))
        return decode(answer, ChangeResponse)


class ChangesAgainstOracle(RuleBasedStateMachine):
    """Guards against lost, repeated and reverted changes.

    Covers racing changes of equal base revision, change ids that are sent
    again at any later time, bounds of the history and snapshots at any
    point.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log = Log()
        self.documents: list[dict[str, Any]] = [{}]
        self.winners: list[str] = ['']
        self.responses: dict[str, ChangeResponse] = {}
        self.sent: list[Change] = []
        self._old = (machine_module.MAX_HISTORY, machine_module.MAX_CHANGE_IDS)
        machine_module.MAX_HISTORY = MAX_HISTORY
        machine_module.MAX_CHANGE_IDS = MAX_CHANGE_IDS

    def teardown(self) -> None:
        machine_module.MAX_HISTORY, machine_module.MAX_CHANGE_IDS = self._old

    @property
    def revision(self) -> int:
        return len(self.documents) - 1

    @rule(back=st.sampled_from([0, 0, 0, 1, 2, -1]), length=st.integers(1, 9))
    def change(self, back: int, length: int) -> None:
        base = max(0, self.revision - back)
        name = f'c{len(self.sent)}'
        self.send(Change(name, base, [put_rule(length)], 'operator-1'))

    @rule()
    def racing_changes(self) -> None:
        base = self.revision
        for author in ('operator-1', 'operator-2'):
            name = f'c{len(self.sent)}'
            operations = [put_account(author, len(self.sent))]
            self.send(Change(name, base, operations, author))
        assert self.revision == base + 1

    @precondition(lambda self: self.revision)
    @rule()
    def remove(self) -> None:
        current = self.documents[-1]
        for section, tables in sorted(current.items()):
            for table in sorted(tables)[:1]:
                operation = Operation('remove', section, table)
                name = f'c{len(self.sent)}'
                self.send(Change(name, self.revision, [operation]))
                return

    @precondition(lambda self: self.sent)
    @rule(choice=st.integers(0, 99))
    def resend(self, choice: int) -> None:
        self.send(self.sent[-1 - choice % len(self.sent)])

    @rule(length=st.integers(1, 9))
    def unvalidated_change(self, length: int) -> None:
        name = f'c{len(self.sent)}'
        change = Change(name, self.revision, [put_rule(length)])
        self.sent.append(change)
        response = self.log.change(change, digest='')
        assert response.status == 'conflict'
        self.remember(name, response)

    @rule()
    def restore_snapshot(self) -> None:
        image = self.log.machine.snapshot()
        self.log.machine = ConfigurationMachine()
        self.log.machine.restore(image)
        assert self.log.machine.snapshot() == image

    @invariant()
    def holders_get_every_operation(self) -> None:
        machine = self.log.machine
        assert machine.accepted.revision == self.revision
        assert machine.accepted.document == self.documents[-1]
        for revision in range(self.revision + 2):
            operations = machine.operations_since(revision)
            held = 0 <= self.revision - revision <= MAX_HISTORY
            assert (operations is not None) == held
            if operations is not None:
                reached = apply_operations(
                    self.documents[revision],
                    operations,
                )
                assert reached == self.documents[-1]

    def send(self, change: Change) -> None:
        if change not in self.sent:
            self.sent.append(change)
        first = self.responses.get(change.change_id)
        expected = first or self.expected(change)
        response = self.log.change(change)
        assert response == expected, change
        if first is None:
            self.remember(change.change_id, response)

    def expected(self, change: Change) -> ChangeResponse:
        if change.base_revision != self.revision:
            number = change.base_revision + 1
            oldest = self.revision - MAX_HISTORY
            named = oldest < number <= self.revision
            winner = self.winners[number] if named else ''
            author = self.author(winner)
            return ChangeResponse('conflict', self.revision, winner, author)
        changed = apply_operations(self.documents[-1], change.operations)
        self.documents.append(changed)
        self.winners.append(change.change_id)
        return ChangeResponse('accepted', self.revision)

    def author(self, change_id: str) -> str:
        for change in self.sent:
            if change.change_id == change_id:
                return change.author
        return ''

    def remember(self, change_id: str, response: ChangeResponse) -> None:
        self.responses[change_id] = response
        if len(self.responses) > MAX_CHANGE_IDS:
            self.responses.pop(next(iter(self.responses)))


ChangesAgainstOracle.TestCase.settings = settings(
    max_examples=120,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
TestChanges = ChangesAgainstOracle.TestCase


def test_large_changes_shorten_the_history(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a history that exhausts the memory of a control host."""
    monkeypatch.setattr(machine_module, 'MAX_HISTORY_BYTES', 500)
    log = Log()
    for number in range(20):
        log.change(Change(f'c{number}', number, [put_rule(number)]))
    held = [entry.revision for entry in log.machine.history]
    assert held[-1] == 20
    assert 1 <= len(held) < 10
    log.change(Change('large', 20, [put_account('a' * 600, 1)]))
    assert [entry.revision for entry in log.machine.history] == [21]
    assert log.machine.operations_since(19) is None


def test_undecodable_command_changes_nothing() -> None:
    """Guards against a voter that stops on a malformed command."""
    log = Log()
    before = log.machine.snapshot()
    answer = decode(log.machine.apply(1, b'\xc1'), ChangeResponse)
    assert answer.status == 'invalid'
    assert log.machine.snapshot() == before


def test_operations_that_do_not_fit_change_nothing() -> None:
    """Guards against a partly applied change."""
    log = Log()
    log.change(Change('c1', 0, difference({}, document())))
    operations = [put_rule(3), Operation('remove', 'hosts_by_name', 'none')]
    response = log.change(Change('c2', 1, operations))
    assert response.status == 'invalid'
    assert response.key_path == 'hosts_by_name.none'
    accepted = log.machine.accepted
    assert document_digest(accepted.document) == document_digest(document())
