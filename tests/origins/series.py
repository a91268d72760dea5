"""Random series of faults and releases, checked against an oracle."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from hornbeamline.origins import OriginUnavailableError, StreamKey
from tests.origins.group import EntryHost, OriginGroup

SERVICES = ('drafting', 'reading')
VERSIONS = ('v1', 'v2', 'v3', 'v4', 'v5')
HOSTS = tuple(f'entry-{number}' for number in range(1, 5))
STEPS = 400
# Time limit of a stream with its resumptions.
LONGEST_STREAM_S = 20.0
RECORD_TIMEOUT_S = 3.0


class Begun(NamedTuple):
    """A stream whose first event was passed on."""

    stream: StreamKey
    version: str
    at: float
    host: str


class Series:
    """One series: begins and finds streams while hosts fail."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.rng = random.Random(seed)
        self.group = OriginGroup(
            folder,
            3,
            seed=seed,
            snapshot_entries=self.rng.choice((8, 64, 4096)),
        )
        self.group.longest_stream_s = LONGEST_STREAM_S
        self.group.network.loss = self.rng.choice((0.0, 0.02))
        self.streams: list[Begun] = []
        self.wrong: list[str] = []
        self.counts: Counter[str] = Counter()
        self.number = 0

    async def run(self) -> None:
        """Run all steps."""
        for service in SERVICES:
            self.group.platform.serve('v1', service=service)
        await self.group.start()
        for name in HOSTS:
            await self.group.entry(name)
        steps = (
            (self._begin, 40),
            (self._find, 40),
            (self._release, 4),
            (self._wait, 3),
            (self._crash_voter, 3),
            (self._power_loss, 1),
            (self._restart_host, 2),
            (self._cut_host, 2),
            (self._heal, 2),
        )
        work = [step for step, _ in steps]
        weights = [weight for _, weight in steps]
        for _ in range(STEPS):
            step = self.rng.choices(work, weights)[0]
            await step()
            await asyncio.sleep(self.rng.choice((0, 0.01, 0.3, 1.1)))
        await self.group.stop()

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def _host(self) -> EntryHost:
        return self.rng.choice(self.group.hosts)

    async def _begin(self) -> None:
        """Begin some streams at once, at versions that serve."""
        await asyncio.gather(
            *(self._begin_one() for _ in range(self.rng.choice((1, 1, 5))))
        )

    async def _begin_one(self) -> None:
        host = self._host()
        service = self.rng.choice(SERVICES)
        self.number += 1
        stream = StreamKey(service, '', f'r-{self.number}')
        attempts = self.rng.choice((1, 1, 1, 2, 3))
        version = ''
        for _ in range(attempts):
            served = sorted(self.group.platform.versions_by_service[service])
            if not served:
                return
            version = self.rng.choice(served)
            try:
                await host.origins.record(stream, version, RECORD_TIMEOUT_S)
            except OriginUnavailableError:
                self.counts['not recorded'] += 1
                version = ''
        if version:
            self.counts['begun'] += 1
            self.streams.append(Begun(stream, version, self.now, host.name))

    async def _find(self) -> None:
        """Look up streams that may still go on, at any host."""
        self.streams = [
            begun
            for begun in self.streams
            if self.now - begun.at <= LONGEST_STREAM_S / 2
        ]
        chosen = self.rng.sample(self.streams, min(len(self.streams), 4))
        await asyncio.gather(*(self._find_one(begun) for begun in chosen))

    async def _find_one(self, begun: Begun) -> None:
        host = self._host()
        try:
            found = await host.origins.find(begun.stream, RECORD_TIMEOUT_S)
        except OriginUnavailableError:
            self.counts['not found'] += 1
            return
        self.counts['found'] += 1
        if found != begun.version:
            self.wrong.append(
                f'{self.now:.3f} {host.name} found {found}: {begun}',
            )

    async def _release(self) -> None:
        """Replace the versions of a service."""
        versions = self.rng.sample(VERSIONS, self.rng.choice((0, 1, 1, 2, 5)))
        self.group.platform.serve(*versions, service=self.rng.choice(SERVICES))
        self.counts['releases'] += 1

    async def _wait(self) -> None:
        await asyncio.sleep(self.rng.choice((11, 40, 65, 130)))

    async def _crash_voter(self) -> None:
        running = self.group.running
        leaders = [voter for voter in running if voter.log.is_leader]
        victim = self.rng.choice(leaders or running)
        await victim.crash()
        await asyncio.sleep(self.rng.choice((0, 0.1, 2)))
        if self.rng.random() < 0.5:
            await self._heal()
        await victim.start()

    async def _power_loss(self) -> None:
        """All control processes and entry hosts lose power at once."""
        for name in HOSTS:
            await self._restart(name)
        await self.group.restart()

    async def _restart_host(self) -> None:
        await self._restart(self._host().name)

    async def _restart(self, name: str) -> None:
        # Cuts are kept by name, so that a restart ends them.
        self.group.network.cuts = {
            cut for cut in self.group.network.cuts if name not in cut
        }
        await self.group.entry(name)

    async def _cut_host(self) -> None:
        """Cut a host off, with or without the list of targets."""
        host = self._host()
        self.group.network.isolate(host.name)
        host.sees_list = self.rng.random() < 0.5

    async def _heal(self) -> None:
        self.group.network.heal()
        for host in self.group.hosts:
            host.sees_list = True
