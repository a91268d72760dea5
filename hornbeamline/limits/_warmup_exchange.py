"""Shares with the granter, and as the granter, which targets are cold."""

from __future__ import annotations

from collections.abc import Mapping

from hornbeamline.helpers.clock import Clock
from hornbeamline.limits._granters import Granters
from hornbeamline.limits._messages import ReportCold
from hornbeamline.limits._permit import UNLIMITED, LimitedTarget, Permit
from hornbeamline.limits._tenure import GranterTenures
from hornbeamline.limits._warmup import WarmupBeliefs
from hornbeamline.peering import Peering


class WarmupExchange:
    """Pass on what calls show about cold targets.

    A host reports to the granter, and the granter tells all hosts with its
    presence. What the list shows reaches every host without it.
    """

    def __init__(
        self,
        peering: Peering,
        clock: Clock,
        beliefs: WarmupBeliefs,
        granters: Granters,
    ) -> None:
        """Register the message handler."""
        self._peering = peering
        self._beliefs = beliefs
        self._granters = granters
        self._tenures = GranterTenures(clock)
        peering.on(ReportCold, self._on_report)

    def granted(self) -> dict[str, float]:
        """Return how long targets stay cold as this host, as granter, knows."""
        for service in self._beliefs.warmups_by_service:
            self.is_granter(service)
        return {
            target: round(left_s, 1)
            for target, left_s in self._beliefs.observed().items()
            if self._granter_of(target) == self._peering.name
        }

    def record_granted(
        self, host: str, left_by_target: Mapping[str, float]
    ) -> None:
        """Record cold targets from another host that is their granter."""
        self._beliefs.note_shared(
            {
                target: left_s
                for target, left_s in left_by_target.items()
                if self._granter_of(target) == host
            },
        )

    def note_answer(
        self,
        target: LimitedTarget,
        left_s: float,
        permit: Permit = UNLIMITED,
    ) -> None:
        """Record how long an answer says that a target stays cold."""
        is_new = self._beliefs.note_answer(
            target.id, left_s, was_permitted=permit.is_cold
        )
        if is_new:
            self._report(target)

    def note_unreachable(self, target: LimitedTarget) -> None:
        """Record that a target has refused a connection."""
        if self._beliefs.note_unreachable(target.id):
            self._report(target)

    def is_granter(self, service: str) -> bool:
        """Return whether this host is the granter; record since when."""
        granter = self._granters.granter_of(service)
        is_granter = granter == self._peering.name
        # A host that lost control may have been replaced meanwhile: its tenure
        # begins again, so that permits of both do not add up.
        is_confirmed = is_granter and self._granters.is_confirmed()
        self._tenures.note(service, is_granter=is_confirmed)
        return is_granter

    def permits_from(self, service: str) -> float:
        """Return when this host may issue permits for cold targets."""
        return self._tenures.permits_from(service)

    def _granter_of(self, target: str) -> str | None:
        return self._granters.granter_of(self._beliefs.service_of(target))

    def _report(self, target: LimitedTarget) -> None:
        """Tell the granter what a call has shown.

        The next permit request repeats a report that is lost.
        """
        granter = self._granters.granter_of(target.service)
        if granter is None or granter == self._peering.name:
            return
        address = self._granters.address_of(granter)
        if address is not None:
            self._peering.add_peer(granter, address)
        left_s = self._beliefs.observed_left_s(target.id)
        self._peering.send(
            granter, ReportCold(target.id, target.service, left_s)
        )

    async def _on_report(self, _sender: str, report: ReportCold) -> None:
        self._beliefs.note_reported(report.target, report.observed_left_s)
