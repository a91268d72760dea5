"""Refuses requests that cannot be served in time; needs no network."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Final, NamedTuple

from hornbeamline.gateway._stages import stage_ends_s
from hornbeamline.gateway._table import RoutingTable
from hornbeamline.gateway._types import CallerRequest, Route

# Time that an engine takes to the first event of an average prompt.
_ENGINE_START_S: Final = 0.3
# A request that will be late is admitted only if it needs no more than
# this share of the time between its aim and the moment at which its caller
# leaves: work that is in time goes first, so its own wait is uncertain.
_LATE_SHARE: Final = 0.3
# Queues are told with some delay, so no caller comes back sooner.
_MIN_RETRY_S: Final = 1.0
# Range of the factor by which times to come back differ.
_SPREAD: Final = (0.75, 1.5)


class Verdict(NamedTuple):
    """Whether a request is admitted, and what decided it."""

    is_admitted: bool
    expected_s: float
    limit_s: float


def judge(
    request: CallerRequest,
    route: Route,
    table: RoutingTable,
    wait_s_by_service: Mapping[str, float],
    now: float,
) -> Verdict:
    """Return whether a request can be served before its caller leaves.

    Answers a burst in which the queues of the stages grow faster than the
    targets work: a request that would only wait until its caller leaves is
    refused at once, and told to come back when the queues have drained.
    """
    spent_s = now - request.received_at
    stages_s = stage_ends_s(request, route, table, wait_s_by_service)
    expected_s = spent_s + stages_s + _ENGINE_START_S
    limit_s = min(route.timeout_s, route.first_event_patience_s)
    if request.patience_s is not None:
        limit_s = min(limit_s, request.patience_s)
    spare_s = max(limit_s - route.aim_s, 0)
    allowed_s = min(route.aim_s + spare_s * _LATE_SHARE, limit_s)
    return Verdict(
        expected_s <= allowed_s,
        expected_s,
        allowed_s,
    )


def retry_after_s(
    route: Route,
    wait_s_by_service: Mapping[str, float],
    rng: random.Random,
) -> float:
    """Return when the queues of the stages of a route have become short.

    Callers that are refused together do not come back together.
    """
    wait_s = max(
        (wait_s_by_service.get(stage.service, 0) for stage in route.stages),
        default=0,
    )
    return max(wait_s, _MIN_RETRY_S) * rng.uniform(*_SPREAD)
