"""Test harness: a group of voters on an in-process network."""

from __future__ import annotations

import asyncio
import errno
import random
import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from hornbeamline.helpers.codec import decode, encode
from hornbeamline.inventory import (
    ControlSettings,
    HostSettings,
    OperatorSettings,
    PeeringSettings,
    StorageSettings,
)
from hornbeamline.replog import ControlHost, Disk, MemoryDisk, RaftLog
from tests.local_network import LocalNetwork, LocalPeering

MACHINE = 'list'
ADDRESS = '127.0.0.1:1'


class LoopClock:
    """Clock that follows the event loop, which may run in virtual time."""

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        """Return the loop's time in milliseconds."""
        return int(self.monotonic() * 1000)


class ListMachine:
    """State machine that keeps a list of all commands."""

    def __init__(
        self,
        on_change: Callable[[list[tuple[int, bytes]]], None] | None = None,
    ) -> None:
        self.commands: list[tuple[int, bytes]] = []
        self._on_change = on_change

    def apply(self, index: int, command: bytes) -> bytes:
        """Append a command and return the number of commands."""
        self.commands.append((index, command))
        if self._on_change is not None:
            self._on_change(self.commands)
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        """Return all commands."""
        return encode(self.commands)

    def restore(self, data: bytes) -> None:
        """Replace all commands."""
        self.commands = decode(data, list[tuple[int, bytes]])
        if self._on_change is not None:
            self._on_change(self.commands)


