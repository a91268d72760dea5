"""Ledger state machine, also compared with a simple oracle."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from hornbeamline.helpers.codec import decode, encode
from hornbeamline.ledger import (
    ClaimOutcome,
    ClaimState,
    LedgerMachine,
    const,
    make_outcome,
)
from hornbeamline.ledger import _machine as machine_module
from hornbeamline.ledger import _records as records_module
from hornbeamline.ledger._operations import (
    Batch,
    ClaimKey,
    CloseSession,
    FinishClaim,
    MarkSending,
    OpenSession,
    Operation,
    OperationResult,
    make_operation,
)

KEYS = st.sampled_from(['k1', 'k2'])
DIGESTS = st.sampled_from(['d1', 'd1', 'd1', 'd2'])
OUTCOME_STATES = st.sampled_from(
    [ClaimState.answered, ClaimState.not_run, ClaimState.unknown],
)
RESULT_WAIT_MS = const.RESULT_WAIT_MS
OPEN_STATES = frozenset(('claimed', 'sending'))


class Ledger:
    """State machine with a log index and the clock of its leader."""

    def __init__(self) -> None:
        self.machine = LedgerMachine()
        self.index = 0
        self.now_ms = 0

    def run(self, *operations: Operation) -> list[OperationResult]:
        self.index += 1
        answer = self.machine.apply(
            self.index,
            encode(Batch(self.now_ms, list(operations))),
        )
        return decode(answer, list[OperationResult])

    def run_one(self, kind: str, body: tuple[Any, ...]) -> OperationResult:
        return self.run(make_operation(kind, body))[0]

    def open(self, host: str = 'entry-1', token: str = 't') -> int:
        return self.run_one('open', OpenSession(host, token)).epoch

    def claim(self, epoch: int, number: int = 1, digest: str = 'd') -> str:
        body = ClaimKey(epoch, number, 'acc', 'key', digest, 4000)
        return self.run_one('claim', body).status

    def mark(self, epoch: int, number: int = 1) -> str:
        body = MarkSending(epoch, number, 'acc', 'key', 1000)
        return self.run_one('mark', body).status

    def finish(
        self,
        epoch: int,
        outcome: ClaimOutcome,
        number: int = 1,
    ) -> str:
        body = FinishClaim(epoch, number, 'acc', 'key', outcome)
        return self.run_one('finish', body).status

    def state(self) -> ClaimState:
        view = self.machine.view('acc', 'key')
        assert view is not None
        return view.state


class Oracle:
    """Expected state of claims, modelled independently of the code."""

    def __init__(self) -> None:
        self.live_epochs: set[int] = set()
        self.claims: dict[str, dict[str, Any]] = {}

    def pass_time(self, now_ms: int) -> None:
        for key, claim in tuple(self.claims.items()):
            if claim['until'] > now_ms:
                continue
            if claim['state'] in OPEN_STATES:
                self.end_without_owner(claim, now_ms)
            elif claim['owner'] is None:
                self.claims.pop(key)
            else:
                # Only the key is still stored.
                claim['owner'] = None
                claim['until'] += (
                    const.KEY_RETENTION_MS - const.OUTCOME_RETENTION_MS
                )

    def end_without_owner(self, claim: dict[str, Any], now_ms: int) -> None:
        lost = {'claimed': 'not_run', 'sending': 'unknown'}
        self.end(claim, lost[claim['state']], now_ms)

    def end(self, claim: dict[str, Any], state: str, now_ms: int) -> None:
        if claim['state'] != state:
            claim['state'] = state
            claim['until'] = now_ms + const.OUTCOME_RETENTION_MS

    def close(self, epoch: int, now_ms: int) -> None:
        self.live_epochs.discard(epoch)
        for claim in self.claims.values():
            if claim['state'] in OPEN_STATES and claim['owner'][0] == epoch:
                self.end_without_owner(claim, now_ms)

    def claim(self, body: ClaimKey, now_ms: int) -> str:
        owner = (body.epoch, body.number)
        known = self.claims.get(body.request_key)
        if known and known['owner'] == owner:
            return 'granted'
        if body.epoch not in self.live_epochs:
            return 'fenced'
        if known and known['digest'] != body.body_digest:
            return 'key_reused'
        if known and known['state'] != 'not_run':
            return 'existing' if known['owner'] else 'key_expired'
        last = known['owner'] if known else None
        if last and last[0] == body.epoch and last > owner:
            return 'stale'
        self.claims[body.request_key] = {
            'owner': owner,
            'digest': body.body_digest,
            'state': 'claimed',
            'until': now_ms + body.deadline_ms + const.CLAIM_GRACE_MS,
        }
        return 'granted'

    def mark(self, body: MarkSending, now_ms: int) -> str:
        known = self.owned(body)
        if known is None or known['state'] not in {'claimed', 'sending'}:
            return 'fenced'
        if known['state'] == 'claimed':
            known['state'] = 'sending'
            known['until'] = now_ms + body.send_by_ms + RESULT_WAIT_MS
        return 'ok'

    def finish(self, body: FinishClaim, now_ms: int) -> str:
        known = self.owned(body)
        wanted = body.outcome.state.value
        allowed = {
            'claimed': {'answered', 'not_run'},
            'sending': {'answered', 'not_run', 'unknown'},
            'unknown': {'answered', 'not_run', 'unknown'},
            'answered': {'answered'},
            'not_run': {'not_run'},
        }
        if known is None or wanted not in allowed[known['state']]:
            return 'fenced'
        self.end(known, wanted, now_ms)
        return 'ok'

    def owned(self, body: Any) -> dict[str, Any] | None:
        known = self.claims.get(body.request_key)
        owner = (body.epoch, body.number)
        return known if known and known['owner'] == owner else None


class ClaimsAgainstOracle(RuleBasedStateMachine):
    """Guards against a key that two attempts may send.

    Covers owners that fail in each state, expired sessions, commands that
    are repeated at any later time, and snapshots at any point.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = Ledger()
        self.oracle = Oracle()
        self.epochs: list[int] = []
        self.attempts: list[ClaimKey] = []
        self.history: list[tuple[str, Any]] = []
        # Attempt that may send, by key, until it reports `not_run`.
        self.permits: dict[str, tuple[int, int]] = {}

    @rule()
    def open_session(self) -> None:
        number = len(self.epochs)
        epoch = self.ledger.open(token=f't{number}')
        assert epoch not in self.epochs
        assert self.ledger.open(token=f't{number}') == epoch
        self.epochs.append(epoch)
        self.oracle.live_epochs.add(epoch)

    @precondition(lambda self: self.epochs)
    @rule(choice=st.integers(0, 99))
    def close_session(self, choice: int) -> None:
        epoch = self.epochs[choice % len(self.epochs)]
        self.execute('close', CloseSession(epoch))

    @precondition(lambda self: self.epochs)
    @rule(
        choice=st.integers(0, 99),
        key=KEYS,
        digest=DIGESTS,
        deadline_ms=st.sampled_from([0, 4000]),
    )
    def claim(
        self,
        choice: int,
        key: str,
        digest: str,
        deadline_ms: int,
    ) -> None:
        epoch = self.epochs[choice % len(self.epochs)]
        number = len(self.attempts) + 1
        body = ClaimKey(epoch, number, 'acc', key, digest, deadline_ms)
        self.attempts.append(body)
        self.execute('claim', body)

    @precondition(lambda self: self.attempts)
    @rule(choice=st.integers(0, 9))
    def mark(self, choice: int) -> None:
        attempt = self.recent(choice)
        self.execute('mark', MarkSending(*attempt[:4], 1000))

    @precondition(lambda self: self.attempts)
    @rule(choice=st.integers(0, 9), end=OUTCOME_STATES)
    def finish(self, choice: int, end: ClaimState) -> None:
        attempt = self.recent(choice)
        outcome = make_outcome(end, 'r', b'answer')
        self.execute('finish', FinishClaim(*attempt[:4], outcome))

    @precondition(lambda self: self.history)
    @rule(choice=st.integers(0, 999))
    def repeat_command(self, choice: int) -> None:
        self.execute(*self.history[choice % len(self.history)])

    @rule(
        step_ms=st.sampled_from(
            [-5000, 10, 1500, 6000, 40_000, const.OUTCOME_RETENTION_MS],
        ),
    )
    def pass_time(self, step_ms: int) -> None:
        before_ms = self.ledger.machine.now_ms
        self.ledger.now_ms = max(0, before_ms + step_ms)
        self.ledger.run()
        assert self.ledger.machine.now_ms >= before_ms
        self.ledger.now_ms = self.ledger.machine.now_ms
        self.oracle.pass_time(self.ledger.now_ms)

    @rule()
    def restore_snapshot(self) -> None:
        image = self.ledger.machine.snapshot()
        self.ledger.machine = LedgerMachine()
        self.ledger.machine.restore(image)
        assert self.ledger.machine.snapshot() == image

    @invariant()
    def states_agree(self) -> None:
        for key, claim in self.oracle.claims.items():
            view = self.ledger.machine.view('acc', key)
            assert view is not None
            assert view.state.value == claim['state']
            assert (view.outcome is not None) == view.state.has_outcome
            assert view.is_tombstone == (claim['owner'] is None)

    def recent(self, choice: int) -> ClaimKey:
        return self.attempts[-1 - choice % len(self.attempts)]

    def execute(self, kind: str, body: Any) -> None:
        self.history.append((kind, body))
        expected = self.expected(kind, body)
        actual = self.ledger.run_one(kind, body)
        assert actual.status == expected, (kind, body)
        self.check_at_most_once(kind, body, actual.status)

    def expected(self, kind: str, body: Any) -> str:
        now_ms = self.ledger.now_ms
        if kind == 'claim':
            return self.oracle.claim(body, now_ms)
        if kind == 'mark':
            return self.oracle.mark(body, now_ms)
        if kind == 'finish':
            return self.oracle.finish(body, now_ms)
        self.oracle.close(body.epoch, now_ms)
        return 'ok'

    def check_at_most_once(self, kind: str, body: Any, status: str) -> None:
        if kind == 'close':
            return
        holder = self.permits.get(body.request_key)
        owner = (body.epoch, body.number)
        if kind == 'mark' and status == 'ok':
            assert holder in {None, owner}, 'two attempts may send'
            self.permits[body.request_key] = owner
        proves = kind == 'finish' and body.outcome.state is ClaimState.not_run
        if proves and status == 'ok' and holder == owner:
            self.permits.pop(body.request_key)


