"""Sequential models of configuration and claims."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Final, NamedTuple

from hornbeamline.history._operation import Operation


class ChangeArgument(NamedTuple):
    """A change of the configuration."""

    base_revision: int
    change_id: str


class ChangeAnswer(NamedTuple):
    """Answer to a change: the new revision, or a conflict."""

    accepted: bool
    # New revision when accepted, the current one in a conflict.
    revision: int


class ReadArgument(NamedTuple):
    """A read of the accepted revision; the result is its number."""


class _Configuration(NamedTuple):
    revision: int
    accepted: frozenset[tuple[str, int]]


class ConfigurationModel:
    """Revision counter with compare-and-set and repeatable changes."""

    def __init__(self, first_revision: int) -> None:
        """Take the revision before the history."""
        self._first_revision = first_revision

    def initial(self) -> Hashable:
        """Return the first revision without recorded changes."""
        return _Configuration(self._first_revision, frozenset())

    def step(self, state: Hashable, operation: Operation) -> Hashable | None:
        """Return the state after a change or a read."""
        assert isinstance(state, _Configuration)
        if isinstance(operation.argument, ReadArgument):
            return _checked(operation, state.revision, state)
        argument = operation.argument
        repeated = dict(state.accepted).get(argument.change_id)
        if repeated is not None:
            return _checked(operation, ChangeAnswer(True, repeated), state)
        if argument.base_revision != state.revision:
            answer = ChangeAnswer(False, state.revision)
            return _checked(operation, answer, state)
        revision = state.revision + 1
        accepted = state.accepted | {(argument.change_id, revision)}
        return _checked(
            operation,
            ChangeAnswer(True, revision),
            _Configuration(revision, accepted),
        )


class ClaimArgument(NamedTuple):
    """A claim of one request key by an entry host."""

    owner: str


class ClaimAnswer(NamedTuple):
    """Answer to a claim: granted as an attempt, or held by another."""

    granted: bool
    attempt: int


class FinishArgument(NamedTuple):
    """The end of an attempt; the result is None or True."""

    attempt: int
    ran: bool


class _Claim(NamedTuple):
    attempt: int
    owner: str


_FREE: Final = ''
_DONE: Final = '*'


class ClaimModel:
    """One request key: at most one owner, none after it ran."""

    def initial(self) -> Hashable:
        """Return a key that nobody has claimed."""
        return _Claim(0, _FREE)

    def step(self, state: Hashable, operation: Operation) -> Hashable | None:
        """Return the state after a claim or a finish."""
        assert isinstance(state, _Claim)
        argument = operation.argument
        if isinstance(argument, FinishArgument):
            return self._finish(state, operation, argument)
        if state.owner == argument.owner:
            answer = ClaimAnswer(True, state.attempt)
            return _checked(operation, answer, state)
        if state.owner != _FREE:
            answer = ClaimAnswer(False, state.attempt)
            return _checked(operation, answer, state)
        claimed = _Claim(state.attempt + 1, argument.owner)
        answer = ClaimAnswer(True, claimed.attempt)
        return _checked(operation, answer, claimed)

    def _finish(
        self,
        state: _Claim,
        operation: Operation,
        argument: FinishArgument,
    ) -> Hashable | None:
        if argument.attempt != state.attempt or state.owner == _DONE:
            return _checked(operation, False, state)
        ended = state._replace(owner=_DONE if argument.ran else _FREE)
        return _checked(operation, True, ended)


def _checked(
    operation: Operation,
    allowed: object,
    state: Hashable,
) -> Hashable | None:
    if operation.is_known and operation.result != allowed:
        return None
    return state
