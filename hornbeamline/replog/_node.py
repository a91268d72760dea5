"""State of one node, shared by its components."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from hornbeamline.core import TaskSet
from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import ControlSettings
from hornbeamline.peering import Peering
from hornbeamline.replog._entries import Members, VoteState
from hornbeamline.replog._freshness import Freshness
from hornbeamline.replog._journal import BlockingRunner, Journal
from hornbeamline.replog._metrics import LEADERSHIPS_LOST
from hornbeamline.replog._state_machines import StateMachines
from hornbeamline.replog._store import Recovered, Store
from hornbeamline.replog._watermark import Watermark
from hornbeamline.replog.const import FIRST_ELECTION_TIMEOUT_RATIO
from hornbeamline.replog.errors import LogStoppedError
from hornbeamline.telemetry import log_event

if TYPE_CHECKING:
    from hornbeamline.replog._leadership import Leadership


class Node:
    """Term, vote, role and log of one node.

    `lock` is held while the term or vote changes and while entries of
    another leader are stored, so that a decision and its durable record
    are atomic.
    """

    def __init__(
        self,
        settings: ControlSettings,
        peering: Peering,
        clock: Clock,
        rng: random.Random,
        run_blocking: BlockingRunner,
        store: Store,
    ) -> None:
        """Initialize with the settings and the external dependencies."""
        self.settings = settings
        self.name = settings.host.name
        self.peering = peering
        self.clock = clock
        self.rng = rng
        self.run_blocking = run_blocking
        self.store = store
        self.state_machines = StateMachines()
        self.tasks = TaskSet()
        self.lock = asyncio.Lock()
        self.vote_state = VoteState('', 0)
        self.journal = Journal(store, run_blocking, self._on_durable)
        self.commit = Watermark()
        self.applied = Watermark()
        self.freshness = Freshness(
            clock, settings.storage.election_timeout_max_s
        )
        self.leader: str | None = None
        self.leadership: Leadership | None = None
        self.is_transferring = False
        self.stop_error: LogStoppedError | None = LogStoppedError(
            'the log has not started',
        )
        self.on_stopped: Callable[[LogStoppedError], None] | None = None
        self.leadership_callbacks: list[Callable[[bool], None]] = []
        self._leader_contact_at: float | None = None
        # Configuration and addresses to which links were opened.
        self._linked_members: Members | None = None
        self._linked_addresses_by_name: dict[str, str] = {}
        self.election_due_at: float = 0

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.vote_state.term

    @property
    def identity(self) -> str:
        """Return the random identity of this data folder."""
        return self.vote_state.identity

    @property
    def is_voter(self) -> bool:
        """Return whether this node is a voter in the latest configuration."""
        return self.journal.members.is_voter(self.name, self.identity)

    @property
    def is_empty(self) -> bool:
        """Return whether this data folder has never been part of a fleet."""
        return self.journal.last_index == 0 and self.term == 0

    def load(self, recovered: Recovered) -> None:
        """Load the content of the data folder and mark the log as running."""
        self.vote_state = recovered.vote_state
        if recovered.snapshot is not None:
            self.state_machines.restore(recovered.snapshot)
            self.commit.advance(recovered.snapshot.last_index)
            self.applied.advance(recovered.snapshot.last_index)
        self.journal.load(recovered)
        self.stop_error = None
        log_event(
            'replog.started',
            identity=self.identity,
            term=self.term,
            last=self.journal.last_index,
        )

    def addresses_by_name(self) -> dict[str, str]:
        """Return the addresses in the settings and of the voters."""
        addresses_by_name = {
            voter.name: voter.address
            for voter in self.journal.members.voters
            if voter.address
        }
        return {**addresses_by_name, **self.settings.controls_by_name}

    def link_voters(self) -> None:
        """Open links to the voters that the configuration has added.

        The voters must reach each other when the leader, which knows them
        all, is lost. Links that exist are left alone, since the directory
        may know a newer address.
        """
        members = self.journal.members
        if members is self._linked_members:
            return
        self._linked_members = members
        linked = self._linked_addresses_by_name
        for name, address in self.addresses_by_name().items():
            if name != self.name and linked.get(name) != address:
                linked[name] = address
                self.peering.add_peer(name, address)

    def spawn_essential(
        self,
        run: Callable[[], Coroutine[Any, Any, None]],
        name: str,
    ) -> asyncio.Task[None]:
        """Run a task without which the log must stop.

        It cannot be started again after an error, since the state that it
        left is unknown; a restart of the process recovers from the disk.
        """
        return self.tasks.spawn(self._stop_on_error(run, name), name)

    def require_running(self) -> None:
        """Raise `LogStoppedError` after a failure or stop."""
        if self.stop_error is not None:
            raise self.stop_error

    def has_live_leader(self) -> bool:
        """Return whether this node leads or recently heard from a leader.

        An election would disrupt such a leader.
        """
        if self.leadership is not None:
            return True
        if self._leader_contact_at is None:
            return False
        silence_s = self.clock.monotonic() - self._leader_contact_at
        return silence_s < self.settings.storage.election_timeout_min_s

    def is_state_confirmed(self) -> bool:
        """Return whether the applied state is known to be up to date."""
        if self.leadership is not None and self.leadership.is_announced:
            return True
        return self.freshness.is_recent()

    def note_leader_contact(self, leader: str) -> None:
        """Record a message from the leader of the current term."""
        self.leader = leader
        self._leader_contact_at = self.clock.monotonic()
        self.restart_election_timer()

    def restart_election_timer(self) -> None:
        """Restart the election timer with a new random timeout."""
        storage = self.settings.storage
        timeout_s = self.rng.uniform(
            storage.election_timeout_min_s,
            storage.election_timeout_max_s,
        )
        self.election_due_at = self.clock.monotonic() + timeout_s

    def start_first_election_timer(self) -> None:
        """Start the election timer with the first timeout of this process.

        It is shorter than later ones, to elect a leader soon after all
        voters have restarted. It cannot disrupt an active leader, as the
        other voters then refuse the pre-vote.
        """
        timeout_s = self.settings.storage.election_timeout_min_s
        wait_s = self.rng.uniform(
            FIRST_ELECTION_TIMEOUT_RATIO * timeout_s, timeout_s
        )
        self.election_due_at = self.clock.monotonic() + wait_s

    async def enter_term(self, term: int, vote: str = '') -> None:
        """Adopt a term and vote, which are durable on return.

        The caller holds the lock. The state in memory changes before the
        sync, so that tasks which run meanwhile no longer act in the old
        term.
        """
        if (term, vote) == (self.term, self.vote_state.vote):
            return
        if term > self.term:
            self.step_down('observed a higher term')
            self.leader = None
        self.vote_state = VoteState(self.identity, term, vote)
        try:
            await self.run_blocking(self.store.save_vote, self.vote_state)
        except LogStoppedError as error:
            self.fail(error)
            raise

    async def observe_term(self, term: int) -> None:
        """Adopt the term of a reply if it is higher."""
        async with self.lock:
            if term > self.term and self.stop_error is None:
                await self.enter_term(term)

    def step_down(self, reason: str) -> None:
        """End the leadership of this node, if any.

        The outcome of its pending proposals is unknown.
        """
        leadership = self.leadership
        if leadership is None:
            return
        self.leadership = None
        self.leader = None
        self.is_transferring = False
        self.restart_election_timer()
        LEADERSHIPS_LOST.inc()
        log_event('replog.leadership_lost', term=self.term, reason=reason)
        leadership.close()
        if leadership.is_announced:
            self.announce(leads=False)

    def announce(self, *, leads: bool) -> None:
        """Call the registered callbacks for a change of leadership."""
        for callback in self.leadership_callbacks:
            try:
                callback(leads)
            except Exception as error:
                # An error in a callback must not stop the log.
                log_event('replog.callback_failed', error=repr(error))

    def fail(self, error: LogStoppedError) -> None:
        """Stop permanently; nothing is acknowledged from now on."""
        if self.stop_error is not None:
            return
        self.stop_error = error
        log_event('replog.stopped', error=str(error))
        self.step_down('the log stopped')
        for watermark in (self.commit, self.applied, self.journal.durable):
            watermark.fail(error)
        if self.on_stopped is not None:
            self.on_stopped(error)

    def _on_durable(self) -> None:
        if self.leadership is not None:
            self.leadership.advance_commit()

    async def _stop_on_error(
        self,
        run: Callable[[], Coroutine[Any, Any, None]],
        name: str,
    ) -> None:
        try:
            await run()
        except LogStoppedError as error:
            self.fail(error)
        except Exception as error:
            self.fail(LogStoppedError(f'{name} failed: {error!r}'))