ClaimsAgainstOracle.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestClaims = ClaimsAgainstOracle.TestCase


def test_owner_lost_in_claimed_is_not_run() -> None:
    """Guards against a late SENDING of an owner whose session expired."""
    ledger = Ledger()
    epoch = ledger.open()
    assert ledger.claim(epoch) == 'granted'
    ledger.run_one('close', CloseSession(epoch))
    assert ledger.state() is ClaimState.not_run
    assert ledger.mark(epoch) == 'fenced'


def test_owner_lost_in_sending_is_unknown_until_proof() -> None:
    """Guards against a second run after a lost owner may have sent."""
    ledger = Ledger()
    epoch = ledger.open()
    ledger.claim(epoch)
    ledger.mark(epoch)
    ledger.run_one('close', CloseSession(epoch))
    assert ledger.state() is ClaimState.unknown
    other = ledger.open(token='other')
    assert ledger.claim(other, 9) == 'existing'
    assert ledger.finish(epoch, make_outcome(ClaimState.not_run)) == 'ok'
    assert ledger.claim(other, 9) == 'granted'


def test_silent_owner_is_unknown_after_result_wait() -> None:
    """Guards against a claim that stays SENDING forever."""
    ledger = Ledger()
    epoch = ledger.open()
    ledger.claim(epoch)
    ledger.mark(epoch)
    ledger.now_ms = 1000 + RESULT_WAIT_MS - 1
    ledger.run()
    assert ledger.state() is ClaimState.sending
    ledger.now_ms += 1
    ledger.run()
    assert ledger.state() is ClaimState.unknown


