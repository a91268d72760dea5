"""State of one target on this host."""

from __future__ import annotations

import math
from typing import Final

from hornbeamline.decisions._breaker import Breaker
from hornbeamline.decisions._limits import AdaptiveLimit
from hornbeamline.decisions._quantiles import DecayedQuantiles
from hornbeamline.decisions._types import LoadReport
from hornbeamline.inventory import Fleet, HostRole, Rules, Target, TargetState

_HALF_LIFE_S: Final = 5.0
# Decayed sample count below which a target's durations are not compared.
_MIN_EFFECTIVE_SAMPLES: Final = 1.5
# Durations of a target without new measurements expire after this time, so
# that a slow target that gets no probes is tried again.
_MEASUREMENT_TTL_S: Final = 30.0


class TargetRecord:
    """Calls in flight, limit, speed and health of one target."""

    def __init__(
        self,
        name: str,
        entry: Target,
        rules: Rules,
        host_count: int,
        *,
        is_local: bool,
    ) -> None:
        """Initialize; `is_local` means in the data centre of this host."""
        self.name = name
        self.is_local = is_local
        self.is_unavailable = False
        self.in_flight = 0
        # Start time of each call in flight by dispatch id, oldest first.
        self.started_by_id: dict[int, float] = {}
        self.last_dispatch_at = -math.inf
        self.last_success_at = -math.inf
        # Incremented when measurements are reset.
        self.epoch = 0
        self.entry = entry
        self._stated_version: str | None = None
        self._rules = rules
        self._host_count = host_count
        self.reset_measurements()

    def update_entry(
        self,
        entry: Target,
        rules: Rules,
        host_count: int,
    ) -> None:
        """Apply a new revision of the inventory entry and rules."""
        if (self.entry.address, self.entry.software_version) != (
            entry.address,
            entry.software_version,
        ):
            self._stated_version = None
        self.entry = entry
        self._rules = rules
        self._host_count = host_count
        self.limit.update_rules(rules.limits, entry.concurrency, host_count)
        self.breaker.rules = rules.routing

    def version_stated(self, software_version: str) -> None:
        """Record the software version that the target has stated."""
        self._stated_version = software_version

    def reset_measurements(self) -> None:
        """Reset all measurements; calls in flight stay counted."""
        self.epoch += 1
        self.limit = AdaptiveLimit(
            self._rules.limits,
            self.entry.concurrency,
            self._host_count,
        )
        self.breaker = Breaker(self._rules.routing)
        # Durations relative to the service's median.
        self._relative_durations = DecayedQuantiles(_HALF_LIFE_S)
        self._measured_at = -math.inf
        self._reported_other_load: float = 0
        self._load_measured_at = -math.inf
        # Median duration relative to that of the pool's median target.
        self.slowness = 1.0
        # The target is too slow and gets only probes.
        self.is_avoided = False

    @property
    def is_live(self) -> bool:
        """Return whether inventory and membership allow new work."""
        return not self.is_unavailable and self.entry.state is TargetState.live

    @property
    def is_usable(self) -> bool:
        """Return whether the target may get calls other than probes."""
        return self.is_live and not self.is_avoided and not self.breaker.is_open

    @property
    def accepts_resumption(self) -> bool:
        """Return whether a stream may be resumed at the target, now or soon.

        An ejected target gets one call at a time, and none in the queue.
        """
        return self.is_live and (self.has_room or not self.breaker.is_open)

    @property
    def software_version(self) -> str:
        """Return the version of the target's server software.

        A statement of the target counts until its entry changes.
        """
        if self._stated_version is not None:
            return self._stated_version
        return self.entry.software_version

    @property
    def slots(self) -> int:
        """Return the limit of this host's calls; 1 for a probe if ejected."""
        return 1 if self.breaker.is_open else math.ceil(self.limit.value)

    @property
    def has_room(self) -> bool:
        """Return whether the limit allows one more call."""
        return self.in_flight < self.slots

    def load_at(self, now: float) -> float:
        """Return this host's calls plus a share of the reported load.

        Load reported by the target beyond this host's calls is divided by the
        number of other hosts and decays with the age of the report.
        """
        if not self._reported_other_load:
            return self.in_flight
        half_lives = (
            now - self._load_measured_at
        ) / self._rules.routing.load_half_life_s
        other_hosts = max(1, self._host_count - 1)
        decayed_load = self._reported_other_load * math.exp2(
            -min(100, half_lives)
        )
        return self.in_flight + decayed_load / other_hosts

    def report_load(self, report: LoadReport, now: float) -> None:
        """Apply a load report unless a newer one is known."""
        measured_at = now - report.age_s
        if measured_at < self._load_measured_at:
            return
        self._load_measured_at = measured_at
        total = report.in_progress + report.queued
        self._reported_other_load = max(0, total - self.in_flight)

    def record_relative(self, relative: float, now: float) -> None:
        """Record a duration relative to the service's median."""
        self._measured_at = now
        self._relative_durations.record(relative, now)

    def relative_quantile(self, quantile: float, now: float) -> float | None:
        """Return a quantile of relative durations, or None if unknown."""
        if now - self._measured_at > _MEASUREMENT_TTL_S:
            return None
        if (
            self._relative_durations.effective_count(now)
            < _MIN_EFFECTIVE_SAMPLES
        ):
            return None
        return self._relative_durations.quantile(quantile, now)

    def stalled_s(self, now: float) -> float:
        """Return the age of the oldest call, or 0 after a later success."""
        oldest = next(iter(self.started_by_id.values()), now)
        if self.last_success_at > oldest:
            return 0
        return now - oldest


def entry_host_count(fleet: Fleet) -> int:
    """Return the number of entry hosts that share the targets, at least 1."""
    entries = [
        host
        for host in fleet.hosts_by_name.values()
        if HostRole.entry in host.roles
    ]
    return max(1, len(entries))
