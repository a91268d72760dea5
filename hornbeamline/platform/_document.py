"""Decodes the configuration documents of the platform's operator."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, Final

import msgspec

from hornbeamline.documents import InvalidDocumentError
from hornbeamline.gateway import (
    Account,
    BatchLimits,
    EngineLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Stage,
    WarmupLimits,
    group_by_host,
)
from hornbeamline.helpers.rates import MAX_RATE_PER_S
from hornbeamline.platform._request_limits import LimitsTable, read_limits

_MS_PER_S: Final = 1000
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_Weight = Annotated[float, msgspec.Meta(ge=0)]
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]
# Bound of the time for which a target may be believed cold without news.
_MAX_WARMUP_S: Final = 60.0

_kinds_by_route_type: Final = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'streaming': RouteKind.STREAM,
}


class _Table(msgspec.Struct, frozen=True, kw_only=True, rename='kebab'):
    """Base of the tables of a document."""


class _Split(_Table, frozen=True, kw_only=True):
    service: str
    weight: _Weight


class _Stage(_Table, frozen=True, kw_only=True):
    service: str
    after: list[int] = []
    bytes: float = 0


class _Route(_Table, frozen=True, kw_only=True):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: _Positive
    target_latency_ms: float = 1000
    priority: int = 0
    traffic_split: list[_Split] = []
    service: str = ''
    max_attempts: int = 1
    stages: list[_Stage] = []
    allow_anonymous: bool = False
    stream_resume: bool = False
    gap_aim_ms: float = 1000


class _Pieces(_Table, frozen=True, kw_only=True):
    slots: int = 1
    queue: int = 0
    batch: int = 1
    call_ms: float = 0
    item_ms: float = 0
    headroom_mb: float = 0
    handle_s: float = 1


class _Engine(_Table, frozen=True, kw_only=True):
    slots: int = 1
    kv_capacity: int = 0


class _Service(_Table, frozen=True, kw_only=True):
    name: str
    health_path: str = '/'
    max_connections: int = 1
    pieces: _Pieces | None = None
    engine: _Engine | None = None
    warmup_s: _NotNegative | None = None
    warmup_per_s: _NotNegative | None = None


class _Tenant(_Table, frozen=True, kw_only=True):
    name: str
    api_keys: list[str]
    priority: int | None = None


class _Document(_Table, frozen=True, kw_only=True):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] | None = None
    limits: LimitsTable = LimitsTable()


_decoder = msgspec.json.Decoder(_Document)


def read_document_number(content: bytes) -> int:
    """Validate a document and return its version number.

    Raises `InvalidDocumentError`.
    """
    return read_routing_table(content).number


def read_routing_table(content: bytes) -> RoutingTable:
    """Decode a document into a routing table.

    Raises `InvalidDocumentError`.
    """
    try:
        document = _decoder.decode(content)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise InvalidDocumentError(str(error)) from error
    services = {service.name: service for service in document.services}
    _check_unique_prefixes(document.routes)
    return RoutingTable(
        number=document.version,
        routes_by_host=group_by_host(
            _read_route(route, services) for route in document.routes
        ),
        services_by_name={
            name: _read_service(service) for name, service in services.items()
        },
        accounts_by_credential=_read_accounts(document.tenants),
        limits=read_limits(document.limits),
    )


def read_stream_limit_s(content: bytes) -> float:
    """Return the longest time limit of the resumable streams, in seconds.

    Raises `InvalidDocumentError`.
    """
    table = read_routing_table(content)
    return max(
        (
            route.timeout_s
            for routes in table.routes_by_host.values()
            for route in routes
            if route.can_resume
        ),
        default=0,
    )


def _check_unique_prefixes(routes: Iterable[_Route]) -> None:
    taken: set[tuple[str, str]] = set()
    for route in routes:
        host_and_prefix = (route.host, route.path_prefix)
        if host_and_prefix in taken:
            raise InvalidDocumentError(
                f'routes: {route.name}: host and prefix are taken',
            )
        taken.add(host_and_prefix)


def _read_route(route: _Route, services: dict[str, _Service]) -> Route:
    kind = _kinds_by_route_type.get(route.route_type)
    if kind is None:
        raise InvalidDocumentError(
            f'routes: {route.name}: unknown type {route.route_type}',
        )
    weights = {split.service: split.weight for split in route.traffic_split}
    if not weights:
        weights = {route.service: 1}
    service_names = [*weights, *(stage.service for stage in route.stages)]
    unknown = set(service_names).difference(services)
    if unknown:
        raise InvalidDocumentError(
            f'routes: {route.name}: unknown services {sorted(unknown)}',
        )
    if sum(weights.values()) <= 0:
        raise InvalidDocumentError(
            f'routes: {route.name}: the weights add up to 0',
        )
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=kind,
        timeout_s=route.timeout_ms / _MS_PER_S,
        aim_s=route.target_latency_ms / _MS_PER_S,
        rank=route.priority,
        weight_by_service={
            name: weight for name, weight in weights.items() if weight
        },
        max_attempts=max(route.max_attempts, 1),
        stages=tuple(
            Stage(stage.service, tuple(stage.after), int(stage.bytes))
            for stage in route.stages
        ),
        needs_account=not route.allow_anonymous,
        can_resume=route.stream_resume,
        max_pause_s=route.gap_aim_ms / _MS_PER_S,
        # The same rule as in the platform's clients.
        first_event_timeout_s=max(
            2.0,
            4 * route.target_latency_ms / _MS_PER_S,
            8 * route.gap_aim_ms / _MS_PER_S,
        ),
    )


def _read_service(service: _Service) -> Service:
    pieces = service.pieces
    engine = service.engine
    batch = None
    if pieces is not None:
        batch = BatchLimits(
            calls_running=pieces.slots,
            calls_waiting=pieces.queue,
            pieces_per_call=max(pieces.batch, 1),
            call_s=pieces.call_ms / _MS_PER_S,
            piece_s=pieces.item_ms / _MS_PER_S,
            results_mb=pieces.headroom_mb,
            result_ttl_s=pieces.handle_s,
        )
    return Service(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_connections,
        batch=batch,
        engine=None
        if engine is None
        else EngineLimits(engine.slots, engine.kv_capacity),
        warmup=_read_warmup(service),
    )


def _read_warmup(service: _Service) -> WarmupLimits | None:
    """Return how targets warm up; None without a time or a rate."""
    per_s = service.warmup_per_s
    if not service.warmup_s or per_s is None or per_s > MAX_RATE_PER_S:
        return None
    return WarmupLimits(min(service.warmup_s, _MAX_WARMUP_S), per_s)


def _read_accounts(
    tenants: list[_Tenant] | None,
) -> dict[str, Account] | None:
    if tenants is None:
        return None
    accounts: dict[str, Account] = {}
    for tenant in tenants:
        account = Account(tenant.name, tenant.priority)
        for key in tenant.api_keys:
            if key in accounts:
                raise InvalidDocumentError(
                    f'tenants: {tenant.name} shares a key',
                )
            accounts[key] = account
    return accounts
