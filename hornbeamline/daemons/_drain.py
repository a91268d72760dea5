"""Graceful stop of an entry process."""

from __future__ import annotations

import asyncio

from hornbeamline.caller_api import CallerApi
from hornbeamline.inventory import StopSettings
from hornbeamline.telemetry import log_event


class DrainService:
    """Drains the caller API; registered last, so stopped first."""

    def __init__(self, api: CallerApi, settings: StopSettings) -> None:
        """Initialize with the caller API and the time limits of a stop."""
        self._api = api
        self._settings = settings

    async def start(self) -> None:
        """Do nothing: the service acts at the stop only."""

    async def stop(self) -> None:
        """Fail readiness, wait for the load balancer, finish all requests.

        New requests are accepted while the load balancer may send them.
        """
        log_event('entry.draining', in_progress=self._api.in_progress)
        self._api.begin_drain(accepts_requests=True)
        await asyncio.sleep(self._settings.balancer_wait_s)
        self._api.begin_drain()
        # The kernel applies the same timeout to the whole stop.
        idle = await self._api.wait_idle(self._settings.timeout_s)
        log_event('entry.drained', idle=idle)
