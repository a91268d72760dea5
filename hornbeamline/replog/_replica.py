"""Replicated log service of a control process."""

from __future__ import annotations

import random
from collections.abc import Callable

from hornbeamline.exceptions import ReplicatedLogError
from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import ControlSettings
from hornbeamline.peering import Peering
from hornbeamline.replog._applier import Applier
from hornbeamline.replog._bootstrap import Bootstrap
from hornbeamline.replog._disk import Disk
from hornbeamline.replog._election import Election
from hornbeamline.replog._entries import Entry, Members
from hornbeamline.replog._follower import Follower
from hornbeamline.replog._interface import ReplicatedStateMachine
from hornbeamline.replog._journal import BlockingRunner
from hornbeamline.replog._leadership import Leadership
from hornbeamline.replog._metrics import PROPOSALS_REFUSED
from hornbeamline.replog._node import Node
from hornbeamline.replog._reconciler import ControlHostsSource, VoterReconciler
from hornbeamline.replog._store import Store
from hornbeamline.replog._threads import Threads
from hornbeamline.replog._transfer import transfer_leadership
from hornbeamline.replog._voters import VoterChange, VoterChanges
from hornbeamline.replog.const import (
    ENTRY_COMMAND,
    MAX_COMMAND_BYTES,
    MAX_PENDING_BYTES,
    MAX_PENDING_PROPOSALS,
)
from hornbeamline.replog.errors import (
    CommandTooLargeError,
    LogBusyError,
    LogStoppedError,
    NotLeaderError,
)


