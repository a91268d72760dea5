"""Entry process that routes requests by host name and path."""

from __future__ import annotations

import math
import random
import secrets
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from hornbeamline.batching import (
    BatchingService,
    TargetAccess,
)
from hornbeamline.core import Kernel
from hornbeamline.daemons._gateway_services import (
    CALLERS_STOP_TIMEOUT_S,
    GatewayDrain,
    ReadinessApp,
    StageCaller,
    open_origins,
)
from hornbeamline.daemons._granters import ServiceGranters
from hornbeamline.daemons._hosts import OtherHosts
from hornbeamline.daemons._listeners import Listeners, ProcessLimits
from hornbeamline.daemons._memory import GarbageCollectorService
from hornbeamline.daemons._settings_watch import SettingsWatch
from hornbeamline.daemons._target_list import ListPoller, TargetListSource
from hornbeamline.directory import DirectoryMember, Presence, ProcessLoad
from hornbeamline.directory.const import ROLE_ENTRY
from hornbeamline.documents import InvalidDocumentError, StoredDocument
from hornbeamline.gateway import (
    BatchLimits,
    BudgetSettings,
    Forwarder,
    GatewayApp,
    GatewayHeadChecks,
    GatewayServices,
    Placement,
    ResultReleaser,
    RetryBudget,
    RoutingTable,
    StageLoad,
    StageRunner,
    StreamVersions,
    TargetDirectory,
    TargetGate,
    TargetHttp,
    TargetPicker,
    Wire,
    rate_of,
    wait_by_service,
)
from hornbeamline.helpers.clock import BootClock, SystemClock
from hornbeamline.inventory import PeeringSettings
from hornbeamline.limits import LimitService
from hornbeamline.peering import PynngPeering
from hornbeamline.quarantine import PartQuarantine, QuarantineExchange
from hornbeamline.telemetry import log_event, metrics_app


class GatewaySettings(NamedTuple):
    """Settings of an entry process that serves routes."""

    name: str
    host: str
    data_centre: str
    fleet: str
    peering: PeeringSettings
    controls_by_name: dict[str, str]
    # Control processes to ask while none of those in the settings answers.
    substitutes_by_name: dict[str, str]
    caller_address: str
    readiness_address: str
    metrics_address: str
    list_interval_s: float
    # The target list is read only when the latest list from a control
    # process is older than this.
    list_max_age_s: float
    # Calls per second to the target list, summed over all hosts.
    list_rate_per_s: float
    # Time after which a list that is read has each target that has joined.
    list_lag_s: float
    stop_timeout_s: float
    budget: BudgetSettings
    # Processor capacity of this host in cores; 0 if unknown.
    processor_cores: float = 0
    limits: ProcessLimits = ProcessLimits()


