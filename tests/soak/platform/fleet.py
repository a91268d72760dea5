"""Platform processes on loopback addresses, with stand-in servers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote

import aiohttp
from yarl import URL

from hornbeamline.local_fleet import ProcessGroup, loopback_net
from tests.common import write_toml
from tests.soak.platform.standins.desk import DeskServer
from tests.soak.platform.standins.engine import EngineServer
from tests.soak.platform.standins.listing import StandinServerList
from tests.soak.platform.standins.server import StandinServer
from tests.soak.platform.standins.stages import StageServer
from tests.soak.platform.world import World

CONTROLS = (1, 2, 3)
HOSTS = (1, 2, 3, 4)
FRONT_PORT: Final = 8625
CONTROL_PORT: Final = 8628
GRACE_S: Final = 8
HOST_NAME: Final = 'soak.example'
API_KEY: Final = 'key-of-the-client'
TENANT: Final = 'exporter'
SERVER_TYPES_BY_SERVICE: Final[dict[str, type[StandinServer]]] = {
    'desk': DeskServer,
    'llm': EngineServer,
    'ledger': StageServer,
    'registry': StageServer,
}
# Data centre of each server of a service. A name may have a slash.
SERVER_ZONES: Final = ('z1', 'z1', 'z/2')
# The platform's bound from the start until the first configuration.
START_S: Final = 30
_CONTROL_STARTS: Final = 'event=control.starting '
_START_POLL_S: Final = 0.02
_CALL_TIMEOUT: Final = aiohttp.ClientTimeout(total=2)
_ORDER_TIMEOUT: Final = aiohttp.ClientTimeout(total=1)


def document(version: int) -> dict[str, Any]:
    """Return a configuration; one route has the version in its path."""
    common = {
        'host': HOST_NAME,
        'timeout-ms': 6000,
        'target-latency-ms': 1500,
        'max-attempts': 3,
    }
    plain = {'service': 'desk', 'route-type': 'idempotent', **common}
    stages = [
        {'service': 'ledger', 'after': [], 'bytes': 8000},
        {'service': 'registry', 'after': [0], 'bytes': 6000},
    ]
    stream = {
        'service': 'llm',
        'route-type': 'streaming',
        'gap-aim-ms': 400,
        **common,
    }
    pieces = {
        'slots': 1,
        'queue': 2,
        'batch': 6,
        'call-ms': 30,
        'item-ms': 5,
        'headroom-mb': 2,
        'handle-s': 4,
    }
    return {
        'version': version,
        'routes': [
            {'name': 'read', 'path-prefix': '/read/', **plain},
            {'name': 'numbered', 'path-prefix': f'/v{version}/', **plain},
            {
                'name': 'act',
                'path-prefix': '/act/',
                **plain,
                'route-type': 'non_idempotent',
            },
            {
                'name': 'plan',
                'path-prefix': '/plan/',
                'stages': stages,
                'stream-resume': False,
                **stream,
            },
            {
                'name': 'ask',
                'path-prefix': '/ask/',
                'stream-resume': True,
                **stream,
            },
        ],
        'services': [
            {'name': 'desk'},
            {'name': 'llm', 'engine': {'slots': 64, 'kv-capacity': 100000}},
            {'name': 'ledger', 'pieces': pieces},
            {'name': 'registry', 'pieces': pieces},
        ],
        'tenants': [{'name': TENANT, 'api-keys': [API_KEY], 'priority': 0}],
    }


class PlatformFleet:
    """Hosts with an entry process, some of them with a control process."""

    def __init__(
        self,
        folder: Path,
        rng: random.Random,
        group: ProcessGroup,
        entries: Sequence[int] = HOSTS,
        controls: Sequence[int] = CONTROLS,
    ) -> None:
        self.folder = folder
        self.rng = rng
        self.group = group
        self.world = World()
        self.servers: list[StandinServer] = []
        self.listing = StandinServerList(lambda: self.servers)
        self._net = loopback_net()
        self.entries = [f'entry-{number}' for number in entries]
        self.controls = [f'control-{number}' for number in controls]
        # Control processes that the settings of a process name; by default
        # the first three that are running.
        self.seeds_by_name: dict[str, list[str]] = {}

    def ip(self, name: str) -> str:
        """Return the IP address of the host on which a process runs."""
        return f'{self._net}.{name.rpartition("-")[2]}'

    async def start_servers(self) -> None:
        """Start all servers and the server list."""
        for service in SERVER_TYPES_BY_SERVICE:
            for zone in SERVER_ZONES:
                await self.add_server(service, zone)
        await self.listing.start()

    async def add_server(
        self, service: str, zone: str = SERVER_ZONES[0]
    ) -> StandinServer:
        """Start a server under a new id."""
        server = SERVER_TYPES_BY_SERVICE[service](self.world, service, self.rng)
        server.zone = zone
        await server.start()
        self.servers.append(server)
        return server

    async def stop_servers(self) -> None:
        """Stop the server list and all servers."""
        await self.listing.stop()
        for server in self.servers:
            await server.crash()

    def start(self, name: str, *, is_first: bool = False) -> None:
        """Write the settings of a process and start it without waiting."""
        role = name.partition('-')[0]
        path = self.write_settings(name, is_first=is_first)
        self.group.start(
            name,
            [role],
            'hornbeamline.platform',
            {'HORNBEAMLINE_SETTINGS': str(path)},
        )

    def write_settings(self, name: str, *, is_first: bool = False) -> Path:
        """Write the settings of a process, which may be running."""
        return write_toml(
            self.folder / f'{name}.toml',
            self._settings(name, is_first=is_first),
        )

    async def start_control(self, name: str) -> None:
        """Start a control process and wait for its log line of the start.

        On a busy host the interpreter alone takes seconds to start.
        """
        before = self._starts_of(name)
        self.start(name)
        deadline = time.monotonic() + START_S
        while self._starts_of(name) == before:
            assert time.monotonic() < deadline, (
                f'{name} did not log its start in time'
            )
            await asyncio.sleep(_START_POLL_S)

    def _starts_of(self, name: str) -> int:
        try:
            return self.group.log_of(name).count(_CONTROL_STARTS)
        except FileNotFoundError:
            # The process has not been started before.
            return 0

    def wipe(self, name: str) -> None:
        """Delete the disk of a stopped control process."""
        shutil.rmtree(self._disk(name))

    async def put(
        self,
        session: aiohttp.ClientSession,
        control: str,
        version: int,
    ) -> int:
        """Send a configuration; return the status, or 0 without an answer."""
        url = f'http://{self.ip(control)}:{CONTROL_PORT}/config/put'
        body = document(version)
        try:
            async with session.post(
                url,
                json=body,
                timeout=_CALL_TIMEOUT,
            ) as reply:
                await reply.read()
                return reply.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def evacuate(
        self,
        session: aiohttp.ClientSession,
        zone: str,
        order: str,
        timeout_s: float,
    ) -> float:
        """Send an order to any control process until it is acknowledged.

        Return the time of the acknowledgement.
        """
        path = f'/evacuations/{quote(zone, safe="")}/{order}'
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            ip = self.ip(self.rng.choice(self.controls))
            url = URL(f'http://{ip}:{CONTROL_PORT}{path}', encoded=True)
            with contextlib.suppress(
                aiohttp.ClientError, TimeoutError, OSError
            ):
                async with session.post(url, timeout=_ORDER_TIMEOUT) as reply:
                    if reply.status == 200:
                        return time.monotonic()
            await asyncio.sleep(0.1)
        self.world.record_violation(f'EVACUATE {order} is not acknowledged')
        return time.monotonic()

    async def get(
        self,
        session: aiohttp.ClientSession,
        control: str,
    ) -> dict[str, Any] | None:
        """Return the configuration that a control process serves, if any."""
        url = f'http://{self.ip(control)}:{CONTROL_PORT}/config/get'
        try:
            async with session.get(url, timeout=_CALL_TIMEOUT) as reply:
                shown = await reply.json() if reply.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        return shown

    def _disk(self, name: str) -> Path:
        return self.folder / f'disk-{name}'

    def _settings(self, name: str, *, is_first: bool) -> dict[str, Any]:
        ip = self.ip(name)
        disk = self._disk(name)
        if name in self.controls:
            disk.mkdir(exist_ok=True)
        seeds = [
            f'{self.ip(control)}:{CONTROL_PORT}'
            for control in self.seeds_by_name.get(name, self.controls[:3])
        ]
        return {
            'node': name,
            'ip': ip,
            'zone': SERVER_ZONES[0],
            'zones': dict.fromkeys(SERVER_ZONES, 'region'),
            'internal-ports': [7740, 7755],
            'seeds': seeds,
            'bootstrap': is_first,
            'data-dir': str(disk) if name in self.controls else '',
            'listen': {
                'front': f'{ip}:{FRONT_PORT}',
                'readiness-addr': f'{ip}:8621',
                'control': f'{ip}:{CONTROL_PORT}',
            },
            'fault-tolerance': {'machines': 1},
            'bounds': {'grace-s': GRACE_S},
            'cloud-api': {'address': self.listing.address, 'rate-per-s': 40},
        }


@contextlib.asynccontextmanager
async def platform_fleet(
    folder: Path,
    rng: random.Random,
    entries: Sequence[int] = HOSTS,
    controls: Sequence[int] = CONTROLS,
) -> AsyncIterator[PlatformFleet]:
    """Yield a fleet whose processes are starting, without configuration."""
    with ProcessGroup(folder) as group:
        fleet = PlatformFleet(folder, rng, group, entries, controls)
        await fleet.start_servers()
        try:
            for name in (*fleet.controls, *fleet.entries):
                fleet.start(name, is_first=True)
            yield fleet
        finally:
            await fleet.stop_servers()


async def put_until_acknowledged(
    fleet: PlatformFleet,
    session: aiohttp.ClientSession,
    version: int,
    timeout_s: float,
) -> None:
    """Send a configuration to any control process until it is stored."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        control = fleet.rng.choice(fleet.controls)
        if await fleet.put(session, control, version) == 200:
            fleet.world.acknowledged.append((time.monotonic(), version))
            return
        await asyncio.sleep(0.1)
    fleet.world.record_violation(f'configuration {version} is not acknowledged')
