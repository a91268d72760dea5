"""Targets of the platform's list, with what was seen of them."""

from __future__ import annotations

from collections.abc import Iterable

from hornbeamline.gateway._types import Target
from hornbeamline.helpers.clock import Clock
from hornbeamline.telemetry import log_event


class TargetDirectory:
    """The last readable list of targets.

    A target that is leaving or gone from the list gets no new work.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a list."""
        self._clock = clock
        self.read_at: float | None = None
        self._targets_by_service: dict[str, list[Target]] = {}
        self._targets_by_id: dict[str, Target] = {}
        self._targets_by_address: dict[str, Target] = {}

    @property
    def is_known(self) -> bool:
        """Return whether a list has been read."""
        return self.read_at is not None

    @property
    def age_s(self) -> float:
        """Return the age of the list in seconds."""
        if self.read_at is None:
            return 0
        return self._clock.monotonic() - self.read_at

    def take_list(self, targets: Iterable[Target]) -> None:
        """Replace the list."""
        known = {target.id: target for target in targets}
        if self.is_known:
            self._log_changes(known)
        else:
            log_event('targets.first_list', entries=len(known))
        self.read_at = self._clock.monotonic()
        by_service: dict[str, list[Target]] = {}
        for listed in known.values():
            if not listed.is_leaving:
                by_service.setdefault(listed.service, []).append(listed)
        for group in by_service.values():
            group.sort()
        self._targets_by_id = known
        self._targets_by_service = by_service
        self._targets_by_address = {
            target.address: target for target in known.values()
        }

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service that take new work."""
        return self._targets_by_service.get(service, [])

    def at_address(self, address: str) -> Target | None:
        """Return the listed target at an address."""
        return self._targets_by_address.get(address)

    def _log_changes(self, known: dict[str, Target]) -> None:
        before = self._targets_by_id
        for target_id, target in known.items():
            old = before.get(target_id)
            if old is None or old.is_leaving != target.is_leaving:
                log_event(
                    'targets.changed',
                    target=target_id,
                    service=target.service,
                    leaving=target.is_leaving,
                    list_age_s=self.age_s,
                )
        for gone in before.keys() - known.keys():
            log_event('targets.gone', target=gone, list_age_s=self.age_s)