def test_key_expires_in_two_steps() -> None:
    """Guards against a second run of a key within 30 days."""
    ledger = Ledger()
    epoch = ledger.open()
    ledger.claim(epoch)
    ledger.finish(epoch, make_outcome(ClaimState.answered, '', b'body'))
    ledger.now_ms = const.OUTCOME_RETENTION_MS
    assert ledger.claim(epoch, 2) == 'key_expired'
    view = ledger.machine.view('acc', 'key')
    assert view is not None and view.outcome is not None
    assert view.is_tombstone and view.outcome.body is None
    ledger.now_ms = const.KEY_RETENTION_MS - 1
    assert ledger.claim(epoch, 2) == 'key_expired'
    ledger.now_ms = const.KEY_RETENTION_MS
    assert ledger.claim(epoch, 3) == 'granted'


def test_key_that_did_not_run_may_be_claimed_after_a_day() -> None:
    """Guards against `key_expired` for a request that never ran."""
    ledger = Ledger()
    epoch = ledger.open()
    ledger.claim(epoch)
    ledger.finish(epoch, make_outcome(ClaimState.not_run))
    ledger.now_ms = const.OUTCOME_RETENTION_MS
    assert ledger.claim(epoch, 2) == 'granted'
    assert ledger.state() is ClaimState.claimed
    view = ledger.machine.view('acc', 'key')
    assert view is not None and view.attempt == 2


