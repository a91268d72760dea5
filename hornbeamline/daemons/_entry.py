"""The entry process: caller interface, pipeline and target client."""

from __future__ import annotations

import random

from hornbeamline.caller_api import CallerApi
from hornbeamline.configuration import (
    ConfigurationClient,
    StaticFleetSource,
)
from hornbeamline.core import Kernel
from hornbeamline.decisions import DecisionEngine, DecisionSettings
from hornbeamline.helpers.clock import Clock, SystemClock
from hornbeamline.helpers.http_server import HttpServer
from hornbeamline.inventory import EntrySettings, Fleet
from hornbeamline.ledger import LedgerClient
from hornbeamline.peering import PynngPeering
from hornbeamline.pipeline import PipelineExecutor
from hornbeamline.targets import TargetClient
from hornbeamline.telemetry import log_event

SERVICE_PEERING = 'peering'
SERVICE_CONFIGURATION = 'configuration'
SERVICE_LEDGER = 'ledger'
SERVICE_TARGETS = 'targets'
SERVICE_CALLER_API = 'caller_api'


class EntryDaemon:
    """Builds the kernel of an entry process."""

    def __init__(
        self,
        settings: EntrySettings,
        fleet: Fleet | None = None,
    ) -> None:
        """Take settings.

        A fixed fleet replaces the control hosts; there is no ledger then,
        for embedding and tests.
        """
        clock = SystemClock()
        place = DecisionSettings(settings.host.name, settings.host.data_centre)
        decisions = DecisionEngine(place, clock, random.Random(settings.seed))
        client = TargetClient()
        self.kernel = Kernel(settings.stop.timeout_s)
        self._settings = settings
        source: ConfigurationClient | StaticFleetSource
        if fleet is None:
            source = self._join_fleet(clock, decisions)
        else:
            source = StaticFleetSource(fleet)
            decisions.update_fleet(fleet)
        executor = PipelineExecutor(source, decisions, client, clock)
        api = CallerApi(
            settings.caller,
            source.current_fleet,
            executor,
            source.holds_lease,
            clock,
        )
        self.kernel.register(SERVICE_TARGETS, client)
        self.kernel.register(
            SERVICE_CALLER_API,
            HttpServer(api.build(), settings.caller.address),
        )

    async def run(self) -> int:
        """Serve until a stop signal; return the exit code."""
        log_event('entry.starting', address=self._settings.caller.address)
        return await self.kernel.run()

    def _join_fleet(
        self,
        clock: Clock,
        decisions: DecisionEngine,
    ) -> ConfigurationClient:
        settings = self._settings
        host = settings.host
        peering = PynngPeering(host.name, host.fleet, settings.peering, clock)
        for name, address in settings.controls_by_name.items():
            peering.add_peer(name, address)
        configuration = ConfigurationClient(settings, peering, clock)
        configuration.on_revision(
            lambda fleet, _revision: decisions.update_fleet(fleet),
        )
        ledger = LedgerClient(settings, peering, clock)
        self.kernel.register(SERVICE_PEERING, peering)
        self.kernel.register(SERVICE_CONFIGURATION, configuration)
        self.kernel.register(SERVICE_LEDGER, ledger)
        return configuration
