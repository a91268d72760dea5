"""The entry process: caller interface, pipeline and target client."""

from __future__ import annotations

import random

from hornbeamline.caller_api import CallerApi
from hornbeamline.configuration import StaticFleetSource
from hornbeamline.core import Kernel
from hornbeamline.daemons._drain import DrainService
from hornbeamline.daemons._memory import CollectorService
from hornbeamline.decisions import DecisionEngine, DecisionSettings
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.helpers.http_server import HttpServer
from hornbeamline.inventory import EntrySettings, Fleet
from hornbeamline.pipeline import DecisionTicker, PipelineExecutor
from hornbeamline.targets import TargetClient, TargetPoller
from hornbeamline.telemetry import log_event

SERVICE_TARGETS = 'targets'
SERVICE_CALLER_API = 'caller_api'
SERVICE_POLLER = 'poller'
SERVICE_TICKER = 'ticker'
SERVICE_DRAIN = 'drain'
SERVICE_COLLECTOR = 'collector'


class EntryDaemon:
    """Builds the kernel of an entry process."""

    def __init__(self, settings: EntrySettings, fleet: Fleet) -> None:
        """Take settings and a fixed fleet."""
        clock = SystemClock()
        place = DecisionSettings(settings.host.name, settings.host.data_centre)
        decisions = DecisionEngine(place, clock, random.Random(settings.seed))
        decisions.update_fleet(fleet)
        source = StaticFleetSource(fleet)
        client = TargetClient()
        executor = PipelineExecutor(source, decisions, client, clock)
        api = CallerApi(
            settings.caller,
            lambda: source.fleet,
            executor,
            source.holds_lease,
            clock,
        )
        self.kernel = Kernel(settings.stop.timeout_s)
        self.kernel.register(SERVICE_TARGETS, client)
        self.kernel.register(SERVICE_TICKER, DecisionTicker(decisions))
        self.kernel.register(
            SERVICE_POLLER,
            TargetPoller(
                lambda: source.fleet,
                client,
                decisions,
                random.Random(settings.seed),
            ),
        )
        self.kernel.register(
            SERVICE_CALLER_API,
            HttpServer(api.build(), settings.caller.address),
        )
        self.kernel.register(SERVICE_COLLECTOR, CollectorService())
        self.kernel.register(SERVICE_DRAIN, DrainService(api, settings.stop))
        self._settings = settings

    async def run(self) -> int:
        """Serve until a stop signal; return the exit code."""
        log_event('entry.starting', address=self._settings.caller.address)
        return await self.kernel.run()
