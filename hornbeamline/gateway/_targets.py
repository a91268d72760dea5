"""Directory of the listed targets and their availability."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final

from hornbeamline.evacuations import EvacuationBelief, EvacuationState
from hornbeamline.gateway._types import Target
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.codec import encode
from hornbeamline.limits import TargetLimits, WarmupLimits
from hornbeamline.limits.const import MIN_RATE_PER_S
from hornbeamline.membership import TargetAvailability
from hornbeamline.telemetry import log_event

# Time for which a draining target takes requests that no other can serve. It
# serves longer, but hosts see its state some time after the list shows it.
LINGER_S: Final = 2.0


class TargetDirectory:
    """Targets of the last valid list, with their state and rate limits.

    A target gets no new work if it is draining, according to the list or to
    its own responses, or if it is no longer listed. A target that asked for
    a pause gets none until the pause ends, and a target of an evacuated data
    centre none until the evacuation ends.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a directory without a list."""
        self._clock = clock
        self.read_at: float | None = None
        self.on_first_list: Callable[[], None] | None = None
        # Called for each list that has changed.
        self.on_changed: Callable[[], None] | None = None
        # Called for each list, also if it has not changed.
        self.on_list: Callable[[], None] | None = None
        # Called with each data centre whose evacuation has ended.
        self.on_reopened: Callable[[str], None] | None = None
        self.evacuations = EvacuationBelief()
        # Digest of the list, equal on all hosts with the same list; empty
        # before the first list.
        self.digest = b''
        self.availability = TargetAvailability(clock)
        self.limits = TargetLimits(clock)
        self._targets_by_service: dict[str, list[Target]] = {}
        # Services whose targets that accept work are all evacuated.
        self.evacuated_services: frozenset[str] = frozenset()
        self._targets_by_id: dict[str, Target] = {}
        self._targets_by_address: dict[str, Target] = {}
        # Time of the last list in which a draining target was not draining.
        self._leaving_since_by_id: dict[str, float] = {}

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

    def now(self) -> float:
        """Return the time in seconds on the clock of `read_at`."""
        return self._clock.monotonic()

    def targets(self) -> list[Target]:
        """Return all listed targets, including those that are draining."""
        return list(self._targets_by_id.values())

    def confirm(self, digest: bytes, read_at: float) -> bool:
        """Record that the list was unchanged when it was read at `read_at`.

        Return whether the current list has this digest.
        """
        if digest != self.digest or self.read_at is None:
            return False
        self.read_at = max(self.read_at, read_at)
        self.limits.warmup.note_confirmed(self.read_at)
        self._record_listed(self._targets_by_id.keys())
        return True

    def replace_list(
        self,
        targets: Iterable[Target],
        read_at: float | None = None,
    ) -> None:
        """Replace the list unless the new one is older than the current one.

        `read_at` is the time at which the list was read, by default now.
        """
        at = self.now() if read_at is None else read_at
        if self.read_at is not None and at < self.read_at:
            return
        targets_by_id = {target.id: target for target in targets}
        is_first = not self.is_known
        if is_first:
            log_event('targets.first_list', entries=len(targets_by_id))
        else:
            _log_changes(self._targets_by_id, targets_by_id, self.age_s)
        previous_read_at = self.read_at
        self.read_at = at
        self.digest = _digest(targets_by_id.values())
        self._leaving_since_by_id = _leaving_since_by_id(
            self._leaving_since_by_id,
            self._targets_by_id,
            targets_by_id,
            previous_read_at,
        )
        self._targets_by_id = targets_by_id
        self._group_by_service()
        self._targets_by_address = {
            target.address: target for target in targets_by_id.values()
        }
        self.limits.warmup.note_listed(targets_by_id.values(), at)
        self._record_listed(targets_by_id.keys())
        if self.on_changed is not None:
            self.on_changed()
        if is_first and self.on_first_list is not None:
            self.on_first_list()

    def apply_evacuations(self, state: EvacuationState) -> None:
        """Apply the evacuated data centres unless newer ones are known."""
        reopened = self.evacuations.apply(state)
        if reopened is None:
            return
        self._group_by_service()
        if self.on_reopened is not None:
            for data_centre in reopened:
                self.on_reopened(data_centre)

    def accepts_work(self, target: Target) -> bool:
        """Return whether requests may be sent to a target now."""
        return (
            target.data_centre not in self.evacuations
            and self.availability.accepts_work(target.id)
        )

    def update_warmups(
        self, warmups_by_service: Mapping[str, WarmupLimits]
    ) -> None:
        """Replace the services that warm up, from a newer document."""
        self.limits.warmup.update_services(warmups_by_service)
        if self.read_at is not None:
            self.limits.warmup.note_listed(
                self._targets_by_id.values(), self.read_at
            )

    def accepting_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that accept work."""
        accepts_work = self.availability.accepts_work
        return [
            target
            for target in self._targets_by_service.get(service, [])
            if accepts_work(target.id)
        ]

    def available_targets(
        self, service: str, version: str | None = None
    ) -> list[Target]:
        """Return the targets of a service that accept a request now.

        With `version`, only those of this software version; if there are
        none, those that have begun to drain a short time ago.
        """
        available = [
            target
            for target in self.accepting_targets(service)
            if not self.limits.permit_pause_s(target.id)
        ]
        if version is None:
            return available
        accepting = self.accepting_targets(service)
        if not any(target.version == version for target in accepting):
            available = self._lingering_targets(service)
        return [target for target in available if target.version == version]

    def version_pause_s(self, service: str, version: str) -> float | None:
        """Return the seconds until a target takes a stream of a version.

        0 if one takes it now, None if all of them are draining, unlisted or
        evacuated.
        """
        if any(
            target.version == version
            for target in self._lingering_targets(service)
        ):
            return 0
        left_s = min(
            (
                self.availability.pause_left_s(target.id)
                for target in self._targets_by_service.get(service, [])
                if target.version == version
            ),
            default=math.inf,
        )
        return None if left_s == math.inf else left_s

    def versions_by_service(self) -> dict[str, dict[str, int]]:
        """Return the number of listed targets by service and version."""
        counts: dict[str, dict[str, int]] = {}
        for target in self._targets_by_id.values():
            by_version = counts.setdefault(target.service, {})
            by_version[target.version] = by_version.get(target.version, 0) + 1
        return counts

    def call_rates(self, service: str) -> list[float]:
        """Return the calls per second that each accepting target allows."""
        return [
            max(self.limits.limit_of(target.id), MIN_RATE_PER_S)
            for target in self.accepting_targets(service)
        ]

    def next_permit_s(self, service: str) -> float:
        """Return the seconds until a rate limit allows the next request.

        0 if a target accepts one now or if there is no target.
        """
        return min(
            (
                self.limits.permit_pause_s(target.id)
                for target in self.accepting_targets(service)
            ),
            default=0,
        )

    def pause_left_s(self, service: str) -> float | None:
        """Return the seconds until the first pause of a target ends.

        0 if a target accepts work now, None if all are draining, unlisted or
        evacuated.
        """
        left_s = min(
            (
                self.availability.pause_left_s(target.id)
                for target in self._targets_by_service.get(service, [])
            ),
            default=math.inf,
        )
        return None if left_s == math.inf else left_s

    def listed(self, target_id: str) -> Target | None:
        """Return a listed target, or None."""
        return self._targets_by_id.get(target_id)

    def target_at(self, address: str) -> Target | None:
        """Return the target listed at an address, or None."""
        return self._targets_by_address.get(address)

    def _group_by_service(self) -> None:
        """Group the targets that are neither draining nor evacuated."""
        by_service: dict[str, list[Target]] = {}
        evacuated: set[str] = set()
        for listed in self._targets_by_id.values():
            if listed.is_leaving:
                continue
            if listed.data_centre in self.evacuations:
                evacuated.add(listed.service)
            else:
                by_service.setdefault(listed.service, []).append(listed)
        for group in by_service.values():
            group.sort()
        self._targets_by_service = by_service
        self.evacuated_services = frozenset(evacuated.difference(by_service))

    def _lingering_targets(self, service: str) -> list[Target]:
        """Return targets that have begun to drain a short time ago.

        They take requests that no other target can serve.
        """
        oldest = self.now() - LINGER_S
        return [
            target
            for target in self._targets_by_id.values()
            if target.service == service
            and self._leaving_since_by_id.get(target.id, -math.inf) >= oldest
            and self.accepts_work(target)
        ]

    def _record_listed(self, target_ids: Collection[str]) -> None:
        self.availability.apply_listed(target_ids)
        self.limits.evict_unlisted(target_ids)
        if self.on_list is not None:
            self.on_list()


