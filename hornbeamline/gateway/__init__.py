"""Gateway that routes requests to targets and runs their stages."""

from __future__ import annotations

from hornbeamline.gateway._app import GatewayApp
from hornbeamline.gateway._forwarder import Forwarder
from hornbeamline.gateway._gate import TargetGate
from hornbeamline.gateway._head_checks import GatewayHeadChecks
from hornbeamline.gateway._http import TargetHttp
from hornbeamline.gateway._picker import TargetPicker
from hornbeamline.gateway._placement import Placement
from hornbeamline.gateway._release import ResultReleaser
from hornbeamline.gateway._services import GatewayServices
from hornbeamline.gateway._stages import StageRunner
from hornbeamline.gateway._stream_versions import StreamVersions
from hornbeamline.gateway._table import RoutingTable, group_by_host
from hornbeamline.gateway._targets import TargetDirectory
from hornbeamline.gateway._types import (
    Account,
    AnswerHead,
    BatchLimits,
    CallerRequest,
    EngineLimits,
    PromptPart,
    Refusal,
    Route,
    RouteKind,
    Service,
    Stage,
    Target,
    TargetLoad,
)
from hornbeamline.gateway._version_binding import VersionBinding
from hornbeamline.gateway._waits import StageLoad, rate_of, wait_by_service
from hornbeamline.gateway._wire import Answer, Headers, TargetHeaders, Wire
from hornbeamline.gateway.errors import (
    MayHaveRunError,
    NotRunError,
    RefusedError,
)
from hornbeamline.helpers.budget import BudgetSettings, RetryBudget
from hornbeamline.limits import WarmupLimits

__all__ = (
    'Account',
    'Answer',
    'AnswerHead',
    'BatchLimits',
    'BudgetSettings',
    'CallerRequest',
    'EngineLimits',
    'Forwarder',
    'GatewayApp',
    'GatewayHeadChecks',
    'GatewayServices',
    'Headers',
    'MayHaveRunError',
    'NotRunError',
    'PromptPart',
    'Placement',
    'Refusal',
    'RefusedError',
    'RetryBudget',
    'ResultReleaser',
    'Route',
    'RouteKind',
    'RoutingTable',
    'Service',
    'Stage',
    'StageLoad',
    'StageRunner',
    'StreamVersions',
    'Target',
    'TargetDirectory',
    'TargetGate',
    'TargetHeaders',
    'TargetHttp',
    'TargetLoad',
    'TargetPicker',
    'VersionBinding',
    'WarmupLimits',
    'Wire',
    'rate_of',
    'wait_by_service',
    'group_by_host',
)
