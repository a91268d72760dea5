"""What an entry host believes about the default versions."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from hornbeamline.origins.const import (
    CONFIRMED_FOR_S,
    MAX_ABSENCE_S,
    MAX_LIST_GAP_S,
    SOLE_VERSION_S,
)
from hornbeamline.telemetry import log_event


class _Belief(NamedTuple):
    """Default version of a service, as last told by the leader."""

    version: str
    # Time at which the answer that confirmed it was requested.
    confirmed_at: float
    # Last time at which another version was listed.
    others_at: float
    # Last sign of the version: a list with it, or its confirmation.
    seen_at: float
    # There were no signs of it for too long since its confirmation.
    is_broken: bool = False


class _SoleVersion(NamedTuple):
    """Version that was the only listed one at all times since `since`."""

    version: str | None
    since: float
    listed_at: float


class DefaultBeliefs:
    """Tells whether a stream at a version needs no record.

    The leader keeps a default for at least the retention after the last use
    that it has confirmed, and after the version was last listed. So a belief
    holds while this host itself sees the version often enough.
    """

    def __init__(self) -> None:
        """Start without beliefs."""
        self._by_service: dict[str, _Belief] = {}
        self._sole_by_service: dict[str, _SoleVersion] = {}
        self._listed_at = -math.inf
        # Time at which the newest list was read.
        self._read_at = -math.inf

    def version_of(self, service: str) -> str | None:
        """Return the believed default of a service, if any."""
        belief = self._by_service.get(service)
        return None if belief is None else belief.version

    def is_steady(self, service: str, now: float) -> bool:
        """Return whether the default can't have changed since confirmed."""
        belief = self._by_service.get(service)
        if belief is None or belief.is_broken:
            return False
        return now - belief.seen_at <= MAX_ABSENCE_S

    def is_fresh(self, service: str, now: float) -> bool:
        """Return whether the belief holds without asking the leader."""
        belief = self._by_service.get(service)
        if belief is None or not self.is_steady(service, now):
            return False
        return (
            now - belief.confirmed_at <= CONFIRMED_FOR_S
            or belief.others_at < belief.confirmed_at
        )

    def confirm(self, service: str, version: str, requested_at: float) -> None:
        """Record that the leader knows of a use of the default."""
        previous = self._by_service.get(service)
        if previous is None or previous.version != version:
            self._replace(service, version)
            previous = self._by_service[service]
        self._by_service[service] = previous._replace(
            confirmed_at=requested_at,
            seen_at=requested_at,
            is_broken=False,
        )

    def observe_default(self, service: str, version: str | None) -> None:
        """Record a default that came with another answer.

        It is not confirmed, as the leader does not know of a use.
        """
        if version is not None and version != self.version_of(service):
            self._replace(service, version)

    def note_listed(
        self,
        versions_by_service: Mapping[str, Collection[str]],
        now: float,
        age_s: float = 0,
    ) -> None:
        """Record the versions in a list of targets that was read before."""
        self._read_at = max(self._read_at, now - age_s)
        if now - self._listed_at > MAX_LIST_GAP_S:
            self._sole_by_service.clear()
        self._listed_at = now
        for service, belief in self._by_service.items():
            versions = versions_by_service.get(service, ())
            if belief.version in versions:
                is_late = now - belief.seen_at > MAX_ABSENCE_S
                belief = belief._replace(
                    seen_at=now,
                    is_broken=belief.is_broken or is_late,
                )
            if any(version != belief.version for version in versions):
                belief = belief._replace(others_at=now)
            self._by_service[service] = belief
        self._note_sole(versions_by_service, now)

    def sole_version(
        self, service: str, for_s: float, now: float, read_after: float
    ) -> str | None:
        """Return the only version listed for `for_s` seconds, if any.

        At least `SOLE_VERSION_S` seconds. None unless the newest list was
        read after `read_after`.
        """
        sole = self._sole_by_service.get(service)
        if sole is None or now - self._listed_at > MAX_LIST_GAP_S:
            return None
        if self._read_at < read_after:
            return None
        is_long = now - sole.since >= max(for_s, SOLE_VERSION_S)
        return sole.version if is_long else None

    def _replace(self, service: str, version: str) -> None:
        previous = self._by_service.get(service)
        self._by_service[service] = _Belief(
            version,
            confirmed_at=-math.inf,
            # The versions in earlier lists are not known.
            others_at=self._listed_at,
            seen_at=-math.inf,
            is_broken=True,
        )
        log_event(
            'origins.belief_changed',
            service=service,
            previous=None if previous is None else previous.version,
            version=version,
        )

    def _note_sole(
        self,
        versions_by_service: Mapping[str, Collection[str]],
        now: float,
    ) -> None:
        self._sole_by_service = {
            service: sole
            for service, sole in self._sole_by_service.items()
            if now - sole.listed_at <= SOLE_VERSION_S
        }
        for service, versions in versions_by_service.items():
            if not versions:
                continue
            distinct = frozenset(versions)
            version = next(iter(distinct)) if len(distinct) == 1 else None
            sole = self._sole_by_service.get(service)
            is_same = sole is not None and sole.version == version
            since = sole.since if sole is not None and is_same else now
            self._sole_by_service[service] = _SoleVersion(version, since, now)
