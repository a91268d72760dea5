"""The entry process: caller interface, pipeline and target client."""

from __future__ import annotations

import random

from hornbeamline.caller_api import CallerApi
from hornbeamline.configuration import (
    ConfigurationClient,
    StaticFleetSource,
)
from hornbeamline.core import Kernel
from hornbeamline.daemons._drain import DrainService
from hornbeamline.decisions import DecisionEngine, DecisionSettings
from hornbeamline.helpers.clock import Clock, SystemClock
from hornbeamline.helpers.http_server import HttpServer
from hornbeamline.inventory import EntrySettings, Fleet
from hornbeamline.ledger import LedgerClient
from hornbeamline.peering import PynngPeering
from hornbeamline.pipeline import DecisionTicker, PipelineExecutor
from hornbeamline.targets import TargetClient, TargetPoller
from hornbeamline.telemetry import log_event

SERVICE_PEERING = 'peering'
SERVICE_CONFIGURATION = 'configuration'
SERVICE_LEDGER = 'ledger'
SERVICE_TARGETS = 'targets'
SERVICE_CALLER_API = 'caller_api'
SERVICE_POLLER = 'poller'
SERVICE_TICKER = 'ticker'
SERVICE_DRAIN = 'drain'


class EntryDaemon:
    """Builds the kernel of an entry process."""

    def __init__(
        self,
        settings: EntrySettings,
        fleet: Fleet | None = None,
    ) -> None:
        """Take settings.

        A fixed fleet replaces the control hosts, for embedding and tests;
        without them there is no ledger and every non-repeatable request is
        refused.
        """
        clock = SystemClock()
        place = DecisionSettings(settings.host.name, settings.host.data_centre)
        decisions = DecisionEngine(place, clock, random.Random(settings.seed))
        self.kernel = Kernel(settings.stop.timeout_s)
        self._settings = settings
        source: ConfigurationClient | StaticFleetSource
        ledger: LedgerClient | None = None
        if fleet is None:
            source, ledger = self._join_fleet(clock)
            source.on_revision(
                lambda accepted, _revision: decisions.update_fleet(accepted),
            )
        else:
            source = StaticFleetSource(fleet)
            decisions.update_fleet(fleet)
        client = TargetClient()
        executor = PipelineExecutor(source, decisions, client, clock, ledger)
        api = CallerApi(
            settings.caller,
            source.current_fleet,
            executor,
            source.holds_lease,
            clock,
        )
        poller = TargetPoller(
            source.current_fleet,
            client,
            decisions,
            random.Random(settings.seed),
        )
        self.kernel.register(SERVICE_TARGETS, client)
        self.kernel.register(SERVICE_TICKER, DecisionTicker(decisions))
        self.kernel.register(SERVICE_POLLER, poller)
        self.kernel.register(
            SERVICE_CALLER_API,
            HttpServer(api.build(), settings.caller.address),
        )
        self.kernel.register(SERVICE_DRAIN, DrainService(api, settings.stop))

    async def run(self) -> int:
        """Serve until a stop signal; return the exit code."""
        log_event('entry.starting', address=self._settings.caller.address)
        return await self.kernel.run()

    def _join_fleet(
        self,
        clock: Clock,
    ) -> tuple[ConfigurationClient, LedgerClient]:
        settings = self._settings
        host = settings.host
        peering = PynngPeering(host.name, host.fleet, settings.peering, clock)
        for name, address in settings.controls_by_name.items():
            peering.add_peer(name, address)
        configuration = ConfigurationClient(settings, peering, clock)
        ledger = LedgerClient(settings, peering, clock)
        self.kernel.register(SERVICE_PEERING, peering)
        self.kernel.register(SERVICE_CONFIGURATION, configuration)
        self.kernel.register(SERVICE_LEDGER, ledger)
        return configuration, ledger
