"""Schema, loading and validation of inventory, rules and daemon settings."""

from __future__ import annotations

from hornbeamline.inventory._document import (
    digest_after,
    document_digest,
    document_of,
    fleet_after,
    fleet_of,
)
from hornbeamline.inventory._loading import (
    load_document,
    load_settings,
    read_toml,
)
from hornbeamline.inventory._operations import (
    Operation,
    apply_operations,
    difference,
)
from hornbeamline.inventory._rules import (
    AdmissionRules,
    CostRules,
    HedgeRules,
    LimitRules,
    MembershipRules,
    OrderRules,
    RetryRules,
    RoutingRules,
    Rules,
    ServiceHours,
)
from hornbeamline.inventory._schema import (
    Account,
    DataCentre,
    EngineOptions,
    Fleet,
    FleetInfo,
    Host,
    HostRole,
    Model,
    Pipeline,
    ServiceEntry,
    ServiceKind,
    Stage,
    Target,
    TargetState,
)
from hornbeamline.inventory._settings import (
    CallerSettings,
    ControlSettings,
    EntrySettings,
    HostSettings,
    MembershipSource,
    OperatorSettings,
    PeeringSettings,
    StopSettings,
    StorageSettings,
)
from hornbeamline.inventory._types import Document
from hornbeamline.inventory._validation import validate, validate_fleet
from hornbeamline.inventory.errors import (
    InvalidDocumentError,
    UnreadableFileError,
)

__all__ = (
    'Account',
    'AdmissionRules',
    'CallerSettings',
    'ControlSettings',
    'CostRules',
    'DataCentre',
    'Document',
    'EngineOptions',
    'EntrySettings',
    'Fleet',
    'FleetInfo',
    'HedgeRules',
    'Host',
    'HostRole',
    'HostSettings',
    'InvalidDocumentError',
    'LimitRules',
    'MembershipRules',
    'MembershipSource',
    'Model',
    'Operation',
    'OperatorSettings',
    'OrderRules',
    'PeeringSettings',
    'Pipeline',
    'RetryRules',
    'RoutingRules',
    'Rules',
    'ServiceEntry',
    'ServiceHours',
    'ServiceKind',
    'Stage',
    'StopSettings',
    'StorageSettings',
    'Target',
    'TargetState',
    'UnreadableFileError',
    'apply_operations',
    'difference',
    'digest_after',
    'document_digest',
    'document_of',
    'fleet_after',
    'fleet_of',
    'load_document',
    'load_settings',
    'read_toml',
    'validate',
    'validate_fleet',
)
