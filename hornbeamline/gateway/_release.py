"""Frees results of stages that are no longer needed."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Final

from hornbeamline.core import TaskSet
from hornbeamline.exceptions import GatewayError
from hornbeamline.gateway._http import TargetHttp
from hornbeamline.gateway._wire import Wire
from hornbeamline.telemetry import log_event

# Results expire by themselves after seconds; one call frees many.
RELEASE_INTERVAL_S: Final = 0.5
_TIMEOUT_S: Final = 1.0


class ResultReleaser:
    """Collects handles and frees them in one call for each target."""

    def __init__(self, http: TargetHttp, wire: Wire) -> None:
        """Take the client and the translation of calls."""
        self._http = http
        self._wire = wire
        self._handles_by_address: dict[str, list[str]] = {}
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Begin to free results."""
        self._tasks.spawn(self._run(), 'result release')

    async def stop(self) -> None:
        """Leave what is held to its expiry."""
        await self._tasks.cancel_all()

    def release(self, handles: Iterable[str]) -> None:
        """Free results soon."""
        for handle in handles:
            address = self._wire.address_of(handle)
            self._handles_by_address.setdefault(address, []).append(handle)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(RELEASE_INTERVAL_S)
            collected = self._handles_by_address
            self._handles_by_address = {}
            for address, handles in collected.items():
                self._tasks.spawn(
                    self._free(address, handles),
                    f'release at {address}',
                )

    async def _free(self, address: str, handles: list[str]) -> None:
        path, headers, body = self._wire.release_call(handles)
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                await self._http.fetch(address, 'POST', path, headers, body)
        except (GatewayError, TimeoutError) as error:
            # The results expire at their target by themselves.
            log_event(
                'stages.release_failed',
                address=address,
                handles=len(handles),
                error=repr(error),
            )
