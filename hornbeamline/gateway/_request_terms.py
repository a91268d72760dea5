"""Client account, rank and deadline of a request on a route."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any, Final

from hornbeamline.clients import HEAD_AT
from hornbeamline.gateway._table import RoutingTable
from hornbeamline.gateway._types import (
    Account,
    CallerRequest,
    Refusal,
    Route,
    RouteKind,
)
from hornbeamline.gateway.const import REASON_UNKNOWN_CREDENTIAL
from hornbeamline.gateway.errors import RefusedError
from hornbeamline.helpers.clock import Clock

# Number of route ranks within one rank of client accounts.
ROUTE_RANKS: Final = 3
_UNAUTHORIZED: Final = 401


def head_received_at(scope: Mapping[str, Any], clock: Clock) -> float:
    """Return when the head of a request arrived.

    The listener states it if the body took longer to arrive.
    """
    head_at: float | None = scope.get('state', {}).get(HEAD_AT)
    return clock.monotonic() if head_at is None else head_at


def account_of(
    table: RoutingTable,
    route: Route,
    request: CallerRequest,
) -> Account | None:
    """Return the account of a request, or None if it needs none.

    Raises `RefusedError` if the credential is unknown and needed.
    """
    accounts = table.accounts_by_credential
    if accounts is None:
        return None
    account = accounts.get(request.credential or '')
    if account is None and route.needs_account:
        raise RefusedError(Refusal(_UNAUTHORIZED, REASON_UNKNOWN_CREDENTIAL))
    return account


def rank_of(route: Route, account: Account | None) -> int:
    """Combine the rank of the account with that of the route.

    The rank of the account takes precedence.
    """
    if account is None or account.rank is None:
        return route.rank
    return account.rank * ROUTE_RANKS + min(route.rank, ROUTE_RANKS - 1)


def deadline_of(request: CallerRequest, route: Route) -> float:
    """Return the deadline, on the clock of `received_at`."""
    bounds = [route.timeout_s]
    if request.caller_timeout_s is not None:
        bounds.append(request.caller_timeout_s)
    return request.received_at + min(bounds)


def choose_service(
    route: Route, request: CallerRequest, rng: random.Random
) -> str:
    """Return a service of a route, at random by the weights.

    A stream and its resumptions get the same one at all hosts.
    """
    services = list(route.weight_by_service)
    if len(services) == 1:
        return services[0]
    stream = request.resumes or request.id
    if route.kind is RouteKind.STREAM and stream:
        rng = random.Random(stream)
    # Relative to the largest one, so that their sum is finite.
    largest = max(route.weight_by_service.values())
    weights = [weight / largest for weight in route.weight_by_service.values()]
    return rng.choices(services, weights)[0]
