"""Builders of routes, requests and targets."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from hornbeamline.gateway import (
    BatchLimits,
    BudgetSettings,
    CallerRequest,
    Forwarder,
    PromptPart,
    RetryBudget,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Stage,
    Target,
    TargetDirectory,
    TargetGate,
    TargetPicker,
)
from hornbeamline.helpers.clock import Clock, SystemClock
from hornbeamline.limits import LimitService
from hornbeamline.origins import OriginUnavailableError, StreamKey
from hornbeamline.platform._wire import PlatformWire
from hornbeamline.quarantine import PartQuarantine, RequestGuard
from tests.local_network import LocalNetwork


def make_route(**changes: Any) -> Route:
    """Return a route of one service without stages."""
    fields: dict[str, Any] = {
        'name': 'r',
        'host': 'host.example',
        'path_prefix': '/p/',
        'kind': RouteKind.NON_IDEMPOTENT,
        'timeout_s': 15.0,
        'aim_s': 2.0,
        'rank': 0,
        'weight_by_service': {'service': 1},
        'max_attempts': 1,
        'stages': (),
        'needs_account': False,
        'can_resume': False,
        'max_pause_s': 0.4,
        'first_event_timeout_s': 8.0,
    }
    return Route(**{**fields, **changes})


def make_request(**changes: Any) -> CallerRequest:
    """Return a request that was received at time 0."""
    fields: dict[str, Any] = {
        'id': 'r1',
        'method': 'POST',
        'host': 'host.example',
        'raw_target': '/p/1',
        'path': '/p/1',
        'headers': (),
        'credential': None,
        'received_at': 0.0,
        'caller_timeout_s': 15.0,
        'prompt': (PromptPart('shared', 1000), PromptPart('own', 500)),
        'prompt_tokens': 1500,
        'max_output_tokens': 100,
        'pieces_by_stage': (),
        'piece_key': 'k',
        'last_event_id': None,
    }
    return CallerRequest(**{**fields, **changes})


def open_guard() -> RequestGuard:
    """Return the guard of a request without shared parts."""
    return PartQuarantine('host', SystemClock()).guard('r1', ())


def make_target(name: str, **changes: Any) -> Target:
    """Return a target that accepts work."""
    fields: dict[str, Any] = {
        'id': name,
        'service': 'service',
        'address': '127.0.0.1:1',
        'data_centre': 'dc-1',
        'slots': 6,
        'is_leaving': False,
    }
    return Target(**{**fields, **changes})


class KnownOrigins:
    """Records of the versions that began streams, in memory."""

    def __init__(self) -> None:
        self.version_by_stream: dict[StreamKey, str] = {}
        # Version of streams without a record; None if it is not known.
        self.default: str | None = ''
        # Version that has been the only one for long.
        self.sole: str | None = None
        # No leader answers.
        self.is_lost = False

    def sole_version(
        self, _service: str, _for_s: float, _read_after: float = 0
    ) -> str | None:
        """Return the version that has been the only one for long."""
        return self.sole

    async def record(
        self, stream: StreamKey, version: str, _timeout_s: float
    ) -> None:
        """Store the version that began a stream."""
        if self.is_lost:
            raise OriginUnavailableError('no leader')
        self.version_by_stream[stream] = version

    async def find(self, stream: StreamKey, _timeout_s: float) -> str | None:
        """Return the version that began a stream."""
        if self.is_lost:
            raise OriginUnavailableError('no leader')
        return self.version_by_stream.get(stream, self.default)


def make_table(route: Route) -> RoutingTable:
    """Return a table with the services of a route."""
    limits = BatchLimits(1, 2, 9, 0.24, 0.02, 1.0, 4.0)
    names = {
        *route.weight_by_service,
        *(stage.service for stage in route.stages),
    }
    return RoutingTable(
        number=1,
        routes_by_host={route.host: (route,)},
        services_by_name={
            name: Service(name, '/health', 50, limits, None) for name in names
        },
        accounts_by_credential=None,
    )


class OneGranter:
    """Lookup of permit granters in a fleet with one host."""

    def granter_of(self, _service: str) -> str | None:
        """Return the only host."""
        return 'host'

    def address_of(self, _host: str) -> str | None:
        """Return None, since there is no other host."""
        return None

    def is_confirmed(self) -> bool:
        """Return that the only host is in touch with control."""
        return True


def service_lookup(targets: TargetDirectory) -> Callable[[str], str | None]:
    """Return a function from the id of a listed target to its service."""

    def service_of(target_id: str) -> str | None:
        target = targets.listed(target_id)
        return None if target is None else target.service

    return service_of


def make_gate(targets: TargetDirectory) -> TargetGate:
    """Return the gate of the only host of a fleet."""
    peering = LocalNetwork(random.Random(1)).endpoint('host')
    limits = LimitService(
        peering,
        SystemClock(),
        targets.limits,
        OneGranter(),
        service_lookup(targets),
    )
    return TargetGate(targets, limits)


def make_forwarder(
    http: Any,
    targets: list[Target],
    clock: Clock,
) -> Forwarder:
    """Return a forwarder to these targets."""
    directory = TargetDirectory(clock)
    directory.replace_list(targets)
    budget = RetryBudget(BudgetSettings(0.2, 10, 64), clock)
    budget.note_hosts(1)
    return Forwarder(
        http,
        PlatformWire(),
        TargetPicker('dc-1', clock, random.Random(1)),
        directory,
        make_gate(directory),
        budget,
        clock,
    )


CHAIN = (Stage('first', (), 8000), Stage('second', (0,), 60_000))
