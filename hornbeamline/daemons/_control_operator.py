"""Operator interface and evacuations of a control process."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from hornbeamline.control_link import LeaderServer
from hornbeamline.evacuations import (
    EvacuationMachine,
    EvacuationUnavailableError,
)
from hornbeamline.evacuations.operator import add_evacuation_routes
from hornbeamline.evacuations.service import EvacuationService
from hornbeamline.gateway import TargetDirectory
from hornbeamline.helpers.caller_watch import CallerWatchApp
from hornbeamline.helpers.clock import BootClock
from hornbeamline.quarantine import QuarantineRelay
from hornbeamline.quarantine.operator import add_quarantine_routes
from hornbeamline.replog import RaftLog

__all__ = ('EvacuationService', 'evacuation_service', 'operator_application')


class DataCentres:
    """The data centres in the settings and in the list of targets."""

    def __init__(
        self, named: Collection[str], targets: TargetDirectory
    ) -> None:
        """Initialize with the names in the settings and the list."""
        self._named = named
        self._targets = targets

    def is_listed(self, data_centre: str) -> bool:
        """Return whether a name is known.

        Raises `EvacuationUnavailableError` if it could be in the list, which
        is not known yet.
        """
        if data_centre in self._named:
            return True
        if not self._targets.is_known:
            raise EvacuationUnavailableError('the list of targets is unknown')
        return any(
            target.data_centre == data_centre
            for target in self._targets.targets()
        )


def evacuation_service(
    log: RaftLog,
    server: LeaderServer,
    data_centres: Collection[str],
    targets: TargetDirectory,
) -> EvacuationService:
    """Return the service, which accepts these and listed data centres."""
    return EvacuationService(
        log,
        server,
        EvacuationMachine(),
        DataCentres(data_centres, targets).is_listed,
        BootClock(),
    )


def operator_application(
    app: Any, relay: QuarantineRelay, evacuations: EvacuationService
) -> CallerWatchApp:
    """Return the operator's application, with the routes added here."""
    add_quarantine_routes(app, relay)
    add_evacuation_routes(app, evacuations)
    return CallerWatchApp(app)
