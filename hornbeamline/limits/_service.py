"""Requests permits from granters, and issues them on the granter."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from hornbeamline.core import TaskSet
from hornbeamline.exceptions import PeeringError
from hornbeamline.helpers.clock import Clock
from hornbeamline.limits._buckets import TargetBuckets
from hornbeamline.limits._granters import Granters
from hornbeamline.limits._known_limits import TargetLimits
from hornbeamline.limits._messages import (
    AskColdPermit,
    AskPermit,
    LimitState,
    PermitReply,
    ReportLimit,
)
from hornbeamline.limits._metrics import GRANTS, PERMITS
from hornbeamline.limits._permit import UNLIMITED, LimitedTarget, Permit
from hornbeamline.limits._warmup_exchange import WarmupExchange
from hornbeamline.limits.const import (
    ASK_TIMEOUT_S,
    LINK_INTERVAL_S,
    PERMIT_TTL_S,
    UNREACHABLE_GRANTER_PAUSE_S,
    WARMUP_PERMIT_TTL_S,
)
from hornbeamline.peering import Peering
from hornbeamline.telemetry import log_event


class LimitService:
    """Keep the total request rate of all hosts within target limits."""

    def __init__(
        self,
        peering: Peering,
        clock: Clock,
        limits: TargetLimits,
        granters: Granters,
        service_of: Callable[[str], str | None],
    ) -> None:
        """Register the message handlers.

        `limits` holds the limits known to this host. `service_of` returns
        the service of a listed target, or None for an unlisted one.
        """
        self._peering = peering
        self._clock = clock
        self._limits = limits
        self._granters = granters
        self._service_of = service_of
        self._buckets = TargetBuckets(clock)
        self.warmup = WarmupExchange(peering, clock, limits.warmup, granters)
        self._tasks = TaskSet()
        peering.on(AskPermit, self._on_ask)
        peering.on(AskColdPermit, self._on_ask_cold)
        peering.on(ReportLimit, self._on_report)

    async def start(self) -> None:
        """Start maintaining connections to granters of limited targets."""
        self._tasks.keep_running(self._keep_links, 'limits links')

    async def stop(self) -> None:
        """Cancel pending reports and stop maintaining connections."""
        await self._tasks.cancel_all()

    def kept_services(self) -> frozenset[str]:
        """Return the services for which this host remains the granter."""
        return self._buckets.services()

    def keeps(self, service: str) -> bool:
        """Return whether this host remains the granter of a service."""
        return service in self._buckets.services()

    def granted_limits(self) -> dict[str, float]:
        """Return the limits by target that this host enforces as granter."""
        limit_by_target = {
            target: limit_per_s
            for target, limit_per_s in self._buckets.limit_by_target().items()
            if self._is_granter_of(target)
        }
        self._limits.record_granter_limits(limit_by_target)
        return limit_by_target

    def record_granter_limits(
        self, host: str, limit_by_target: dict[str, float]
    ) -> None:
        """Record limits from another host, for targets it is granter of."""
        self._limits.record_granter_limits(
            {
                target: limit_per_s
                for target, limit_per_s in limit_by_target.items()
                if self._granter_of_target(target) == host
            },
        )

    async def acquire(
        self,
        target: LimitedTarget,
        request_id: str = '',
        max_wait_s: float = 0,
        *,
        is_spare: bool = False,
    ) -> Permit | None:
        """Return a permit once it may be used, or None if none is granted.

        `max_wait_s` is the longest accepted delay. With `is_spare`, only a
        permit that no caller has requested is taken.
        """
        if not self._limits.is_limited(target.id):
            return UNLIMITED
        began = self._clock.monotonic()
        limit_per_s = self._limits.limit_of(target.id)
        is_cold = self._limits.is_cold(target.id)
        granter = self._granters.granter_of(target.service)
        reply = await self._ask(
            granter,
            AskPermit(
                target.id,
                target.service,
                self._limits.stated_limit_of(target.id),
                self._limits.named_ago_s(target.id),
                max_wait_s,
                is_spare,
            ),
        )
        now = self._clock.monotonic()
        outcome = _outcome_of(reply)
        PERMITS.labels(outcome).inc()
        log_event(
            'limits.permit',
            request=request_id,
            target=target.id,
            granter=granter,
            limit_per_s=limit_per_s,
            cold=is_cold,
            outcome=outcome,
            delay_s=None if reply is None else reply.delay_s,
            next_s=None if reply is None else reply.next_s,
            asked_s=now - began,
        )
        if reply is None or not reply.is_granter:
            self._limits.note_closed(target.id, UNREACHABLE_GRANTER_PAUSE_S)
            return None
        if reply.limit_per_s == math.inf:
            self._limits.note_ended(target.id)
            return UNLIMITED
        self._limits.note_closed(target.id, reply.next_s)
        if not reply.number:
            return None
        await asyncio.sleep(reply.delay_s)
        if is_cold:
            # The time of the request counts, since it precedes the issue.
            expires_at = began + reply.delay_s + WARMUP_PERMIT_TTL_S
        else:
            expires_at = now + reply.delay_s + PERMIT_TTL_S
        return Permit(reply.number, expires_at, is_cold)

    def note_answer(
        self,
        target: LimitedTarget,
        limit_per_s: float,
        permit: Permit = UNLIMITED,
    ) -> None:
        """Record and report the limit of an answer, infinite if none."""
        if limit_per_s < math.inf:
            self._limits.record_stated_limit(target.id, limit_per_s)
        elif (
            not permit.number
            or self._limits.stated_limit_of(target.id) == math.inf
        ):
            # The request may have been sent before the limit was stated.
            return
        report = ReportLimit(
            target.id,
            target.service,
            limit_per_s,
            permit.number,
        )
        self._tasks.spawn(self._report(report), 'limits report')

    async def _ask(
        self,
        granter: str | None,
        permit_request: AskPermit,
    ) -> PermitReply | None:
        if granter is None:
            return None
        warmup = self._limits.warmup
        warmup_per_s = warmup.rate_of(permit_request.target)
        cold_request = AskColdPermit(
            permit_request,
            warmup_per_s,
            warmup.observed_left_s(permit_request.target),
        )
        if granter == self._peering.name:
            return self._grant(cold_request)
        self._link(granter)
        try:
            return await self._peering.call(
                granter,
                permit_request if warmup_per_s == math.inf else cold_request,
                PermitReply,
                ASK_TIMEOUT_S,
            )
        except PeeringError as error:
            log_event(
                'limits.granter_silent',
                granter=granter,
                target=permit_request.target,
                error=str(error),
            )
            return None

    async def _report(self, report: ReportLimit) -> None:
        granter = self._granters.granter_of(report.service)
        if granter is None:
            return
        if granter == self._peering.name:
            state = self._take_report(report)
        else:
            self._link(granter)
            try:
                state = await self._peering.call(
                    granter,
                    report,
                    LimitState,
                    ASK_TIMEOUT_S,
                )
            except PeeringError as error:
                # The next permit request carries the same limit.
                log_event(
                    'limits.report_lost',
                    granter=granter,
                    target=report.target,
                    limit_per_s=report.limit_per_s,
                    error=str(error),
                )
                return
        has_ended = state.is_granter and state.limit_per_s == math.inf
        if has_ended and report.limit_per_s == math.inf:
            self._limits.note_ended(report.target)

    def _granter_of_target(self, target: str) -> str | None:
        service = self._service_of(target)
        return None if service is None else self._granters.granter_of(service)

    def _is_granter_of(self, target: str) -> bool:
        return self._granter_of_target(target) == self._peering.name

    def _grant(self, cold_request: AskColdPermit) -> PermitReply:
        """Answer a permit request as the granter."""
        permit_request = cold_request.permit_request
        target, service = permit_request.target, permit_request.service
        if not self.warmup.is_granter(service):
            GRANTS.labels('not_granter').inc()
            return PermitReply(False, permit_request.limit_per_s, 0, 0, 0)
        warmup = self._limits.warmup
        warmup.note_reported(target, cold_request.observed_left_s)
        warmup_per_s = min(cold_request.warmup_per_s, warmup.rate_of(target))
        if warmup_per_s < math.inf and not self._granters.is_confirmed():
            # Another host may be the granter by now.
            GRANTS.labels('unconfirmed').inc()
            return PermitReply(False, permit_request.limit_per_s, 0, 0, 0)
        self._adopt_known_limit(target, service)
        self._buckets.record_warmup(
            target,
            service,
            warmup_per_s,
            self.warmup.permits_from(service),
        )
        reply = self._buckets.take(permit_request)
        GRANTS.labels(_outcome_of(reply)).inc()
        return reply

    def _adopt_known_limit(self, target: str, service: str) -> None:
        """Enforce a limit that this host knows as a client of the target."""
        is_new = self._buckets.limit_of(target) == math.inf
        stated_per_s = self._limits.stated_limit_of(target)
        if is_new and stated_per_s < math.inf:
            self._buckets.record_limit(
                target,
                service,
                stated_per_s,
                self._limits.known_ago_s(target),
            )

    def _take_report(self, report: ReportLimit) -> LimitState:
        if self._granters.granter_of(report.service) != self._peering.name:
            return LimitState(False, report.limit_per_s)
        if report.limit_per_s < math.inf:
            self._buckets.record_limit(
                report.target,
                report.service,
                report.limit_per_s,
            )
            self._limits.record_granter_limits(
                {report.target: report.limit_per_s}
            )
        elif self._buckets.end_limit(report.target, report.permit):
            self._limits.note_ended(report.target)
        return LimitState(True, self._buckets.limit_of(report.target))

    def _link(self, host: str) -> None:
        address = self._granters.address_of(host)
        if address is not None:
            self._peering.add_peer(host, address)

    async def _keep_links(self) -> None:
        """Connect to granters before a permit request needs the connection."""
        while True:
            services = {
                self._service_of(target) for target in self._limits.limited()
            }
            services.update(self._limits.warmup.cold_services())
            for service in services:
                granter = service and self._granters.granter_of(service)
                if granter and granter != self._peering.name:
                    self._link(granter)
            await asyncio.sleep(LINK_INTERVAL_S)

    async def _on_ask(
        self, _sender: str, permit_request: AskPermit
    ) -> PermitReply:
        return self._grant(AskColdPermit(permit_request, math.inf, 0))

    async def _on_ask_cold(
        self, _sender: str, cold_request: AskColdPermit
    ) -> PermitReply:
        return self._grant(cold_request)

    async def _on_report(self, _sender: str, report: ReportLimit) -> LimitState:
        return self._take_report(report)


def _outcome_of(reply: PermitReply | None) -> str:
    if reply is None:
        return 'unreachable'
    if not reply.is_granter:
        return 'not_granter'
    if reply.limit_per_s == math.inf:
        return 'unlimited'
    return 'granted' if reply.number else 'denied'
