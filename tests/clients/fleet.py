"""One control and one entry process with lowered limits."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, Final

import aiohttp

from hornbeamline.local_fleet import ProcessGroup
from tests.soak.platform.fleet import (
    API_KEY,
    CONTROL_PORT,
    FRONT_PORT,
    HOST_NAME,
    START_S,
    TENANT,
    PlatformFleet,
    document,
)
from tests.soak.platform.world import SentRequest

ENTRY: Final = 'entry-1'
CONTROL: Final = 'control-1'
MEMORY_MB: Final = 128
MAX_FDS: Final = 400
DOCUMENT_LIMITS: Final = {
    'max-header-bytes': 16_384,
    'max-body-bytes': 4_194_304,
    'header-timeout-ms': 3_000,
    'idle-timeout-ms': 15_000,
}
_ANSWER_S: Final = 20.0
_PAUSE_S: Final = 0.1
_START_ATTEMPTS: Final = 3
_TIMEOUT: Final = aiohttp.ClientTimeout(total=3)
_KB_PER_MB: Final = 1024


class LimitedFleet(PlatformFleet):
    """Fleet of two processes whose settings state lowered limits."""

    async def start_servers(self) -> None:
        """Start the target list and one target of the plain service."""
        for _ in range(_START_ATTEMPTS - 1):
            # Another process may take the port that was found to be free.
            with contextlib.suppress(OSError):
                await self.add_server('desk')
                break
        else:
            await self.add_server('desk')
        await self.listing.start()

    def address(self, name: str) -> tuple[str, int]:
        """Return the address of a process for callers or operators."""
        port = FRONT_PORT if name == ENTRY else CONTROL_PORT
        return self.ip(name), port

    def peak_mb(self, name: str) -> float:
        """Return the peak of the resident memory of a process in MB."""
        status = Path(f'/proc/{self.group.pid(name)}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) / _KB_PER_MB
        raise AssertionError(f'{name} has ended')

    def open_files(self, name: str) -> int:
        """Return the number of file descriptors that a process has open."""
        return len(os.listdir(f'/proc/{self.group.pid(name)}/fd'))

    async def until_answered(self, name: str) -> None:
        """Send ordinary requests until one is answered with status 200."""
        deadline = time.monotonic() + _ANSWER_S
        seen = ''
        while time.monotonic() < deadline:
            async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
                try:
                    seen = await self._ask(session, name)
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    seen = repr(error)
            if seen == '200':
                return
            await asyncio.sleep(_PAUSE_S)
        raise AssertionError(f'{name}: no answer to a request: {seen}')

    async def _ask(self, session: aiohttp.ClientSession, name: str) -> str:
        host, port = self.address(name)
        if name == CONTROL:
            async with session.get(f'http://{host}:{port}/config/get') as reply:
                await reply.read()
                return str(reply.status)
        request_id = f'{self.rng.getrandbits(64):016x}'
        body = b'ordinary'
        self.world.sent_by_id[request_id] = SentRequest(
            'POST', '/read/x', body, TENANT, True
        )
        async with session.post(
            f'http://{host}:{port}/read/x',
            data=body,
            headers={
                'Host': HOST_NAME,
                'X-Api-Key': API_KEY,
                'X-Request-Id': request_id,
            },
        ) as reply:
            await reply.read()
            return str(reply.status)

    def _settings(self, name: str, *, is_first: bool) -> dict[str, Any]:
        return {
            **super()._settings(name, is_first=is_first),
            'fault-tolerance': {'machines': 0},
            'limits': {'memory-mb': MEMORY_MB, 'max-fds': MAX_FDS},
        }


@contextlib.asynccontextmanager
async def limited_fleet(folder: Path) -> AsyncIterator[LimitedFleet]:
    """Yield the two processes once both answer ordinary requests."""
    with ProcessGroup(folder) as group:
        fleet = LimitedFleet(folder, random.Random(4), group, (1,), (1,))
        await fleet.start_servers()
        try:
            fleet.start(CONTROL, is_first=True)
            fleet.start(ENTRY, is_first=True)
            await _put_document(fleet)
            await fleet.until_answered(ENTRY)
            yield fleet
        finally:
            await fleet.stop_servers()


async def _put_document(fleet: LimitedFleet) -> None:
    host, port = fleet.address(CONTROL)
    content = {**document(1), 'limits': DOCUMENT_LIMITS}
    deadline = time.monotonic() + START_S
    status = 0
    while status != 200:
        assert time.monotonic() < deadline, 'the document is not stored'
        async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with session.post(
                    f'http://{host}:{port}/config/put', json=content
                ) as reply:
                    status = reply.status
        await asyncio.sleep(_PAUSE_S)
