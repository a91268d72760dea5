"""Control process that stores numbered documents."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping
from typing import Any, NamedTuple

from hornbeamline.control_link import LeaderServer
from hornbeamline.core import Kernel
from hornbeamline.daemons._control_operator import (
    EvacuationService,
    evacuation_service,
    operator_application,
)
from hornbeamline.daemons._control_origins import (
    LongestStream,
    StreamLimitReader,
    origin_service,
)
from hornbeamline.daemons._leader_watch import LeaderWatch
from hornbeamline.daemons._listeners import Listeners, ProcessLimits
from hornbeamline.daemons._memory import GarbageCollectorService
from hornbeamline.daemons._settings_watch import SettingsWatch
from hornbeamline.daemons._target_list import ListPoller, TargetListSource
from hornbeamline.directory import DirectoryMember, Presence
from hornbeamline.directory.const import ROLE_CONTROL
from hornbeamline.directory.registry import DirectoryRegistry
from hornbeamline.documents import DocumentMachine
from hornbeamline.documents.service import DocumentService
from hornbeamline.gateway import TargetDirectory, TargetHttp
from hornbeamline.helpers.clock import BootClock, SystemClock
from hornbeamline.inventory import (
    ControlSettings,
    HostSettings,
    OperatorSettings,
    PeeringSettings,
    StorageSettings,
)
from hornbeamline.peering import PynngPeering
from hornbeamline.quarantine import QuarantineRelay
from hornbeamline.replog import MemoryDisk, RaftLog
from hornbeamline.telemetry import log_event, metrics_app


class DocumentControlSettings(NamedTuple):
    """Settings of a control process with numbered documents."""

    name: str
    host: str
    data_centre: str
    # All data centres that are known from the settings.
    data_centres: Collection[str]
    fleet: str
    peering: PeeringSettings
    # Peering addresses: the initial voters at the first start, afterwards any
    # control processes.
    controls_by_name: dict[str, str]
    is_first_start: bool
    storage: StorageSettings
    # The data folder survives a restart of the process and a power loss.
    is_durable: bool
    voters: int
    operator_address: str
    metrics_address: str
    list_interval_s: float
    # Calls per second to the target list, summed over all hosts, and the
    # number of control processes that are expected to make them.
    list_rate_per_s: float
    list_readers: int
    stop_timeout_s: float
    limits: ProcessLimits = ProcessLimits()


class DocumentControlDaemon:
    """Builds the kernel of a control process with numbered documents."""

    def __init__(
        self,
        settings: DocumentControlSettings,
        validate: Callable[[bytes], int],
        operator_app: Callable[[DocumentService, EvacuationService], Any],
        open_list: Callable[[TargetHttp], TargetListSource],
        read_controls: Callable[[], Mapping[str, str]],
        read_stream_limit: StreamLimitReader | None = None,
    ) -> None:
        """Build the services from the settings and the platform adapter."""
        clock = SystemClock()
        self.host = settings.host
        self._settings = settings
        self.kernel = Kernel(settings.stop_timeout_s)
        peering = PynngPeering(
            settings.name,
            settings.fleet,
            settings.peering,
            clock,
        )
        # No fixed seed: election timeouts must differ between voters.
        log = RaftLog(
            _log_settings(settings),
            peering,
            clock,
            random.Random(),
            disk=None if settings.is_durable else MemoryDisk(),
        )
        log.on_stopped(self.kernel.fail)
        machine = DocumentMachine()
        server = LeaderServer(peering, log)
        documents = DocumentService(log, server, machine, validate)
        own = _own_presence(settings)
        targets = TargetDirectory(BootClock())
        self._evacuations = evacuation_service(
            log, server, settings.data_centres, targets
        )
        registry = DirectoryRegistry(
            peering, machine, own, targets, clock, self._evacuations.machine
        )
        log.enable_voter_reconciliation(registry.controls, settings.voters)
        http = TargetHttp()
        poller = ListPoller(
            open_list(http),
            targets,
            settings.list_interval_s,
            settings.list_rate_per_s,
            random.Random(),
            settings.list_interval_s,
            registry.announce_list,
        )
        poller.note_hosts(settings.list_readers)
        member = DirectoryMember(
            peering,
            clock,
            settings.controls_by_name,
            lambda: own,
            targets,
        )
        # The settings of this host may name lost control hosts only.
        member.remembered_controls = log.addresses_by_name
        registry.on_control = member.add_present_control
        registry.answering_controls = lambda: member.view.described(
            member.answering_controls()
        )
        self.kernel.register('peering', peering)
        self.kernel.register('replog', log)
        if settings.is_durable:
            self.kernel.register('http', http)
            self.kernel.register('targets', poller)
        self.kernel.register('directory', member)
        self.kernel.register(
            'origins',
            origin_service(
                log,
                server,
                targets,
                LongestStream(machine, read_stream_limit),
                clock,
            ),
        )
        self._watch_settings(read_controls, member)
        # The limits of the document do not apply: they are for callers, and
        # could keep the operator from replacing the document.
        self._listeners = Listeners(self.kernel, settings.limits, clock)
        self._listeners.add('metrics', metrics_app, settings.metrics_address)
        self.kernel.register('collector', GarbageCollectorService())
        self._register_operator(
            operator_app(documents, self._evacuations),
            QuarantineRelay(peering, BootClock(), registry.entry_names),
            LeaderWatch(log, member, registry, settings.name),
        )

    async def run(self) -> int:
        """Serve until a stop signal; return the exit code."""
        settings = self._settings
        log_event(
            'control.starting',
            operator=settings.operator_address,
            peering=settings.peering.address,
            controls=','.join(settings.controls_by_name),
            first_start=settings.is_first_start,
            durable=settings.is_durable,
        )
        code = await self.kernel.run()
        log_event('control.stopped', code=code)
        return code

    def _watch_settings(
        self,
        read_controls: Callable[[], Mapping[str, str]],
        member: DirectoryMember,
    ) -> None:
        watch = SettingsWatch(read_controls, member)
        self.kernel.on_reload(watch.reload)
        self.kernel.register('settings', watch)

    def _register_operator(
        self, app: Any, relay: QuarantineRelay, watch: LeaderWatch
    ) -> None:
        """Register the quarantine, and the routes and logs for operators."""
        self.kernel.register('leader_watch', watch)
        self.kernel.register('quarantine', relay)
        self._listeners.add(
            'operator_api',
            operator_application(app, relay, self._evacuations),
            self._settings.operator_address,
        )


def _own_presence(settings: DocumentControlSettings) -> Presence:
    return Presence(
        settings.name,
        settings.peering.address,
        ROLE_CONTROL,
        settings.data_centre,
        is_durable=settings.is_durable,
    )


def _log_settings(settings: DocumentControlSettings) -> ControlSettings:
    return ControlSettings(
        host=HostSettings(
            name=settings.name,
            data_centre=settings.data_centre,
            fleet=settings.fleet,
        ),
        peering=settings.peering,
        # The operator API of this process does not use credentials.
        operator=OperatorSettings(
            address=settings.operator_address,
            credential_sha256='',
        ),
        storage=settings.storage,
        controls_by_name=settings.controls_by_name,
        join=not settings.is_first_start,
    )
