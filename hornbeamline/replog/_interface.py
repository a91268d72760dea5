"""What components see of the replicated log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class ReplicatedMachine(Protocol):
    """State that every voter derives from the same commands.

    `apply` must depend on its arguments and the state only: no clock, no
    random source, no I/O.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""


class ReplicatedLog(Protocol):
    """Orders commands of named machines across control hosts."""

    @property
    def is_leader(self) -> bool:
        """Return whether this host leads, as far as it knows."""

    @property
    def leader(self) -> str | None:
        """Return the name of the leader as last heard of."""

    @property
    def term(self) -> int:
        """Return the current term."""

    def register_machine(self, name: str, machine: ReplicatedMachine) -> None:
        """Add a machine before the log starts."""

    async def propose(self, machine: str, command: bytes) -> bytes:
        """Commit a command and return the result of its `apply`.

        Raises `NotLeaderError`, `LogBusyError`, `CommandTooLargeError`
        and `LogStoppedError` (nothing was proposed), and
        `ProposalUnknownError` (it may still be applied).
        """

    async def read_barrier(self) -> None:
        """Return once local state holds all commits made before the call.

        Raises `NotLeaderError` when a quorum does not confirm this host as
        the leader, and `LogStoppedError`.
        """

    def on_leadership(self, changed: Callable[[bool], None]) -> None:
        """Call back with True on becoming leader, False on losing it."""
