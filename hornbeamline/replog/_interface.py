"""Interfaces between the replicated log and the services that use it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class ReplicatedStateMachine(Protocol):
    """State machine that every control host feeds with the same commands.

    `apply` must be deterministic: it depends only on its arguments and the
    state, not on a clock, a random source or I/O.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the complete state."""

    def restore(self, data: bytes) -> None:
        """Replace the complete state by that of a snapshot."""


class ReplicatedLog(Protocol):
    """Orders the commands of named state machines across control hosts."""

    @property
    def is_leader(self) -> bool:
        """Return whether this host believes that it is the leader."""

    @property
    def leader(self) -> str | None:
        """Return the leader heard from in the last election timeout, if any."""

    @property
    def term(self) -> int:
        """Return the current term."""

    def is_state_confirmed(self) -> bool:
        """Return whether the state machines are known to be up to date."""

    def on_state_confirmed(self, callback: Callable[[], None]) -> None:
        """Register a callback for when `is_state_confirmed` becomes True."""

    def register_state_machine(
        self, name: str, machine: ReplicatedStateMachine
    ) -> None:
        """Register a state machine; call before the log starts."""

    async def propose(self, machine: str, command: bytes) -> bytes:
        """Commit a command and return the result of its `apply`.

        Raises `NotLeaderError`, `LogBusyError`, `CommandTooLargeError`
        or `LogStoppedError` if nothing was proposed, and
        `ProposalUnknownError` if the command may still be applied.
        """

    async def read_barrier(self) -> None:
        """Wait until local state includes all commits made before the call.

        Raises `NotLeaderError` if no quorum confirms this host as the
        leader, and `LogStoppedError`.
        """

    def on_leadership(self, callback: Callable[[bool], None]) -> None:
        """Register a callback for changes of leadership.

        It is called with True when this host becomes the leader and with
        False when it stops being the leader.
        """
