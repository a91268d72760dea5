"""Admission control by the expected response time; does no I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from typing import Final, NamedTuple

from hornbeamline.gateway._stages import ENGINE_START_S, stages_duration_s
from hornbeamline.gateway._table import RoutingTable
from hornbeamline.gateway._types import CallerRequest, Route

# Share of the latency objective (aim) that the expected time may take. The
# rest is headroom for uneven arrivals and retried calls, which the estimate
# does not include.
_ADMITTED_AIM_SHARE: Final = 0.75
# A request whose processing alone takes longer than that may still queue for
# this share of its aim, since no target could serve it sooner.
_QUEUEING_AIM_SHARE: Final = 0.3
# Lower bounds of the retry delay without and with a backlog: this host learns
# the queue lengths of other hosts with about the first delay, and a backlog
# takes several target calls to drain.
_MIN_RETRY_S: Final = 0.2
_MIN_BACKLOG_RETRY_S: Final = 1.0
# Range of the random factor applied to retry delays.
_RETRY_JITTER_RANGE: Final = (0.75, 1.5)


class AdmissionDecision(NamedTuple):
    """Whether a request is admitted, with its expected and allowed time."""

    is_admitted: bool
    expected_s: float
    limit_s: float

    @property
    def excess_s(self) -> float:
        """Return by how many seconds the expected time exceeds the limit."""
        return self.expected_s - self.limit_s


def check_admission(
    request: CallerRequest,
    route: Route,
    table: RoutingTable,
    wait_s_by_service: Mapping[str, float],
    now: float,
) -> AdmissionDecision:
    """Decide whether a request is admitted at the time `now`.

    Protects against a sustained overload: the throughput of the targets does
    not depend on the queue length, but with long queues every request ends
    slightly late. A request that would miss its aim because of the queues is
    refused immediately, while its caller still has time to retry.
    """
    elapsed_s = now - request.received_at
    fixed_s = elapsed_s + ENGINE_START_S
    without_queues_s = fixed_s + stages_duration_s(request, route, table, {})
    expected_s = fixed_s + stages_duration_s(
        request,
        route,
        table,
        wait_s_by_service,
    )
    limit_s = min(route.timeout_s, route.first_event_timeout_s)
    if request.caller_timeout_s is not None:
        limit_s = min(limit_s, request.caller_timeout_s)
    max_expected_s = max(
        route.aim_s * _ADMITTED_AIM_SHARE,
        without_queues_s + route.aim_s * _QUEUEING_AIM_SHARE,
    )
    max_expected_s = min(max_expected_s, limit_s)
    return AdmissionDecision(
        expected_s <= max_expected_s,
        expected_s,
        max_expected_s,
    )


def retry_after_s(
    route: Route,
    wait_s_by_service: Mapping[str, float],
    rng: random.Random,
    excess_s: float = math.inf,
) -> float:
    """Return the delay in seconds after which a refused caller may retry.

    `excess_s` is by how much the queues exceed the wait that a request of
    the route may have. If they drain soon enough for a retry to meet the
    aim, the delay covers the excess; otherwise it lasts until the stages
    have finished all admitted work. Jitter spreads the retries of callers
    that are refused together.
    """
    if excess_s <= route.aim_s * (1 - _ADMITTED_AIM_SHARE):
        retry_s = max(excess_s, _MIN_RETRY_S)
    else:
        backlog_s = max(
            (wait_s_by_service.get(stage.service, 0) for stage in route.stages),
            default=0,
        )
        retry_s = max(backlog_s, _MIN_BACKLOG_RETRY_S)
    return retry_s * rng.uniform(*_RETRY_JITTER_RANGE)
