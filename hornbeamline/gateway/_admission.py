"""Refuses requests that cannot be served in time; needs no network."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from typing import Final, NamedTuple

from hornbeamline.gateway._stages import ENGINE_START_S, stage_ends_s
from hornbeamline.gateway._table import RoutingTable
from hornbeamline.gateway._types import CallerRequest, Route

# Share of the aim that the expected time may take: the rest is for uneven
# arrivals and for calls that are repeated, which no estimate contains.
_AIM_SHARE: Final = 0.75
# A request whose own work takes longer than that may still wait for this
# share of its aim: nobody could serve it sooner.
_WAIT_SHARE: Final = 0.3
# Shortest times until callers come back: the queues of other hosts are
# known with this delay, and a backlog takes some calls of a target.
_MIN_EXCESS_S: Final = 0.2
_MIN_BACKLOG_S: Final = 1.0
# Range of the factor by which times to come back differ.
_SPREAD: Final = (0.75, 1.5)


class Verdict(NamedTuple):
    """Whether a request is admitted, and what decided it."""

    is_admitted: bool
    expected_s: float
    limit_s: float

    @property
    def excess_s(self) -> float:
        """Return how much too long the request would take."""
        return self.expected_s - self.limit_s


def judge(
    request: CallerRequest,
    route: Route,
    table: RoutingTable,
    wait_s_by_service: Mapping[str, float],
    now: float,
) -> Verdict:
    """Return whether a request is admitted.

    Answers an overload that lasts: the targets compute the same number of
    requests whether the queues are short or long, but with long ones all
    of them end a little late. A request that would have to wait until
    after its aim is refused at once, while its caller can still come back.
    """
    spent_s = now - request.received_at
    started_s = spent_s + ENGINE_START_S
    own_s = started_s + stage_ends_s(request, route, table, {})
    expected_s = started_s + stage_ends_s(
        request,
        route,
        table,
        wait_s_by_service,
    )
    limit_s = min(route.timeout_s, route.first_event_patience_s)
    if request.patience_s is not None:
        limit_s = min(limit_s, request.patience_s)
    allowed_s = max(
        route.aim_s * _AIM_SHARE,
        own_s + route.aim_s * _WAIT_SHARE,
    )
    allowed_s = min(allowed_s, limit_s)
    return Verdict(
        expected_s <= allowed_s,
        expected_s,
        allowed_s,
    )


def retry_after_s(
    route: Route,
    wait_s_by_service: Mapping[str, float],
    rng: random.Random,
    excess_s: float = math.inf,
) -> float:
    """Return after how many seconds a refused caller comes back.

    `excess_s` is how much longer the queues are than a request of the
    route may wait. When they drain soon enough for it to be in time still,
    the caller comes back by then, else when the stages are done with all
    admitted work. Callers that are refused together do not come back
    together.
    """
    if excess_s <= route.aim_s * (1 - _AIM_SHARE):
        again_s = max(excess_s, _MIN_EXCESS_S)
    else:
        backlog_s = max(
            (wait_s_by_service.get(stage.service, 0) for stage in route.stages),
            default=0,
        )
        again_s = max(backlog_s, _MIN_BACKLOG_S)
    return again_s * rng.uniform(*_SPREAD)
