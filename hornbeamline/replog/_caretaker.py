"""Changes of voters that need no operator."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from hornbeamline.exceptions import ReplicatedLogError
from hornbeamline.replog._entries import Member
from hornbeamline.replog._leadership import Leadership
from hornbeamline.replog._node import Node
from hornbeamline.replog._voters import VoterChange, VoterChanges
from hornbeamline.replog.const import (
    CHANGE_ADD_LEARNER,
    CHANGE_PROMOTE,
    CHANGE_REMOVE,
    CHANGE_REPLACE,
)
from hornbeamline.replog.errors import VoterChangeRefusedError
from hornbeamline.telemetry import log_event

# A repaired host must vote again within 4 s, which leaves ten rounds.
CARE_INTERVAL_S: Final = 0.2
# Longer than the restart of a process, shorter than the time after which
# the next loss has to be tolerated.
VOTER_SILENCE_S: Final = 3.0
# Learners that are gone hold no vote and are kept for a while.
LEARNER_SILENCE_S: Final = 15.0


class ControlHost(NamedTuple):
    """A control process as the directory knows it."""

    address: str
    # It keeps its log over a restart; others must not vote.
    is_durable: bool = True


# Control processes that were heard recently, by name.
ControlsSource = Callable[[], Mapping[str, ControlHost]]


class Caretaker:
    """Keeps the wished number of voters among the hosts that are there.

    Runs on every voter and acts on the leader only. Emptied voters come
    back as learners under their new identity, new control processes become
    learners, and a learner that has caught up takes the place of a voter
    that is silent or missing. Processes without a disk stay learners.
    """

    def __init__(
        self,
        node: Node,
        changes: VoterChanges,
        controls: ControlsSource,
        voters: int,
    ) -> None:
        """Take the node, the present control processes, the voter count."""
        self._node = node
        self._changes = changes
        self._controls = controls
        self._voters = voters
        self._refusal = ''

    async def run(self) -> None:
        """Check in short intervals until cancelled."""
        while True:
            await asyncio.sleep(CARE_INTERVAL_S)
            leadership = self._node.leadership
            if leadership is None or not leadership.is_announced:
                continue
            for change in self.next_changes(leadership):
                if await self._make(leadership, change):
                    break

    def next_changes(self, leadership: Leadership) -> list[VoterChange]:
        """Return the wished changes, the most urgent one first.

        The first may be refused until one of the others is made.
        """
        wished = (
            self._replace_emptied(leadership),
            self._add_new(leadership),
            self._fill_vote(leadership),
            self._drop_learner(leadership),
        )
        return [change for change in wished if change is not None]

    async def _make(self, leadership: Leadership, change: VoterChange) -> bool:
        """Return whether a change was made."""
        try:
            await self._changes.change(leadership, change)
        except VoterChangeRefusedError as error:
            self._log_refusal(change, str(error))
        except ReplicatedLogError as error:
            # The leadership ended; the next leader repeats the change.
            self._log_refusal(change, repr(error))
        else:
            return True
        return False

    def _log_refusal(self, change: VoterChange, reason: str) -> None:
        if reason == self._refusal:
            return
        self._refusal = reason
        log_event(
            'replog.change_waits',
            action=change.action,
            member=change.name,
            reason=reason,
        )

    def _replace_emptied(self, leadership: Leadership) -> VoterChange | None:
        for name, progress in leadership.table.progress_by_name.items():
            member = leadership.members.members_by_name.get(name)
            if member is None or progress.identity in {'', member.identity}:
                continue
            if member.is_voter:
                return VoterChange(CHANGE_REPLACE, name, progress.identity)
            # A replaced member becomes a voter; a learner that comes back
            # empty joins again as a learner.
            return VoterChange(CHANGE_REMOVE, name)
        return None

    def _add_new(self, leadership: Leadership) -> VoterChange | None:
        for name, host in sorted(self._controls().items()):
            if name not in leadership.members.members_by_name:
                return VoterChange(CHANGE_ADD_LEARNER, name, '', host.address)
        return None

    def _fill_vote(self, leadership: Leadership) -> VoterChange | None:
        members = leadership.members
        ready = [
            member
            for _, member in sorted(members.members_by_name.items())
            if not member.is_voter
            and self._is_durable(member.name)
            and leadership.table.is_caught_up(member)
        ]
        if not ready:
            return None
        if len(members.voters) < self._voters:
            return VoterChange(CHANGE_PROMOTE, ready[0].name)
        silent = self._silent(leadership, members.voters, VOTER_SILENCE_S)
        if silent is not None:
            return VoterChange(CHANGE_REMOVE, silent.name)
        return None

    def _is_durable(self, name: str) -> bool:
        host = self._controls().get(name)
        return host is not None and host.is_durable

    def _drop_learner(self, leadership: Leadership) -> VoterChange | None:
        learners = [
            member
            for member in leadership.members.members_by_name.values()
            if not member.is_voter
        ]
        silent = self._silent(leadership, learners, LEARNER_SILENCE_S)
        if silent is None or silent.name in self._controls():
            return None
        return VoterChange(CHANGE_REMOVE, silent.name)

    def _silent(
        self,
        leadership: Leadership,
        members: list[Member],
        silence_s: float,
    ) -> Member | None:
        now = self._node.clock.monotonic()
        for member in members:
            progress = leadership.table.progress_by_name.get(member.name)
            if progress is None or member.name == self._node.name:
                continue
            if now - progress.contact_at > silence_s:
                return member
        return None