def _leaving_since_by_id(
    known: Mapping[str, float],
    before: Mapping[str, Target],
    after: Mapping[str, Target],
    previous_read_at: float | None,
) -> dict[str, float]:
    """Return when draining targets were last listed as not draining.

    That of a target that drains in its first list is not known.
    """
    return {
        target.id: known.get(
            target.id,
            -math.inf
            if previous_read_at is None or target.id not in before
            else previous_read_at,
        )
        for target in after.values()
        if target.is_leaving
    }


def _log_changes(
    before: Mapping[str, Target],
    after: Mapping[str, Target],
    list_age_s: float,
) -> None:
    for target_id, target in after.items():
        old = before.get(target_id)
        if old is None or _has_news(old, target):
            log_event(
                'targets.changed',
                target=target_id,
                service=target.service,
                version=target.version,
                leaving=target.is_leaving,
                list_age_s=list_age_s,
            )
    for gone in before.keys() - after.keys():
        log_event('targets.gone', target=gone, list_age_s=list_age_s)


def _has_news(old: Target, new: Target) -> bool:
    return (old.is_leaving, old.version) != (new.is_leaving, new.version)


def _digest(targets: Iterable[Target]) -> bytes:
    # Without the flag for targets that are not cold, the digest is the one
    # that hosts without the flag compute.
    entries = [
        target if target.is_cold else target[:-1] for target in sorted(targets)
    ]
    return hashlib.blake2b(encode(entries), digest_size=8).digest()
