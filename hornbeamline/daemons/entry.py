"""Entry process: caller API, pipeline and target client."""

from __future__ import annotations

import random
import secrets

from hornbeamline.caller_api import CallerApi
from hornbeamline.configuration import (
    ConfigurationClient,
    StaticFleetSource,
)
from hornbeamline.core import Kernel
from hornbeamline.daemons._drain import DrainService
from hornbeamline.daemons._memory import GarbageCollectorService
from hornbeamline.decisions import DecisionEngine, DecisionSettings
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.helpers.http_server import HttpServer
from hornbeamline.inventory import EntrySettings, Fleet, MembershipRules
from hornbeamline.ledger import LedgerClient
from hornbeamline.membership import MembershipPoller, MembershipView
from hornbeamline.peering import PynngPeering
from hornbeamline.pipeline import Claims, DecisionTicker, PipelineExecutor
from hornbeamline.targets import (
    TargetClient,
    TargetRefusedError,
)
from hornbeamline.targets.pollers import TargetPoller
from hornbeamline.telemetry import log_event

SERVICE_PEERING = 'peering'
SERVICE_CONFIGURATION = 'configuration'
SERVICE_LEDGER = 'ledger'
SERVICE_MEMBERSHIP = 'membership'
SERVICE_TARGETS = 'targets'
SERVICE_CALLER_API = 'caller_api'
SERVICE_POLLER = 'poller'
SERVICE_TICKER = 'ticker'
SERVICE_DRAIN = 'drain'
SERVICE_COLLECTOR = 'collector'


class EntryDaemon:
    """Builds the kernel of an entry process."""

    def __init__(
        self,
        settings: EntrySettings,
        fleet: Fleet | None = None,
    ) -> None:
        """Build the services from the settings.

        A fixed `fleet` replaces the control hosts, for embedding and tests;
        there is no ledger then.
        """
        self.kernel = Kernel(settings.stop.timeout_s)
        self._settings = settings
        self._clock = SystemClock()
        seed = settings.seed or secrets.randbits(64)
        decision_settings = DecisionSettings(
            settings.host.name,
            settings.host.data_centre,
        )
        self._rng = random.Random(seed)
        self._decisions = DecisionEngine(
            decision_settings,
            self._clock,
            self._rng,
        )
        self._membership = MembershipView(self._membership_rules, self._clock)
        self._membership.on_change(self._decisions.update_unavailable)
        self._source: ConfigurationClient | StaticFleetSource
        claims: Claims | None = None
        if fleet is None:
            claims = self._join_fleet()
        else:
            self._source = StaticFleetSource(fleet)
            self._apply_fleet(fleet, 1)
        self._serve(claims)

    async def run(self) -> int:
        """Serve until a stop signal; return the exit code."""
        log_event('entry.starting', address=self._settings.caller.address)
        return await self.kernel.run()

    def _join_fleet(self) -> LedgerClient:
        settings = self._settings
        host = settings.host
        peering = PynngPeering(
            host.name,
            host.fleet,
            settings.peering,
            self._clock,
        )
        for name, address in settings.controls_by_name.items():
            peering.add_peer(name, address)
        configuration = ConfigurationClient(settings, peering, self._clock)
        configuration.on_revision(self._apply_fleet)
        ledger = LedgerClient(settings, peering, self._clock)
        self.kernel.register(SERVICE_PEERING, peering)
        self.kernel.register(SERVICE_CONFIGURATION, configuration)
        self.kernel.register(SERVICE_LEDGER, ledger)
        self._source = configuration
        return ledger

    def _serve(self, claims: Claims | None) -> None:
        settings = self._settings
        client = TargetClient()
        executor = PipelineExecutor(
            self._source,
            self._decisions,
            client,
            self._clock,
            claims,
            on_refused=self._note_refusal,
        )
        api = CallerApi(
            settings.caller,
            self._source.current_fleet,
            executor,
            self._source.holds_lease,
            self._clock,
        )
        self.kernel.register(
            SERVICE_MEMBERSHIP,
            MembershipPoller(
                settings.membership,
                self._membership,
                self._membership_rules,
                self._clock,
                self._rng,
            ),
        )
        self.kernel.register(SERVICE_TARGETS, client)
        self.kernel.register(SERVICE_TICKER, DecisionTicker(self._decisions))
        self.kernel.register(
            SERVICE_POLLER,
            TargetPoller(
                self._source.current_fleet,
                client,
                self._decisions,
                self._rng,
            ),
        )
        self.kernel.register(
            SERVICE_CALLER_API,
            HttpServer(api.build(), settings.caller.address),
        )
        self.kernel.register(SERVICE_COLLECTOR, GarbageCollectorService())
        self.kernel.register(SERVICE_DRAIN, DrainService(api, settings.stop))

    def _apply_fleet(self, fleet: Fleet, _revision: int) -> None:
        self._membership.update_fleet(fleet)
        self._decisions.update_fleet(fleet)

    def _note_refusal(self, target: str, refusal: TargetRefusedError) -> None:
        if refusal.is_leaving:
            self._membership.note_leaving(target)
        if refusal.pause_s:
            self._membership.note_pause(target, refusal.pause_s)

    def _membership_rules(self) -> MembershipRules:
        fleet = self._source.current_fleet()
        return MembershipRules() if fleet is None else fleet.rules.membership
