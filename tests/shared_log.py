"""Replicated log of one event loop, with a leader set by the test."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from hornbeamline.replog import NotLeaderError, ProposalUnknownError


class SharedLog:
    """Commit commands on all voters at once, in the order of proposals."""

    def __init__(self, rng: random.Random, delay_s: float = 0.002) -> None:
        """Initialize with a random source and the duration of a commit."""
        self.rng = rng
        self.delay_s = delay_s
        # Share of proposals that end in an unknown result.
        self.unknown_share = 0.0
        self.leader: str | None = None
        self.term = 0
        self.commands: list[tuple[str, bytes]] = []
        self.voters_by_name: dict[str, VoterLog] = {}

    def voter(self, name: str) -> VoterLog:
        """Return the view that one voter has of the log."""
        self.voters_by_name[name] = VoterLog(name, self)
        return self.voters_by_name[name]

    def elect(self, name: str | None) -> None:
        """Make a voter the leader of a new term, or leave it without one."""
        old, self.leader = self.leader, name
        self.term += 1
        for voter in self.voters_by_name.values():
            if voter.name in {old, name}:
                voter.notify(voter.name == name)

    def commit(self, machine: str, command: bytes) -> None:
        """Apply a command on all voters."""
        self.commands.append((machine, command))
        for voter in self.voters_by_name.values():
            voter.apply(len(self.commands))


class VoterLog:
    """Implement `hornbeamline.replog.ReplicatedLog` for one voter."""

    def __init__(self, name: str, shared: SharedLog) -> None:
        """Initialize with the voter's name and the shared log."""
        self.name = name
        self.shared = shared
        # True for a deposed leader that still believes that it leads.
        self.is_outdated = False
        self.machines: dict[str, Any] = {}
        self.answers: dict[int, bytes] = {}
        self._observers: list[Callable[[bool], None]] = []

    @property
    def is_leader(self) -> bool:
        """Return whether this voter believes that it leads."""
        return self.is_outdated or self.shared.leader == self.name

    @property
    def leader(self) -> str | None:
        """Return the leader's name."""
        return self.shared.leader

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.shared.term

    def is_state_confirmed(self) -> bool:
        """Return True, as commits are applied on all voters at once."""
        return True

    def on_state_confirmed(self, callback: Callable[[], None]) -> None:
        """Ignore the callback, as the state is always confirmed."""

    def register_state_machine(self, name: str, machine: Any) -> None:
        """Register a state machine that applies commands."""
        self.machines[name] = machine

    def on_leadership(self, callback: Callable[[bool], None]) -> None:
        """Register a callback for leadership changes of this voter."""
        self._observers.append(callback)

    def notify(self, is_leader: bool) -> None:
        """Call all leadership observers."""
        for observer in self._observers:
            observer(is_leader)

    def apply(self, index: int) -> None:
        """Apply a committed command."""
        machine, command = self.shared.commands[index - 1]
        self.answers = {index: self.machines[machine].apply(index, command)}

    async def propose(self, machine: str, command: bytes) -> bytes:
        """Commit a command and return its answer.

        Raises ProposalUnknownError for a random `unknown_share` of proposals
        and when the term changes meanwhile; half of these are committed.
        """
        term = self.shared.term
        self._require_leader()
        await asyncio.sleep(self.shared.delay_s)
        is_unknown = self.shared.rng.random() < self.shared.unknown_share
        if is_unknown or term != self.shared.term:
            if self.shared.rng.random() < 0.5:
                self.shared.commit(machine, command)
            raise ProposalUnknownError('leadership was lost')
        self.shared.commit(machine, command)
        return self.answers[len(self.shared.commands)]

    async def read_barrier(self) -> None:
        """Confirm that this voter leads; raise NotLeaderError otherwise."""
        self._require_leader()
        await asyncio.sleep(self.shared.delay_s)
        self._require_leader()

    def _require_leader(self) -> None:
        if self.shared.leader != self.name:
            raise NotLeaderError(self.shared.leader)
