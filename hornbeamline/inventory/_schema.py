"""Schema of the inventory, which operators take from their asset register."""

from __future__ import annotations

import re
from enum import Enum
from typing import Annotated, Final

from msgspec import Meta, Struct

from hornbeamline.inventory._rules import (
    NonNegative,
    Positive,
    PositiveInt,
    Rules,
)

Name = Annotated[str, Meta(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')]
# IPv4 or bracketed IPv6 address with a port; host names are not resolved.
Address = Annotated[
    str,
    Meta(pattern=r'^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$'),
]
_SOFTWARE_VERSION_PATTERN: Final = '^([A-Za-z0-9][A-Za-z0-9._+-]{0,63})?$'
# Versions have no order; an empty one is a version of its own.
SoftwareVersion = Annotated[str, Meta(pattern=_SOFTWARE_VERSION_PATTERN)]
Sha256 = Annotated[str, Meta(pattern='^[0-9a-f]{64}$')]


def is_software_version(text: str) -> bool:
    """Return whether a text can be the software version of a target."""
    return re.fullmatch(_SOFTWARE_VERSION_PATTERN, text) is not None


class ServiceKind(Enum):
    """Kind of work that a service does."""

    encoding = 'encoding'
    retrieval = 'retrieval'
    reranking = 'reranking'
    generation = 'generation'
    plain = 'plain'


class HostRole(Enum):
    """Role of a process that runs on a host."""

    entry = 'entry'
    # A voter of the replicated log; needs a disk.
    control = 'control'


class TargetState(Enum):
    """Administrative state of a target, set by the operator."""

    live = 'live'
    draining = 'draining'


class Table(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of inventory tables; unknown keys are rejected."""


class FleetInfo(Table, frozen=True, kw_only=True):
    """Name and description of the fleet."""

    name: Name
    description: str = ''


class DataCentre(Table, frozen=True, kw_only=True):
    """A failure domain inside a region."""

    region: Name


class Host(Table, frozen=True, kw_only=True):
    """A host that runs hornbeamline processes."""

    data_centre: Name
    roles: tuple[HostRole, ...] = (HostRole.entry,)


class ServiceEntry(Table, frozen=True, kw_only=True):
    """A pool of targets that execute the same kind of stage."""

    kind: ServiceKind
    # False for calls that must not be repeated, such as a filing.
    idempotent: bool = True
    # Initial estimates of the service time, used until calls are measured.
    expected_ms: Positive = 50
    expected_p95_ms: Positive = 150
    cost_per_s: NonNegative = 1
    cost_per_token: NonNegative = 0


class EngineOptions(Table, frozen=True, kw_only=True):
    """Capabilities and models of the model engine of a target."""

    # True when the engine refuses orders with a stale fencing number.
    checks_fencing: bool = True
    models: list[Name] = []
    role: str = 'serve'


class Target(Table, frozen=True, kw_only=True):
    """A server that executes stages of one service."""

    service: Name
    data_centre: Name
    address: Address
    state: TargetState = TargetState.live
    concurrency: PositiveInt = 8
    engine: EngineOptions = EngineOptions()
    # Version of the server software; streams of different versions cannot be
    # joined.
    software_version: SoftwareVersion = ''


class Model(Table, frozen=True, kw_only=True):
    """A model that engines load from the weight store."""

    version: str
    size_gb: Positive
    adapters: list[Name] = []
    min_copies: PositiveInt = 1


class Account(Table, frozen=True, kw_only=True):
    """A client account; only the digest of its credential is stored."""

    credential_sha256: Sha256
    share: Positive = 1
    priority: Annotated[int, Meta(ge=0, le=9)] = 0
    max_requests_per_s: Positive = 10_000


class Stage(Table, frozen=True, kw_only=True):
    """One step of a pipeline."""

    name: Name
    service: Name
    # Overrides the value of the service, for services with both idempotent
    # and non-idempotent calls.
    idempotent: bool | None = None
    model: str = ''
    max_tokens: PositiveInt = 64


class Pipeline(Table, frozen=True, kw_only=True):
    """Stages that share one end-to-end deadline."""

    stages: Annotated[list[Stage], Meta(min_length=1, max_length=8)]
    deadline_ms: PositiveInt = 4000


class Fleet(Table, frozen=True, kw_only=True):
    """Inventory and rules of one fleet."""

    fleet: FleetInfo
    data_centres_by_name: dict[Name, DataCentre] = {}
    hosts_by_name: dict[Name, Host] = {}
    services_by_name: dict[Name, ServiceEntry] = {}
    targets_by_name: dict[Name, Target] = {}
    models_by_name: dict[Name, Model] = {}
    accounts_by_name: dict[Name, Account] = {}
    pipelines_by_name: dict[Name, Pipeline] = {}
    rules: Rules = Rules()

    def targets_of(self, service: str) -> dict[str, Target]:
        """Return the targets of a service by name."""
        return {
            name: target
            for name, target in self.targets_by_name.items()
            if target.service == service
        }

    def may_repeat(self, pipeline: str) -> bool:
        """Return whether every stage of a pipeline is idempotent."""
        stages = self.pipelines_by_name[pipeline].stages
        return all(map(self.stage_may_repeat, stages))

    def stage_may_repeat(self, stage: Stage) -> bool:
        """Return whether calls of a stage are idempotent."""
        if stage.idempotent is not None:
            return stage.idempotent
        return self.services_by_name[stage.service].idempotent
