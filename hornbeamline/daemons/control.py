"""Control process: replicated log, ledger and configuration."""

from __future__ import annotations

import random
from pathlib import Path

from hornbeamline.configuration import ConfigurationService
from hornbeamline.control_link import LeaderServer
from hornbeamline.core import Kernel
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.helpers.http_server import HttpServer
from hornbeamline.inventory import (
    ControlSettings,
    Document,
    Fleet,
    FleetInfo,
    load_document,
    validate,
)
from hornbeamline.ledger import LedgerService
from hornbeamline.operator_api import OperatorApi
from hornbeamline.orders import HttpEngineClient, OrderService
from hornbeamline.peering import PynngPeering
from hornbeamline.replog import RaftLog
from hornbeamline.telemetry import log_event

SERVICE_PEERING = 'peering'
SERVICE_LOG = 'replog'
SERVICE_LEDGER = 'ledger'
SERVICE_CONFIGURATION = 'configuration'
SERVICE_ORDERS = 'orders'
SERVICE_OPERATOR_API = 'operator_api'


class ControlDaemon:
    """Builds the kernel of a control process."""

    def __init__(self, settings: ControlSettings) -> None:
        """Build the services from the settings.

        Raises `InventoryError` for unreadable or invalid initial documents.
        """
        clock = SystemClock()
        host = settings.host
        peering = PynngPeering(host.name, host.fleet, settings.peering, clock)
        # No fixed seed: election timeouts must differ between voters.
        log = RaftLog(settings, peering, clock, random.Random())
        server = LeaderServer(peering, log)
        ledger = LedgerService(
            log,
            server,
            clock,
            settings.session_timeout_s,
        )
        configuration = ConfigurationService(
            log,
            server,
            clock,
            _initial_document(settings),
            settings.lease_s,
        )
        empty = Fleet(fleet=FleetInfo(name=host.fleet))
        orders = OrderService(
            host.name,
            log,
            lambda: configuration.current_fleet() or empty,
            HttpEngineClient(),
            clock,
        )
        api = OperatorApi(settings, configuration, log, peering)
        self.kernel = Kernel(settings.stop.timeout_s)
        log.on_stopped(self.kernel.fail)
        self.kernel.register(SERVICE_PEERING, peering)
        self.kernel.register(SERVICE_LOG, log)
        self.kernel.register(SERVICE_LEDGER, ledger)
        self.kernel.register(SERVICE_CONFIGURATION, configuration)
        self.kernel.register(SERVICE_ORDERS, orders)
        self.kernel.register(
            SERVICE_OPERATOR_API,
            HttpServer(api.build(), settings.operator.address),
        )
        self._settings = settings

    async def run(self) -> int:
        """Serve until a stop signal; return the exit code."""
        log_event(
            'control.starting',
            operator=self._settings.operator.address,
            peering=self._settings.peering.address,
        )
        return await self.kernel.run()


def _initial_document(settings: ControlSettings) -> Document | None:
    if not settings.initial_documents:
        return None
    document = load_document(
        Path(location) for location in settings.initial_documents
    )
    validate(document)
    return document