class RaftLog:
    """One node of the replicated log; implements `ReplicatedLog`.

    State machines must be registered before `start`. The constructor
    registers the message handlers at the peering.
    """

    def __init__(
        self,
        settings: ControlSettings,
        peering: Peering,
        clock: Clock,
        rng: random.Random,
        *,
        disk: Disk | None = None,
        run_blocking: BlockingRunner | None = None,
    ) -> None:
        """Initialize with settings, network, clock and random source.

        `disk` replaces the file operations, and `run_blocking` the threads
        that execute them.
        """
        self._threads = Threads()
        self._store = Store(settings.storage.data_folder, disk or Disk())
        self._node = Node(
            settings,
            peering,
            clock,
            rng,
            run_blocking or self._threads.run,
            self._store,
        )
        self._applier = Applier(self._node)
        self._follower = Follower(self._node, self._applier)
        self._election = Election(self._node)
        self._bootstrap = Bootstrap(self._node, self._election)
        self._changes = VoterChanges(self._node)
        self._reconciler: VoterReconciler | None = None

    @property
    def is_leader(self) -> bool:
        """Return whether this node believes that it is the leader."""
        return self._node.leadership is not None

    @property
    def leader(self) -> str | None:
        """Return the leader heard from in the last election timeout, if any."""
        return self._node.leader

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._node.term

    @property
    def identity(self) -> str:
        """Return the random identity of the data folder."""
        return self._node.identity

    @property
    def members(self) -> Members:
        """Return the latest configuration, with voters and learners."""
        return self._node.journal.members

    @property
    def commit_index(self) -> int:
        """Return the highest index known to be committed."""
        return self._node.commit.position

    @property
    def applied_index(self) -> int:
        """Return the index of the last entry that was applied."""
        return self._node.applied.position

    def addresses_by_name(self) -> dict[str, str]:
        """Return the addresses of the control hosts known to this node.

        They are those in the settings and the voters, since the hosts in the
        settings may all be lost.
        """
        return self._node.addresses_by_name()

    def is_state_confirmed(self) -> bool:
        """Return whether the state machines are known to be up to date.

        They include all that was committed up to one election timeout ago.
        False after a start until a leader has been heard from, and while
        this node is cut off from the leader.
        """
        return self._node.is_state_confirmed()

    def on_state_confirmed(self, callback: Callable[[], None]) -> None:
        """Register a callback for when `is_state_confirmed` becomes True."""
        self._node.freshness.on_confirmed(callback)

    def register_state_machine(
        self, name: str, machine: ReplicatedStateMachine
    ) -> None:
        """Register a state machine; call before the log starts."""
        self._node.state_machines.register(name, machine)

    def on_leadership(self, callback: Callable[[bool], None]) -> None:
        """Register a callback for changes of leadership.

        It is called with True when this node has become the leader and its
        state machines include all commits of earlier terms, and with False
        when it stops being the leader.
        """
        self._node.leadership_callbacks.append(callback)

    def on_stopped(
        self, failure_callback: Callable[[LogStoppedError], None]
    ) -> None:
        """Set a callback for a failure of the storage or a state machine.

        It is called once. The process must then exit, as this node no
        longer acknowledges anything.
        """
        self._node.on_stopped = failure_callback

    def enable_voter_reconciliation(
        self, control_hosts: ControlHostsSource, voter_count: int
    ) -> None:
        """Enable automatic changes of voters; call before `start`.

        `control_hosts` returns the present control processes by name;
        `voter_count` is the number of voters to keep.
        """
        self._reconciler = VoterReconciler(
            self._node,
            self._changes,
            control_hosts,
            voter_count,
        )

    async def start(self) -> None:
        """Recover the data folder and join the group.

        Raises `LogStoppedError` if the data folder cannot be used.
        """
        node = self._node
        node.load(await node.run_blocking(self._store.open))
        node.link_voters()
        node.spawn_essential(node.journal.run, 'replog writer')
        node.spawn_essential(self._applier.run, 'replog applier')
        node.tasks.keep_running(self._election.run, 'replog election')
        node.tasks.keep_running(self._bootstrap.run, 'replog bootstrap')
        if self._reconciler is not None:
            node.tasks.keep_running(
                self._reconciler.run, 'replog voter reconciler'
            )

    async def stop(self) -> None:
        """Hand over the leadership, then stop all tasks and close the files."""
        await transfer_leadership(self._node)
        await self._shut_down()

    async def propose(self, machine: str, command: bytes) -> bytes:
        """Commit a command and return the result of its `apply`.

        Raises `NotLeaderError`, `LogBusyError`, `CommandTooLargeError`
        or `LogStoppedError` if nothing was proposed, and
        `ProposalUnknownError` if the command may still be applied.
        """
        if machine not in self._node.state_machines:
            # Part of replies to operators, so the text stays.
            raise ReplicatedLogError(f'machine {machine} is not registered')
        if len(command) > MAX_COMMAND_BYTES:
            raise CommandTooLargeError(
                f'{len(command)} bytes, limit {MAX_COMMAND_BYTES}',
            )
        leadership = self._require_leadership()
        if _is_busy(leadership):
            PROPOSALS_REFUSED.inc()
            raise LogBusyError(
                f'{leadership.pending_count} proposals with '
                f'{leadership.pending_bytes} bytes are pending',
            )
        entry = Entry(leadership.term, ENTRY_COMMAND, machine, command)
        return await leadership.propose(entry)

    async def read_barrier(self) -> None:
        """Wait until local state includes all commits made before the call.

        Raises `NotLeaderError` if no quorum confirms this host as the
        leader, and `LogStoppedError`.
        """
        node = self._node
        leadership = self._require_leadership()
        # Until the no-op is committed, the local commit index may be lower
        # than that of an earlier leader.
        read_index = max(node.commit.position, leadership.noop_index)
        try:
            await leadership.confirm()
            await leadership.wait_applied(read_index)
        except NotLeaderError as error:
            node.require_running()
            raise NotLeaderError(node.leader) from error

    async def change_voter(self, change: VoterChange) -> Members:
        """Change one voter or learner and return the new configuration.

        Raises `NotLeaderError` or `VoterChangeRefusedError` if nothing was
        changed. After `ProposalUnknownError` or `LogStoppedError` the
        outcome is unknown: check `members` and retry.
        """
        return await self._changes.change(self._require_leadership(), change)

    def _require_leadership(self) -> Leadership:
        node = self._node
        node.require_running()
        if node.leadership is None or node.is_transferring:
            raise NotLeaderError(node.leader)
        return node.leadership

    async def _shut_down(self) -> None:
        node = self._node
        if node.stop_error is None:
            node.stop_error = LogStoppedError('the log is shutting down')
        node.step_down('stop')
        for watermark in (node.commit, node.applied, node.journal.durable):
            watermark.fail(node.stop_error)
        await node.tasks.cancel_all()
        # Waits for a write in progress before its file is closed.
        await self._threads.stop()
        self._store.close()


def _is_busy(leadership: Leadership) -> bool:
    if leadership.pending_count >= MAX_PENDING_PROPOSALS:
        return True
    return leadership.pending_bytes >= MAX_PENDING_BYTES
