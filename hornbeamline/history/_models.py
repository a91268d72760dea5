"""Sequential models of the configuration and of claims of request keys."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Final, NamedTuple

from hornbeamline.history._operation import Operation


class ChangeArgument(NamedTuple):
    """Argument of a change of the configuration."""

    base_revision: int
    change_id: str


class ChangeAnswer(NamedTuple):
    """Answer to a change: the new revision, or a conflict."""

    accepted: bool
    # The new revision when accepted, otherwise the current one.
    revision: int


class ReadArgument(NamedTuple):
    """Argument of a read; the result is the accepted revision."""


class _Configuration(NamedTuple):
    revision: int
    # Id and revision of each accepted change.
    accepted: frozenset[tuple[str, int]]


class ConfigurationModel:
    """Revision counter with compare-and-set and idempotent changes."""

    def __init__(self, first_revision: int) -> None:
        """Initialize with the revision before the first operation."""
        self._first_revision = first_revision

    def initial(self) -> Hashable:
        """Return the first revision without accepted changes."""
        return _Configuration(self._first_revision, frozenset())

    def step(self, state: Hashable, operation: Operation) -> Hashable | None:
        """Return the state after a change or a read."""
        assert isinstance(state, _Configuration)
        if isinstance(operation.argument, ReadArgument):
            return _state_if_allowed(operation, state.revision, state)
        argument = operation.argument
        accepted_revision = dict(state.accepted).get(argument.change_id)
        if accepted_revision is not None:
            return _state_if_allowed(
                operation, ChangeAnswer(True, accepted_revision), state
            )
        if argument.base_revision != state.revision:
            answer = ChangeAnswer(False, state.revision)
            return _state_if_allowed(operation, answer, state)
        revision = state.revision + 1
        accepted = state.accepted | {(argument.change_id, revision)}
        return _state_if_allowed(
            operation,
            ChangeAnswer(True, revision),
            _Configuration(revision, accepted),
        )


class ClaimArgument(NamedTuple):
    """Argument of a claim of the request key by an entry host."""

    owner: str


class ClaimAnswer(NamedTuple):
    """Answer to a claim: granted with an attempt number, or refused."""

    granted: bool
    attempt: int


class FinishArgument(NamedTuple):
    """Argument for the end of an attempt.

    Clients record True, or None when the result is unknown. The model expects
    False for an attempt that is not the current one or after the key has run.
    """

    attempt: int
    ran: bool


class _Claim(NamedTuple):
    attempt: int
    owner: str


# Owners that stand for an unclaimed key and for one that has run.
_FREE: Final = ''
_DONE: Final = '*'


class ClaimModel:
    """Model of one request key, with at most one owner and one execution."""

    def initial(self) -> Hashable:
        """Return the state of an unclaimed key."""
        return _Claim(0, _FREE)

    def step(self, state: Hashable, operation: Operation) -> Hashable | None:
        """Return the state after a claim or a finish."""
        assert isinstance(state, _Claim)
        argument = operation.argument
        if isinstance(argument, FinishArgument):
            return self._finish(state, operation, argument)
        if state.owner == argument.owner:
            answer = ClaimAnswer(True, state.attempt)
            return _state_if_allowed(operation, answer, state)
        if state.owner != _FREE:
            answer = ClaimAnswer(False, state.attempt)
            return _state_if_allowed(operation, answer, state)
        claimed = _Claim(state.attempt + 1, argument.owner)
        answer = ClaimAnswer(True, claimed.attempt)
        return _state_if_allowed(operation, answer, claimed)

    def _finish(
        self,
        state: _Claim,
        operation: Operation,
        argument: FinishArgument,
    ) -> Hashable | None:
        if argument.attempt != state.attempt or state.owner == _DONE:
            return _state_if_allowed(operation, False, state)
        ended = state._replace(owner=_DONE if argument.ran else _FREE)
        return _state_if_allowed(operation, True, ended)


def _state_if_allowed(
    operation: Operation,
    expected: object,
    state: Hashable,
) -> Hashable | None:
    if operation.is_known and operation.result != expected:
        return None
    return state