def test_full_ledger_refuses_new_keys(monkeypatch: Any) -> None:
    """Guards against a ledger that grows without limit or drops keys."""
    monkeypatch.setattr(machine_module, 'MAX_KEYS', 2)
    ledger = Ledger()
    epoch = ledger.open()
    ledger.claim(epoch)
    ledger.finish(epoch, make_outcome(ClaimState.answered))
    ledger.now_ms = const.OUTCOME_RETENTION_MS
    ledger.run()
    statuses = [
        ledger.run_one(
            'claim', ClaimKey(epoch, 2, 'acc', key, 'd', 4000)
        ).status
        for key in ('a', 'b', 'a', 'key')
    ]
    assert statuses == ['granted', 'ledger_full', 'granted', 'key_expired']


def test_oldest_outcomes_make_room_for_new_keys(monkeypatch: Any) -> None:
    """Guards against refusals while old outcomes fill the table.

    A voter that was restored from a snapshot must drop the same ones.
    """
    monkeypatch.setattr(machine_module, 'MAX_RECORDS', 3)
    ledger = Ledger()
    epoch = ledger.open()
    ended = ClaimOutcome(ClaimState.answered, '')
    for key in ('b', 'a', 'open'):
        ledger.run_one('claim', ClaimKey(epoch, 1, 'acc', key, 'd', 4000))
    for key in ('b', 'a'):
        ledger.run_one('finish', FinishClaim(epoch, 1, 'acc', key, ended))
    restored = LedgerMachine()
    restored.restore(ledger.machine.snapshot())
    new = ClaimKey(epoch, 2, 'acc', 'new', 'd', 4000)
    command = encode(Batch(ledger.now_ms, [make_operation('claim', new)]))
    for machine in (ledger.machine, restored):
        machine.apply(99, command)
        views = {
            key: machine.view('acc', key) for key in ('a', 'b', 'open', 'new')
        }
        assert {key for key, view in views.items() if view.is_tombstone} == {
            'a',
        }
    assert restored.snapshot() == ledger.machine.snapshot()
    late = ClaimKey(epoch, 3, 'acc', 'a', 'd', 4000)
    assert ledger.run_one('claim', late).status == 'key_expired'