class GatewayDaemon:
    """Builds the kernel of an entry process that serves routes."""

    def __init__(
        self,
        settings: GatewaySettings,
        wire: Wire,
        open_list: Callable[[TargetHttp], TargetListSource],
        read_table: Callable[[bytes], RoutingTable],
        read_controls: Callable[[], Mapping[str, str]],
    ) -> None:
        """Build the services from the settings and the platform adapter."""
        self.host = settings.host
        self._settings = settings
        self._read_table = read_table
        self._clock = SystemClock()
        self.kernel = Kernel(settings.stop_timeout_s)
        rng = random.Random(secrets.randbits(64))
        self._peering = PynngPeering(
            settings.name,
            settings.fleet,
            settings.peering,
            self._clock,
        )
        self._picker = TargetPicker(settings.data_centre, self._clock, rng)
        self._targets = TargetDirectory(BootClock())
        self._limits_by_service: dict[str, BatchLimits] = {}
        self._budget = RetryBudget(settings.budget, self._clock)
        self._member = DirectoryMember(
            self._peering,
            self._clock,
            settings.controls_by_name,
            self._own_presence,
            self._targets,
            self._published_load,
        )
        self._member.add_substitutes(settings.substitutes_by_name)
        self._member.on_document = self._apply_document
        self._member.evacuations.on_state = self._targets.apply_evacuations
        self._targets.on_reopened = self._targets.limits.warmup.note_reopened
        self._member.on_present = self._apply_presences
        http = TargetHttp()
        self._granters = ServiceGranters(
            self._member, lambda: self._batching.ownership
        )
        self._limits = LimitService(
            self._peering,
            BootClock(),
            self._targets.limits,
            self._granters,
            lambda target: getattr(
                self._targets.listed(target), 'service', None
            ),
        )
        gate = TargetGate(self._targets, self._limits)
        self._hosts = OtherHosts(
            self._member, settings.name, settings.peering.address
        )
        self._batching = BatchingService(
            self._peering,
            self._clock,
            self._hosts,
            TargetAccess(
                self._targets.available_targets,
                StageCaller(http, wire, gate),
                ResultReleaser(http, wire, self._targets, gate),
                lambda service: self._targets.pause_left_s(service) or 0,
                self._targets.call_rates,
                lambda service: service in self._targets.evacuated_services,
            ),
            RetryBudget.of_owner(settings.budget, self._clock),
        )
        self._origins = open_origins(
            self._peering, BootClock(), self._member, self._targets
        )
        self._batching.ownership.other_reason_to_keep = self._limits.keeps
        self._batching.ownership.processor_cores = settings.processor_cores
        forwarder = Forwarder(
            http,
            wire,
            self._picker,
            self._targets,
            gate,
            self._budget,
            self._clock,
        )
        placement = Placement(wire, self._targets, self._picker)
        self._stages = StageRunner(
            self._batching,
            self._stage_waits,
            placement,
            self._clock,
        )
        quarantine = PartQuarantine(settings.name, BootClock())
        exchange = QuarantineExchange(
            self._peering,
            quarantine,
            self._member.answering_controls,
            self._clock,
            rng,
        )
        self._app = GatewayApp(
            wire,
            GatewayServices(
                self._targets,
                forwarder,
                self._stages,
                self._budget,
                quarantine,
                StreamVersions(
                    self._origins, self._targets, settings.list_lag_s
                ),
            ),
            self._clock,
            rng,
        )
        self._listeners = Listeners(self.kernel, settings.limits, self._clock)
        self._checks = GatewayHeadChecks(wire, lambda: self._app.table)
        watch = SettingsWatch(read_controls, self._member)
        self.kernel.on_reload(watch.reload)
        self._poller = ListPoller(
            open_list(http),
            self._targets,
            settings.list_interval_s,
            settings.list_rate_per_s,
            rng,
            settings.list_max_age_s,
        )
        self.kernel.register('peering', self._peering)
        self.kernel.register('http', http)
        self.kernel.register('directory', self._member)
        self.kernel.register('settings', watch)
        self.kernel.register('targets', self._poller)
        self.kernel.register('limits', self._limits)
        self.kernel.register('batching', self._batching)
        self.kernel.register('quarantine', exchange)
        self.kernel.register('origins', self._origins)
        self.kernel.register('collector', GarbageCollectorService())
        self._register_listeners()

    async def run(self) -> int:
        """Serve until a stop signal; return the exit code."""
        settings = self._settings
        log_event(
            'entry.starting',
            address=settings.caller_address,
            controls=','.join(settings.controls_by_name),
        )
        code = await self.kernel.run()
        log_event('entry.stopped', code=code)
        return code

    def _register_listeners(self) -> None:
        settings = self._settings
        listeners = self._listeners
        drain = GatewayDrain(
            self._app,
            self._batching,
            settings.stop_timeout_s,
            listeners.budget,
        )
        self._drain = drain
        listeners.add('metrics', metrics_app, settings.metrics_address)
        listeners.add(
            'callers',
            self._app,
            settings.caller_address,
            CALLERS_STOP_TIMEOUT_S,
            self._checks,
        )
        listeners.add(
            'readiness',
            ReadinessApp(self._app, drain),
            settings.readiness_address,
            stop_timeout_s=0,
        )
        self.kernel.register('drain', drain)

    def _own_presence(self) -> Presence:
        settings = self._settings
        owned = frozenset(
            (*self._batching.owned_services(), *self._limits.kept_services()),
        )
        ownership = self._batching.ownership
        ownership.published_services = owned
        ownership.runs_control = self._hosts.runs_control
        return Presence(
            settings.name,
            settings.peering.address,
            ROLE_ENTRY,
            settings.data_centre,
            self._drain.is_draining,
            owned_services=sorted(owned),
            leaving_targets=self._targets.availability.leaving(),
            limited_targets=self._limits.granted_limits(),
            processor_cores=settings.processor_cores,
            cold_targets=self._limits.warmup.granted(),
        )

    def _load(self) -> ProcessLoad:
        return ProcessLoad(
            self._picker.in_flight_by_target,
            self._batching.waits_by_service(),
            self._stages.upcoming.by_service(),
            self._batching.rate_by_service(),
        )

    def _published_load(self) -> ProcessLoad:
        beliefs = self._picker.beliefs
        return self._load()._replace(
            work_by_target=beliefs.work.own_by_target(),
            speeds_by_target=beliefs.speeds.evidence_by_target(),
        )

    def _stage_waits(self, rank: int) -> dict[str, float]:
        """Return the wait of a rank in seconds, by stage service."""
        loads = (self._load(), self._member.view.others_load())
        return wait_by_service(
            [
                StageLoad(
                    load.waits_by_service,
                    load.upcoming_by_service,
                    load.rate_by_service,
                )
                for load in loads
            ],
            rank,
            self._max_rate,
        )

    def _max_rate(self, service: str) -> float:
        limits = self._limits_by_service.get(service)
        if limits is None:
            # Only the newer document of another host has this service, so
            # its limits are unknown here.
            return math.inf
        return rate_of(limits, len(self._targets.accepting_targets(service)))

    def _apply_presences(self, present: Sequence[Presence]) -> None:
        """Apply what the directory reports about the other entry hosts."""
        self._granters.note_confirmed()
        entries = [
            presence for presence in present if presence.role == ROLE_ENTRY
        ]
        own_name = self._settings.name
        self._budget.note_hosts(len(entries))
        self._poller.note_hosts(len(entries))
        others_load = self._member.view.others_load()
        self._picker.update_remote_in_flight(others_load.in_flight_by_target)
        self._picker.beliefs.update_others(
            others_load.work_by_target, others_load.speeds_by_target
        )
        others = [presence for presence in entries if presence.name != own_name]
        for presence in others:
            if presence.leaving_targets:
                self._targets.availability.note_peer_leaving(
                    presence.leaving_targets,
                )
            if presence.limited_targets:
                self._limits.record_granter_limits(
                    presence.name,
                    presence.limited_targets,
                )
            if presence.cold_targets:
                self._limits.warmup.record_granted(
                    presence.name,
                    presence.cold_targets,
                )

    def _apply_document(self, document: StoredDocument) -> None:
        try:
            table = self._read_table(document.content)
        except InvalidDocumentError as error:
            # A control process of another version may have accepted a
            # document that this version cannot read.
            log_event(
                'documents.unusable',
                number=document.number,
                error=str(error),
            )
            return
        self._limits_by_service = {
            service.name: service.batch
            for service in table.services_by_name.values()
            if service.batch is not None
        }
        self._targets.update_warmups(
            {
                service.name: service.warmup
                for service in table.services_by_name.values()
                if service.warmup is not None
            },
        )
        self._batching.update(self._limits_by_service)
        self._listeners.budget.requests = table.limits
        self._app.update_table(table)
