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

        Any of them may be refused for long, such as those of a host that
        does not answer, so the others must not depend on it.
        """
        return [
            *self._replace_changed_identities(leadership),
            *self._fill_voter_slot(leadership),
            # Asks a host that may not answer, so it comes after the changes
            # that finish a repair.
            *self._add_new_learners(leadership),
            *self._remove_lost_learners(leadership),
        ]

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

    def _replace_changed_identities(
        self, leadership: Leadership
    ) -> list[VoterChange]:
        replaced: list[VoterChange] = []
        removed: list[VoterChange] = []
        for name, progress in leadership.table.progress_by_name.items():
            member = leadership.members.members_by_name.get(name)
            if member is None or progress.identity in {'', member.identity}:
                continue
            if member.is_voter:
                replaced.append(
                    VoterChange(CHANGE_REPLACE, name, progress.identity)
                )
            else:
                # Replacing would make it a voter. A learner without its data
                # is removed instead and then joins again as a learner.
                removed.append(VoterChange(CHANGE_REMOVE, name))
        return replaced + removed

    def _add_new_learners(self, leadership: Leadership) -> list[VoterChange]:
        return [
            VoterChange(CHANGE_ADD_LEARNER, name, '', host.address)
            for name, host in sorted(self._control_hosts().items())
            if name not in leadership.members.members_by_name
        ]

    def _fill_voter_slot(self, leadership: Leadership) -> list[VoterChange]:
        members = leadership.members
        ready = [
            name
            for name, member in sorted(members.members_by_name.items())
            if not member.is_voter
            and self._is_durable(name)
            and leadership.table.is_caught_up(member)
        ]
        if not ready:
            return []
        if len(members.voters) < self._voter_count:
            return [VoterChange(CHANGE_PROMOTE, name) for name in ready]
        return [
            VoterChange(CHANGE_REMOVE, silent.name)
            for silent in self._silent_members(
                leadership, members.voters, VOTER_SILENCE_S
            )
        ]

    def _is_durable(self, name: str) -> bool:
        host = self._control_hosts().get(name)
        return host is not None and host.is_durable

    def _remove_lost_learners(
        self, leadership: Leadership
    ) -> list[VoterChange]:
        learners = [
            member
            for member in leadership.members.members_by_name.values()
            if not member.is_voter
        ]
        return [
            VoterChange(CHANGE_REMOVE, silent.name)
            for silent in self._silent_members(
                leadership, learners, LEARNER_SILENCE_S
            )
            if silent.name not in self._control_hosts()
        ]

    def _silent_members(
        self,
        leadership: Leadership,
        members: list[Member],
        silence_s: float,
    ) -> list[Member]:
        now = self._node.clock.monotonic()
        silent: list[Member] = []
        for member in members:
            progress = leadership.table.progress_by_name.get(member.name)
            if progress is None or member.name == self._node.name:
                continue
            if now - progress.last_contact_at > silence_s:
                silent.append(member)
        return silent
