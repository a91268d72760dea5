"""Leader's decisions about default versions and the end of records."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

from hornbeamline.origins._machine import DefaultChange
from hornbeamline.origins.const import (
    MAX_LIST_AGE_S,
    MAX_OBSERVATION_GAP_S,
    MAX_VERSION_LENGTH,
)

# Number of listed targets by version.
VersionCounts: TypeAlias = Mapping[str, int]


class VersionObserver:
    """Decides when a default version may be replaced.

    It counts for how long a default has been neither listed nor in use. Only
    the uninterrupted observation of one leader counts.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._observed_at: float | None = None
        # Time of the last sign of the default version, by service.
        self._last_sign_by_service: dict[str, float] = {}
        # First time at which the current generation was seen.
        self._generation: tuple[int, float] | None = None

    def reset(self) -> None:
        """Forget everything: this process has just become the leader."""
        self._observed_at = None
        self._last_sign_by_service.clear()
        self._generation = None

    def note_use(self, service: str, now: float) -> None:
        """Record that a stream is about to begin at the default version."""
        self._last_sign_by_service[service] = now

    def decide(
        self,
        listed: Mapping[str, VersionCounts],
        list_age_s: float,
        defaults_by_service: Mapping[str, str],
        retention_s: float,
        now: float,
    ) -> list[DefaultChange]:
        """Return the defaults to set, from a list of that age in seconds.

        A default is replaced if there has been no sign of it for
        `retention_s` seconds, so that no stream of it is left, and another
        version is listed.
        """
        if list_age_s > MAX_LIST_AGE_S:
            return []
        self._observe(listed, defaults_by_service, now)
        changes = []
        for service, counts in listed.items():
            version = _most_frequent(counts)
            default = defaults_by_service.get(service)
            if version is None or default in counts:
                continue
            if self._is_due(service, default, retention_s, now):
                self._last_sign_by_service[service] = now
                changes.append(DefaultChange(service, default, version))
        return changes

    def ends_generation(
        self, generation: int, retention_s: float, now: float
    ) -> bool:
        """Return whether a generation of records has lasted long enough."""
        if self._generation is None or self._generation[0] != generation:
            self._generation = (generation, now)
        return now - self._generation[1] >= retention_s

    def _is_due(
        self,
        service: str,
        default: str | None,
        retention_s: float,
        now: float,
    ) -> bool:
        last_sign = self._last_sign_by_service.get(service)
        if last_sign is None:
            # A first default cannot be set if there are too many services,
            # and is then attempted again after the retention.
            return default is None
        return now - last_sign >= retention_s

    def _observe(
        self,
        listed: Mapping[str, VersionCounts],
        defaults_by_service: Mapping[str, str],
        now: float,
    ) -> None:
        observed_at = self._observed_at
        self._observed_at = now
        if observed_at is None or now - observed_at > MAX_OBSERVATION_GAP_S:
            self._last_sign_by_service.clear()
        for service, default in defaults_by_service.items():
            if default in listed.get(service, ()):
                self._last_sign_by_service[service] = now
            else:
                self._last_sign_by_service.setdefault(service, now)


def _most_frequent(counts: VersionCounts) -> str | None:
    """Return the version of most targets; the smallest name of several."""
    eligible = [
        (-count, version)
        for version, count in counts.items()
        if count > 0 and len(version) <= MAX_VERSION_LENGTH
    ]
    return min(eligible)[1] if eligible else None
