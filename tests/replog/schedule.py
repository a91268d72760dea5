"""Fault schedules under load, checked by an oracle."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import looptime

from hornbeamline.replog import (
    LogBusyError,
    LogStoppedError,
    NotLeaderError,
    ProposalUnknownError,
    VoterChange,
)
from hornbeamline.replog._messages import Append
from tests.local_network import LocalNetwork, LocalPeering
from tests.replog.group import MACHINE, Group, Voter, eventually, outcome_of

CLIENT_COUNT = 4
SNAPSHOT_ENTRIES = 25
VIRTUAL_TIME_LIMIT_S = 3600
REFUSALS = (NotLeaderError, LogBusyError, LogStoppedError)


class Step(NamedTuple):
    """A fault on one voter and the time until the next step."""

    fault: str
    voter: int
    pause_s: float


class Oracle:
    """Invariants that must hold under all faults."""

    def __init__(self) -> None:
        # All applied commands with their indexes, in the order in which any
        # voter first applied them.
        self.applied: list[tuple[int, bytes]] = []
        self.senders_by_term: dict[int, str] = {}
        self.acknowledged: list[bytes] = []
        self.unknown: list[bytes] = []
        self.refused: list[bytes] = []
        self.reads = 0
        # Collected here, since the log does not propagate errors of its
        # callbacks; `check_end` asserts that there are none.
        self.violations: list[str] = []

    def machine_changed(self, commands: list[tuple[int, bytes]]) -> None:
        """Check that a state machine has a prefix of the applied commands."""
        common_length = min(len(commands), len(self.applied))
        # Comparing the last common element is enough, as states are checked
        # element by element while they grow.
        if (
            common_length
            and commands[common_length - 1] != self.applied[common_length - 1]
        ):
            self.violations.append(
                f'{commands[common_length - 1]} instead of '
                f'{self.applied[common_length - 1]}',
            )
        self.applied.extend(commands[common_length:])

    def entries_sent(self, sender: str, term: int) -> None:
        """Check that each term has only one leader."""
        leader = self.senders_by_term.setdefault(term, sender)
        if leader != sender:
            self.violations.append(f'{leader} and {sender} lead term {term}')

    def check_end(self, group: Group) -> None:
        """Check all states and outcomes after the faults have ended."""
        assert not self.violations
        for voter in group.running:
            assert voter.machine.commands == self.applied, voter.name
        commands = [command for _, command in self.applied]
        indexes = [index for index, _ in self.applied]
        assert indexes == sorted(set(indexes))
        counted = {command: commands.count(command) for command in commands}
        assert set(counted.values()) <= {1}
        assert set(self.acknowledged) <= counted.keys()
        assert not counted.keys() & set(self.refused)
        assert counted.keys() <= {*self.acknowledged, *self.unknown}


class WatchedPeering(LocalPeering):
    """Endpoint that reports to the oracle who acts as leader."""

    def __init__(self, name: str, network: WatchedNetwork) -> None:
        super().__init__(name, network)
        self._oracle = network.oracle

    async def call(
        self,
        peer: str,
        request: Any,
        reply_type: type[Any],
        timeout_s: float,
    ) -> Any:
        """Report the sender of entries, then send."""
        if isinstance(request, Append):
            self._oracle.entries_sent(self.name, request.term)
        return await super().call(peer, request, reply_type, timeout_s)


class WatchedNetwork(LocalNetwork):
    """Network with varying delays, which reorder messages."""

    def __init__(self, rng: random.Random, oracle: Oracle) -> None:
        self.oracle = oracle
        self.slowness = 1.0
        super().__init__(rng)

    @property
    def delay_s(self) -> float:
        """Return a random delay for one message."""
        return self.rng.uniform(0.0005, 0.003) * self.slowness

    @delay_s.setter
    def delay_s(self, delay_s: float) -> None:
        """Ignore the fixed delay set by the base class."""

    def endpoint(self, name: str) -> LocalPeering:
        """Return a watched endpoint."""
        endpoint = WatchedPeering(name, self)
        self.endpoints_by_name[name] = endpoint
        return endpoint


class Schedule:
    """Runs clients and an operator while steps inject faults."""

    # Number of voters to keep without an operator; 0 disables this.
    desired_voters = 0

    def __init__(self, folder: Path, seed: int, voters: int) -> None:
        self.rng = random.Random(seed)
        self.oracle = Oracle()
        self.network = WatchedNetwork(random.Random(seed + 1), self.oracle)
        self.group = Group(
            folder,
            voters,
            seed=seed,
            snapshot_entries=SNAPSHOT_ENTRIES,
            network=self.network,
            desired_voters=self.desired_voters,
        )
        self.group.on_machine_change = self.oracle.machine_changed
        self._is_ending = False
        # The voter that lost its data folder and is not replaced yet.
        self._unrepaired: Voter | None = None

    async def run(self, steps: list[Step]) -> Oracle:
        """Run the steps, end all faults and check the outcome."""
        await self.group.start()
        await self.group.leader()
        tasks = [
            asyncio.create_task(self._propose_all(client))
            for client in range(CLIENT_COUNT)
        ]
        tasks.append(asyncio.create_task(self._read_all()))
        tasks.append(asyncio.create_task(self._repair()))
        for step in steps:
            await self._execute(step)
            await asyncio.sleep(step.pause_s)
        await self._heal_all()
        await self.group.leader()
        await eventually(lambda: self._unrepaired is None, 60)
        self._is_ending = True
        await asyncio.gather(*tasks)
        last = await self.group.propose(b'last')
        self.oracle.acknowledged.append(b'last')
        assert int(last) == len(self.oracle.applied)
        await eventually(self._is_settled, 60)
        self.oracle.check_end(self.group)
        await self.group.stop()
        return self.oracle

    def _is_settled(self) -> bool:
        lengths = {len(voter.machine.commands) for voter in self.group.running}
        return lengths == {len(self.oracle.applied)}

    async def _execute(self, step: Step) -> None:
        names = sorted(self.group.voters)
        voter = self.group.voters[names[step.voter % len(names)]]
        # By name, so that subclasses can override faults.
        await getattr(self, FAULTS[step.fault].__name__)(voter)

    async def _heal_all(self) -> None:
        self.network.heal()
        self.network.loss = 0
        self.network.slowness = 1
        for voter in self.group.voters.values():
            await self.restart(voter)

    async def restart(self, voter: Voter) -> None:
        """Restart a voter without disk faults; crash it first if it runs."""
        await voter.crash()
        voter.disk.sync_fails = False
        voter.disk.bytes_until_full = None
        await voter.start()

    async def crash(self, voter: Voter) -> None:
        """Crash a voter; it stays down until it is started."""
        await voter.crash()

    async def stop(self, voter: Voter) -> None:
        """Stop a voter gracefully and start it again."""
        await voter.stop()
        await self.restart(voter)

    async def empty(self, voter: Voter) -> None:
        """Delete a data folder, unless another loss is still unrepaired.

        A group with a single voter could not be repaired.
        """
        is_only = len(self.group.voters) == 1
        if self._unrepaired is None and not is_only:
            self._unrepaired = voter
            await voter.empty()
            await self.restart(voter)

    async def isolate(self, voter: Voter) -> None:
        """Isolate a voter from the network."""
        self.network.isolate(voter.name)

    async def deafen(self, voter: Voter) -> None:
        """Drop what is sent to a voter, not what it sends."""
        for other in self.group.voters:
            self.network.cuts.add((other, voter.name))

    async def isolate_leader(self, voter: Voter) -> None:
        """Isolate every voter that believes that it is the leader."""
        for leader in self.group.running:
            if leader.log.is_leader:
                self.network.isolate(leader.name)

    async def recover(self, voter: Voter) -> None:
        """End all network faults; start the voters that are down."""
        self.network.heal()
        self.network.loss = 0
        self.network.slowness = 1
        for ended in self.group.voters.values():
            if ended not in self.group.running:
                await self.restart(ended)

    async def lose(self, voter: Voter) -> None:
        """Lose a large share of the messages."""
        self.network.loss = 0.2

    async def slow(self, voter: Voter) -> None:
        """Delay messages by more than some of the timeouts."""
        self.network.slowness = 60

    async def break_sync(self, voter: Voter) -> None:
        """Make all syncs of a voter fail."""
        voter.disk.sync_fails = True

    async def fill(self, voter: Voter) -> None:
        """Fill the disk of a voter, possibly within a record."""
        voter.disk.bytes_until_full = self.rng.randint(0, 400)

    def _self_declared_leader(self) -> Voter | None:
        leaders = [v for v in self.group.running if v.log.is_leader]
        return self.rng.choice(leaders) if leaders else None

    async def _propose_all(self, client: int) -> None:
        number = 0
        while not self._is_ending:
            await asyncio.sleep(self.rng.uniform(0, 0.1))
            leader = self._self_declared_leader()
            if leader is None:
                continue
            number += 1
            await self._propose(leader, b'%d-%d' % (client, number))

    async def _propose(self, leader: Voter, command: bytes) -> None:
        try:
            outcome = await leader.log.propose(MACHINE, command)
        except ProposalUnknownError:
            self.oracle.unknown.append(command)
        except REFUSALS:
            self.oracle.refused.append(command)
        else:
            self.oracle.acknowledged.append(command)
            assert self.oracle.applied[int(outcome) - 1][1] == command

    async def _read_all(self) -> None:
        seen = 0
        while not self._is_ending:
            await asyncio.sleep(self.rng.uniform(0, 0.1))
            leader = self._self_declared_leader()
            if leader is None:
                continue
            acknowledged = tuple(self.oracle.acknowledged)
            log, machine = leader.log, leader.machine
            try:
                await log.read_barrier()
            except REFUSALS:
                continue
            commands = {command for _, command in machine.commands}
            assert commands.issuperset(acknowledged), 'a stale read'
            assert len(commands) >= seen, 'a read before an earlier one'
            seen = len(commands)
            self.oracle.reads += 1

    async def _repair(self) -> None:
        """Replace lost voters, as an operator would."""
        while not self._is_ending:
            await asyncio.sleep(0.2)
            leader = self._self_declared_leader()
            lost = self._unrepaired
            if lost is None or leader is None:
                continue
            await self._request_repair(leader, lost)
            if await self._is_repaired(lost):
                self._unrepaired = None

    async def _request_repair(self, leader: Voter, lost: Voter) -> None:
        change = VoterChange('replace', lost.name)
        await outcome_of(leader.log.change_voter(change))

    async def _is_repaired(self, lost: Voter) -> bool:
        leader = self._self_declared_leader()
        if leader is None or lost.log is None:
            return False
        log, identity = leader.log, lost.log.identity
        if not log.members.is_voter(lost.name, identity):
            return False
        # The barrier proves that this leader's configuration is in effect,
        # and its commit index that the change is committed.
        if isinstance(await outcome_of(log.read_barrier()), Exception):
            return False
        changed_at = log._node.journal.configurations.latest_index
        return log.commit_index >= changed_at


FAULTS: dict[str, Callable[[Schedule, Voter], Awaitable[None]]] = {
    'restart': Schedule.restart,
    'crash': Schedule.crash,
    'stop': Schedule.stop,
    'empty': Schedule.empty,
    'isolate': Schedule.isolate,
    'deafen': Schedule.deafen,
    'isolate_leader': Schedule.isolate_leader,
    'recover': Schedule.recover,
    'lose': Schedule.lose,
    'slow': Schedule.slow,
    'break_sync': Schedule.break_sync,
    'fill': Schedule.fill,
}

# Recoveries are more frequent than other steps; otherwise most steps would
# hit a group without a quorum.
WEIGHTED_FAULTS = (*sorted(FAULTS), *('recover',) * 4)


def run_steps(
    seed: int,
    voters: int,
    steps: list[Step],
    schedule_class: type[Schedule] = Schedule,
) -> Oracle:
    """Run one schedule in virtual time and return its oracle."""
    # Nothing here waits for threads or sockets, so virtual time can advance at
    # once instead of after the default number of idle cycles.
    loop = looptime.new_event_loop(end=VIRTUAL_TIME_LIMIT_S, noop_cycles=0)
    try:
        with tempfile.TemporaryDirectory() as folder:
            schedule = schedule_class(Path(folder), seed, voters)
            return loop.run_until_complete(schedule.run(steps))
    finally:
        loop.close()


def random_steps(rng: random.Random, count: int) -> list[Step]:
    """Return random steps."""
    return [
        Step(
            rng.choice(WEIGHTED_FAULTS),
            rng.randrange(5),
            rng.choice((0.02, 0.3, 1, 2.5)),
        )
        for _ in range(count)
    ]


def soak(seed: int, seconds: float) -> tuple[int, int, int]:
    """Run random schedules for a number of seconds of real time.

    The seed increases by one for each schedule. Returns the numbers of
    schedules, acknowledged proposals and confirmed reads. An error carries
    a note with the seed of its schedule.
    """
    deadline_s = time.monotonic() + seconds
    schedules = acknowledged = reads = 0
    while time.monotonic() < deadline_s:
        schedule_seed = seed + schedules
        rng = random.Random(schedule_seed)
        steps = random_steps(rng, 30)
        try:
            outcome = run_steps(schedule_seed, rng.choice((3, 3, 5)), steps)
        except BaseException as error:
            error.add_note(f'seed {schedule_seed}')
            raise
        schedules += 1
        acknowledged += len(outcome.acknowledged)
        reads += outcome.reads
    return schedules, acknowledged, reads
