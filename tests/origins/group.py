"""Test harness: control processes and entry hosts with origins of streams."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping
from typing import Any

from hornbeamline.control_link import LeaderServer
from hornbeamline.origins import OriginMachine, StreamKey, StreamOrigins
from hornbeamline.origins._machine import MACHINE_NAME
from hornbeamline.origins.service import OriginService
from hornbeamline.replog import RaftLog
from tests.local_network import LocalPeering
from tests.replog.group import Group, LoopClock, Voter

SERVICE = 'drafting'
TIMEOUT_S = 8.0
LIST_INTERVAL_S = 1.0


class Platform:
    """List of targets of the platform."""

    def __init__(self) -> None:
        self.versions_by_service: dict[str, dict[str, int]] = {}

    def serve(self, *versions: str, service: str = SERVICE) -> None:
        """List two targets of each version, and no others."""
        self.versions_by_service[service] = dict.fromkeys(versions, 2)

    def versions(self) -> dict[str, dict[str, int]]:
        """Return the number of targets by service and version."""
        return {
            service: dict(counts)
            for service, counts in self.versions_by_service.items()
        }


class CountingLog:
    """Passes on to a log and counts the proposals of origins."""

    def __init__(self, log: RaftLog, group: OriginGroup) -> None:
        self._log = log
        self._group = group

    def __getattr__(self, name: str) -> Any:
        return getattr(self._log, name)

    async def propose(self, machine: str, command: bytes) -> bytes:
        """Count and pass on."""
        self._group.proposals.append((machine, command))
        return await self._log.propose(machine, command)


class OriginVoter(Voter):
    """Control process that remembers the origins of streams."""

    group: OriginGroup
    service: OriginService

    def new_machine(self) -> OriginMachine:
        """Return an empty machine."""
        return OriginMachine(self.group.max_records)

    def attach(self, peering: LocalPeering, log: RaftLog) -> None:
        """Connect the machine as the daemon of a control host does."""
        group = self.group
        self.service = OriginService(
            CountingLog(log, group),
            LeaderServer(peering, log),
            self.machine,
            group.platform.versions,
            lambda: group.list_age_s_by_voter.get(self.name, 0.5),
            lambda: group.longest_stream_s,
            LoopClock(),
        )

    async def start(self) -> None:
        """Start the voter and its loop."""
        await super().start()
        await self.service.start()

    async def crash(self) -> None:
        """End the process at once."""
        if self.log is not None:
            await self.service.stop()
        await super().crash()


class OriginGroup(Group):
    """Control processes, the platform's list, and entry hosts."""

    def __init__(self, *args: Any, **options: Any) -> None:
        self.is_upgraded = True
        self.max_records = options.pop('max_records', 1000)
        self.longest_stream_s = 20.0
        self.platform = Platform()
        self.platform.serve('v1')
        self.list_age_s_by_voter: dict[str, float] = {}
        self.proposals: list[tuple[str, bytes]] = []
        self.hosts: list[EntryHost] = []
        super().__init__(*args, **{'voter_class': OriginVoter, **options})

    async def entry(self, name: str) -> EntryHost:
        """Start an entry host, instead of an earlier one of that name."""
        for host in [host for host in self.hosts if host.name == name]:
            await host.crash()
        host = EntryHost(self, name)
        self.hosts.append(host)
        # A host serves requests only once it has a list.
        await asyncio.sleep(0.01)
        return host

    async def restart(self) -> None:
        """Let all control processes lose power and start again."""
        for voter in self.voters.values():
            await voter.crash()
        for voter in self.voters.values():
            await voter.start()

    async def default(self, service: str = SERVICE) -> str | None:
        """Return the committed default version of a service."""
        leader = await self.leader()
        return leader.machine.defaults_by_service.get(service)

    async def stop(self) -> None:
        """Crash all processes."""
        for host in list(self.hosts):
            await host.crash()
        await super().stop()


class CountingPeering:
    """Passes on to an endpoint and keeps the requests that it sends."""

    def __init__(self, peering: LocalPeering) -> None:
        self._peering = peering
        self.requests: list[Any] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self._peering, name)

    async def call(self, peer: str, request: Any, *args: Any) -> Any:
        """Count and pass on."""
        self.requests.append(request)
        return await self._peering.call(peer, request, *args)


class EntryHost:
    """Entry process that reads the list and begins streams."""

    def __init__(self, group: OriginGroup, name: str) -> None:
        self.name = name
        self.group = group
        self.peering = CountingPeering(group.network.endpoint(name))
        self.origins = StreamOrigins(
            self.peering, LoopClock(), lambda: sorted(group.initial_names)
        )
        self.sees_list = True
        self._task = asyncio.create_task(self._read_list())

    async def crash(self) -> None:
        """End the process at once."""
        self._task.cancel()
        self.peering.close()
        self.group.hosts.remove(self)

    def note_listed(self, versions: Mapping[str, Collection[str]]) -> None:
        """Record a list."""
        self.origins.note_listed(versions)

    async def begin(
        self, request_id: str, version: str, service: str = SERVICE
    ) -> StreamKey:
        """Record a stream and return its key."""
        stream = StreamKey(service, 'acme', request_id)
        await self.origins.record(stream, version, TIMEOUT_S)
        return stream

    async def find(self, stream: StreamKey) -> str | None:
        """Return the version that began a stream."""
        return await self.origins.find(stream, TIMEOUT_S)

    async def _read_list(self) -> None:
        while True:
            if self.sees_list:
                self.note_listed(self.group.platform.versions())
            await asyncio.sleep(LIST_INTERVAL_S)


def origin_proposals(group: OriginGroup) -> list[bytes]:
    """Return the commands that were proposed so far."""
    return [
        command
        for machine, command in group.proposals
        if machine == MACHINE_NAME
    ]
