"""Automatic changes of voters, without an operator."""

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

# A repaired host must vote again within 4 s, which leaves time for at least
# ten rounds.
RECONCILE_INTERVAL_S: Final = 0.2
# Longer than the restart of a process, shorter than the time after which
# the loss of another voter must be tolerated.
VOTER_SILENCE_S: Final = 3.0
# Longer than for voters, since an unreachable learner affects no quorum.
LEARNER_SILENCE_S: Final = 15.0


class ControlHost(NamedTuple):
    """Address and durability of a control process, from the directory."""

    address: str
    # Whether the log survives a restart; if not, the process must not vote.
    is_durable: bool = True


# Returns the control processes that were heard from recently, by name.
ControlHostsSource = Callable[[], Mapping[str, ControlHost]]


class VoterReconciler:
    """Keeps the configured number of voters among the present hosts.

    Runs on every node and acts only on the leader. Voters that lost their
    data folder rejoin as learners under their new identity, new control
    processes become learners, and a learner that has caught up replaces an
    unresponsive or missing voter. Processes without a disk stay learners.
    """

    def __init__(
        self,
        node: Node,
        changes: VoterChanges,
        control_hosts: ControlHostsSource,
        voter_count: int,
    ) -> None:
        """Initialize for the node.

        `control_hosts` returns the present control processes; `voter_count`
        is the number of voters to keep.
        """
        self._node = node
        self._changes = changes
        self._control_hosts = control_hosts
        self._voter_count = voter_count
        self._last_refusal = ''

    async def run(self) -> None:
        """Reconcile the voters periodically until cancelled."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            leadership = self._node.leadership
            if leadership is None or not leadership.is_announced:
                continue
            for change in self.next_changes(leadership):
                if await self._try_change(leadership, change):
                    break

    def next_changes(self, leadership: Leadership) -> list[VoterChange]:
        """Return the changes to make, the most urgent one first.

        The first may be refused until one of the others has been made.
        """
        desired = (
            self._repair_changed_identity(leadership),
            self._add_new_learner(leadership),
            self._fill_voter_slot(leadership),
            self._remove_lost_learner(leadership),
        )
        return [change for change in desired if change is not None]

    async def _try_change(
        self, leadership: Leadership, change: VoterChange
    ) -> bool:
        """Make a change if it is allowed; return whether it was made."""
        try:
            await self._changes.change(leadership, change)
        except VoterChangeRefusedError as error:
            self._log_refusal(change, str(error))
        except ReplicatedLogError as error:
            # The leadership ended; the next leader makes the change.
            self._log_refusal(change, repr(error))
        else:
            return True
        return False

    def _log_refusal(self, change: VoterChange, reason: str) -> None:
        if reason == self._last_refusal:
            return
        self._last_refusal = reason
        log_event(
            'replog.change_waits',
            action=change.action,
            member=change.name,
            reason=reason,
        )

    def _repair_changed_identity(
        self, leadership: Leadership
    ) -> VoterChange | None:
        for name, progress in leadership.table.progress_by_name.items():
            member = leadership.members.members_by_name.get(name)
            if member is None or progress.identity in {'', member.identity}:
                continue
            if member.is_voter:
                return VoterChange(CHANGE_REPLACE, name, progress.identity)
            # Replacing would make it a voter. A learner without its data is
            # removed instead and then joins again as a learner.
            return VoterChange(CHANGE_REMOVE, name)
        return None

    def _add_new_learner(self, leadership: Leadership) -> VoterChange | None:
        for name, host in sorted(self._control_hosts().items()):
            if name not in leadership.members.members_by_name:
                return VoterChange(CHANGE_ADD_LEARNER, name, '', host.address)
        return None

    def _fill_voter_slot(self, leadership: Leadership) -> VoterChange | None:
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
        if len(members.voters) < self._voter_count:
            return VoterChange(CHANGE_PROMOTE, ready[0].name)
        silent = self._find_silent(leadership, members.voters, VOTER_SILENCE_S)
        if silent is not None:
            return VoterChange(CHANGE_REMOVE, silent.name)
        return None

    def _is_durable(self, name: str) -> bool:
        host = self._control_hosts().get(name)
        return host is not None and host.is_durable

    def _remove_lost_learner(
        self, leadership: Leadership
    ) -> VoterChange | None:
        learners = [
            member
            for member in leadership.members.members_by_name.values()
            if not member.is_voter
        ]
        silent = self._find_silent(leadership, learners, LEARNER_SILENCE_S)
        if silent is None or silent.name in self._control_hosts():
            return None
        return VoterChange(CHANGE_REMOVE, silent.name)

    def _find_silent(
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
            if now - progress.last_contact_at > silence_s:
                return member
        return None