def test_due_records_are_spread_over_commands(monkeypatch: Any) -> None:
    """Guards against a voter that stalls when many transitions are due."""
    monkeypatch.setattr(machine_module, 'MAX_DUE_PER_COMMAND', 1)
    ledger = Ledger()
    epoch = ledger.open()
    for key in ('a', 'b'):
        ledger.run_one('claim', ClaimKey(epoch, 1, 'acc', key, 'd', 0))
    ledger.now_ms = const.CLAIM_GRACE_MS
    states = []
    for _ in range(2):
        ledger.run()
        views = [ledger.machine.view('acc', key) for key in ('a', 'b')]
        states.append([view.state.value for view in views if view])
    assert states == [['not_run', 'claimed'], ['not_run', 'not_run']]


def test_large_answer_is_kept_by_digest_only() -> None:
    """Guards against log entries as large as the answers."""
    body = b'x' * (const.MAX_BODY_BYTES + 1)
    outcome = make_outcome(ClaimState.answered, '', body)
    assert outcome.body is None
    assert outcome.body_digest
    kept = make_outcome(ClaimState.answered, '', body[:-1])
    assert kept.body == body[:-1]


def test_oldest_answers_are_dropped_over_the_total(monkeypatch: Any) -> None:
    """Guards against answers that exhaust the memory of control hosts."""
    monkeypatch.setattr(records_module, 'MAX_BODIES_BYTES', 10)
    ledger = Ledger()
    epoch = ledger.open()
    for number, key in enumerate(('a', 'b', 'c')):
        body = ClaimKey(epoch, number, 'acc', key, 'd', 4000)
        ledger.run_one('claim', body)
        outcome = make_outcome(ClaimState.answered, '', b'12345')
        ledger.run_one('finish', FinishClaim(*body[:4], outcome))
    held = {}
    for key in ('a', 'b', 'c'):
        view = ledger.machine.view('acc', key)
        assert view is not None and view.outcome is not None
        assert view.outcome.body_digest
        held[key] = view.outcome.body
    assert held == {'a': None, 'b': b'12345', 'c': b'12345'}


def test_sessions_of_one_batch_get_different_epochs() -> None:
    """Guards against two owners that share an epoch."""
    ledger = Ledger()
    answers = ledger.run(
        make_operation('open', OpenSession('entry-1', 'a')),
        make_operation('open', OpenSession('entry-2', 'b')),
    )
    assert answers[0].epoch != answers[1].epoch


def test_undecodable_command_changes_nothing() -> None:
    """Guards against a voter that stops on a malformed command."""
    ledger = Ledger()
    before = ledger.machine.snapshot()
    assert ledger.machine.apply(1, b'\xc1') == encode([])
    assert ledger.run(Operation('claim', b'\xc1'))[0].status == 'invalid'
    assert ledger.run(Operation('none', b''))[0].status == 'invalid'
    assert ledger.machine.snapshot() == before


def test_delayed_copy_of_an_ended_attempt_claims_nothing() -> None:
    """Guards against a key held by an attempt that has already ended."""
    ledger = Ledger()
    epoch = ledger.open()
    for number in (1, 2):
        assert ledger.claim(epoch, number) == 'granted'
        ledger.finish(epoch, make_outcome(ClaimState.not_run), number)
    assert ledger.claim(epoch, 1) == 'stale'
    assert ledger.state() is ClaimState.not_run


def test_repeated_end_does_not_prolong_the_outcome() -> None:
    """Guards against a repeated outcome that extends the key's retention."""
    ledger = Ledger()
    epoch = ledger.open()
    ledger.claim(epoch)
    ledger.mark(epoch)
    outcome = make_outcome(ClaimState.unknown, 'target_failed')
    ledger.finish(epoch, outcome)
    ledger.now_ms = const.OUTCOME_RETENTION_MS - 1
    ledger.finish(epoch, outcome)
    ledger.now_ms += 1
    assert ledger.claim(epoch, 2) == 'key_expired'
