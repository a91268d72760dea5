"""Graceful stop of an entry process."""

from __future__ import annotations

import asyncio

from hornbeamline.caller_api import CallerApi
from hornbeamline.inventory import StopSettings
from hornbeamline.telemetry import log_event


class DrainService:
    """Drains the caller interface; registered last, so stopped first."""

    def __init__(self, api: CallerApi, settings: StopSettings) -> None:
        """Take the interface and the times of a stop."""
        self._api = api
        self._settings = settings

    async def start(self) -> None:
        """Acquire nothing."""

    async def stop(self) -> None:
        """Fail readiness, wait for the balancer, finish all requests.

        Work is still taken while the balancer may send it.
        """
        log_event('entry.draining', in_progress=self._api.in_progress)
        self._api.begin_drain(takes_work=True)
        await asyncio.sleep(self._settings.balancer_wait_s)
        self._api.begin_drain()
        # The kernel bounds the whole stop by the same time.
        idle = await self._api.wait_idle(self._settings.timeout_s)
        log_event('entry.drained', idle=idle)