class FaultyDisk(Disk):
    """Disk that can fail and that loses unsynced writes in a crash."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._paths: dict[int, Path] = {}
        self._synced_sizes: dict[Path, int] = {}
        self.bytes_until_full: int | None = None
        self.sync_fails = False
        self.syncs = 0

    def open(self, path: Path) -> int:
        """Open a file; its present content counts as synced."""
        descriptor = super().open(path)
        self._paths[descriptor] = path
        self._synced_sizes.setdefault(path, path.stat().st_size)
        return descriptor

    def write(self, descriptor: int, content: bytes, offset: int) -> None:
        """Write; on a full disk, write the part that fits and raise."""
        if self.bytes_until_full is None:
            super().write(descriptor, content, offset)
            return
        super().write(descriptor, content[: self.bytes_until_full], offset)
        if len(content) > self.bytes_until_full:
            raise OSError(errno.ENOSPC, 'No space left on device')
        self.bytes_until_full -= len(content)

    def sync(self, descriptor: int) -> None:
        """Mark the content as safe from `crash`, without a real sync."""
        if self.sync_fails:
            raise OSError(errno.EIO, 'Input/output error')
        self.syncs += 1
        path = self._paths[descriptor]
        self._synced_sizes[path] = path.stat().st_size

    def replace(self, path: Path, content: bytes) -> None:
        """Replace a file atomically."""
        if self.bytes_until_full is not None:
            raise OSError(errno.ENOSPC, 'No space left on device')
        temporary = path.with_name(f'{path.name}.tmp')
        temporary.write_bytes(content)
        temporary.replace(path)

    def crash(self) -> None:
        """Drop a random part of the bytes that were not synced."""
        for path, synced in self._synced_sizes.items():
            if path.exists() and path.stat().st_size > synced:
                size = self._rng.randint(synced, path.stat().st_size)
                with path.open('r+b') as stream:
                    stream.truncate(size)
                    # Blocks may reach the disk out of order, so an earlier
                    # one may be missing.
                    stream.seek(self._rng.randint(synced, size))
                    stream.write(bytes(min(16, size - stream.tell())))
        self._paths.clear()
        self._synced_sizes.clear()


class VolatileDisk(MemoryDisk):
    """In-memory disk that loses its files when the process crashes."""

    def __init__(self) -> None:
        super().__init__()
        self.sync_fails = False
        self.bytes_until_full: int | None = None

    def crash(self) -> None:
        """Drop all files."""
        self._files_by_path.clear()


def control_settings(
    name: str,
    voters: list[str],
    folder: Path,
    **options: Any,
) -> ControlSettings:
    """Return the settings of one voter."""
    return ControlSettings(
        host=HostSettings(name=name, data_centre='dc', fleet='test'),
        peering=PeeringSettings(address=ADDRESS),
        operator=OperatorSettings(
            address=ADDRESS,
            credential_sha256='0' * 64,
        ),
        storage=StorageSettings(
            data_folder=str(folder),
            snapshot_entries=options.pop('snapshot_entries', 4096),
            snapshot_min_bytes=options.pop('snapshot_min_bytes', 0),
        ),
        controls_by_name=dict.fromkeys(voters, ADDRESS),
        **options,
    )


class Voter:
    """One voter that can be started, stopped, crashed and emptied."""

    def __init__(self, group: Group, name: str, **options: Any) -> None:
        self.group = group
        self.name = name
        self.options = options
        self.folder = group.folder / name
        self.disk = FaultyDisk(group.rng)
        self.log: RaftLog | None = None
        self.machine = ListMachine()
        self.leadership_changes: list[bool] = []

    async def start(self) -> None:
        """Start the voter on its data folder."""
        group = self.group
        peering = group.network.endpoint(self.name)
        self.machine = self.new_machine()
        self.leadership_changes = []
        self.log = RaftLog(
            control_settings(
                self.name,
                group.initial_names,
                self.folder,
                **{
                    'snapshot_entries': group.snapshot_entries,
                    'snapshot_min_bytes': group.snapshot_min_bytes,
                    **self.options,
                },
            ),
            peering,
            LoopClock(),
            random.Random(group.rng.random()),
            disk=self.disk,
            run_blocking=group.run_blocking,
        )
        self.attach(peering, self.log)
        if group.desired_voters:
            self.log.enable_voter_reconciliation(
                group.present, group.desired_voters
            )
        self.log.on_leadership(self.leadership_changes.append)
        await self.log.start()

    def new_machine(self) -> Any:
        """Return a state machine for the next start."""
        return ListMachine(self.group.on_machine_change)

    def attach(self, peering: LocalPeering, log: RaftLog) -> None:
        """Register the state machine and what uses it, before the start."""
        log.register_state_machine(MACHINE, self.machine)

    async def stop(self) -> None:
        """Stop gracefully."""
        if self.log is not None:
            await self.log.stop()
            self.group.network.endpoints_by_name[self.name].close()
            self.log = None

    async def crash(self) -> None:
        """End the process at once; unsynced writes are lost."""
        if self.log is not None:
            self.group.network.endpoints_by_name[self.name].close()
            log, self.log = self.log, None
            await log._shut_down()
            self.disk.crash()

    async def empty(self) -> None:
        """Crash and delete the data folder."""
        await self.crash()
        shutil.rmtree(self.folder)


class Group:
    """A group of voters, its network and helpers for waiting."""

    def __init__(
        self,
        folder: Path,
        voters: int,
        seed: int = 1,
        snapshot_entries: int = 4096,
        network: LocalNetwork | None = None,
        desired_voters: int = 0,
        voter_class: type[Voter] = Voter,
        snapshot_min_bytes: int = 0,
    ) -> None:
        self.folder = folder
        self.snapshot_min_bytes = snapshot_min_bytes
        self.voter_class = voter_class
        # Number of voters to keep without an operator; 0 disables this.
        self.desired_voters = desired_voters
        # Control processes without a disk.
        self.diskless: set[str] = set()
        self.rng = random.Random(seed)
        self.network = network or LocalNetwork(random.Random(seed + 1))
        # Called with the state of a state machine after each of its changes.
        self.on_machine_change: (
            Callable[[list[tuple[int, bytes]]], None] | None
        ) = None
        self.snapshot_entries = snapshot_entries
        self.initial_names = [
            f'control-{number}' for number in range(1, voters + 1)
        ]
        self.voters = {
            name: voter_class(self, name) for name in self.initial_names
        }

    async def run_blocking(
        self,
        function: Callable[..., Any],
        *arguments: Any,
    ) -> Any:
        """Run a file operation that takes virtual time before and after."""
        await asyncio.sleep(self.rng.uniform(0, 0.001))
        outcome = function(*arguments)
        await asyncio.sleep(self.rng.uniform(0, 0.001))
        return outcome

    def present(self) -> dict[str, ControlHost]:
        """Return the running control processes, as the directory would."""
        return {
            voter.name: ControlHost(ADDRESS, voter.name not in self.diskless)
            for voter in self.running
        }

    def add(self, name: str) -> Voter:
        """Add another node, which joins the group when it starts."""
        self.voters[name] = self.voter_class(self, name, join=True)
        return self.voters[name]

    def voter_names(self) -> set[str]:
        """Return the names of the voters in the leader's configuration."""
        for voter in self.running:
            if voter.log.is_leader:
                return {member.name for member in voter.log.members.voters}
        return set()

    async def start(self) -> None:
        """Start all voters."""
        for voter in self.voters.values():
            await voter.start()

    async def stop(self) -> None:
        """Crash all voters."""
        for voter in self.voters.values():
            await voter.crash()

    @property
    def running(self) -> list[Voter]:
        """Return the voters that are running."""
        return [
            voter
            for voter in self.voters.values()
            if voter.log is not None and voter.log._node.stop_error is None
        ]

    async def leader(self, among: list[Voter] | None = None) -> Voter:
        """Wait for a leader that a quorum confirms."""
        async with asyncio.timeout(30):
            while True:
                for voter in among or self.running:
                    if await self._is_confirmed(voter):
                        return voter
                await asyncio.sleep(0.05)

    async def _is_confirmed(self, voter: Voter) -> bool:
        if voter.log is None or not voter.log.is_leader:
            return False
        try:
            await voter.log.read_barrier()
        except Exception:
            return False
        return True

    async def propose(self, command: bytes) -> bytes:
        """Commit a command through the current leader."""
        leader = await self.leader()
        return await leader.log.propose(MACHINE, command)

    async def settle(self) -> None:
        """Wait until all running voters have applied the same entries."""
        await eventually(
            lambda: (
                len({voter.log.applied_index for voter in self.running}) == 1
            ),
        )
        await asyncio.sleep(0.5)


async def eventually(
    condition: Callable[[], bool],
    timeout_s: float = 30,
) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.02)


async def outcome_of(work: Awaitable[Any]) -> Any:
    """Return the result of an awaitable or its error."""
    try:
        return await work
    except Exception as error:
        return error
