"""What this host knows about one target."""

from __future__ import annotations

import math
from typing import Final

from hornbeamline.decisions._breaker import Breaker
from hornbeamline.decisions._limits import AdaptiveLimit
from hornbeamline.decisions._quantiles import DecayedQuantiles
from hornbeamline.decisions._types import LoadReport
from hornbeamline.inventory import Fleet, HostRole, Rules, Target, TargetState

_HALF_LIFE_S: Final = 5.0
# Fresh measurements that a comparison with other targets needs.
_FEW_SAMPLES: Final = 1.5
# A slow target that is not even probed is tried again after this time.
_FORGOTTEN_S: Final = 30.0


class TargetRecord:
    """Calls, limit, speed and health of one target."""

    def __init__(
        self,
        name: str,
        entry: Target,
        rules: Rules,
        host_count: int,
        *,
        is_own: bool,
    ) -> None:
        """Take the inventory entry and whether the data centre is own."""
        self.name = name
        self.is_own = is_own
        self.is_unavailable = False
        self.in_flight = 0
        # Start of each call in progress by dispatch id, oldest first.
        self.started_by_id: dict[int, float] = {}
        self.last_dispatch_at = -math.inf
        self.last_success_at = -math.inf
        # Grows when measurements are forgotten.
        self.epoch = 0
        self.entry = entry
        self._rules = rules
        self._host_count = host_count
        self.forget()

    def take_entry(
        self,
        entry: Target,
        rules: Rules,
        host_count: int,
    ) -> None:
        """Take a new revision of the inventory entry."""
        self.entry = entry
        self._rules = rules
        self._host_count = host_count
        self.limit.take_rules(rules.limits, entry.concurrency, host_count)
        self.breaker.rules = rules.routing

    def forget(self) -> None:
        """Drop all measurements; calls in progress stay counted."""
        self.epoch += 1
        self.limit = AdaptiveLimit(
            self._rules.limits,
            self.entry.concurrency,
            self._host_count,
        )
        self.breaker = Breaker(self._rules.routing)
        # Durations relative to the service's median.
        self._relative = DecayedQuantiles(_HALF_LIFE_S)
        self._measured_at = -math.inf
        self._others_load: float = 0
        self._load_at = -math.inf
        # Duration relative to the pool's typical target.
        self.slowness = 1.0
        # Too slow: only probes are sent.
        self.is_avoided = False

    @property
    def is_live(self) -> bool:
        """Return whether inventory and membership allow new work."""
        return not self.is_unavailable and self.entry.state is TargetState.live

    @property
    def is_usable(self) -> bool:
        """Return whether the target takes ordinary calls."""
        return self.is_live and not self.is_avoided and not self.breaker.is_open

    @property
    def slots(self) -> int:
        """Return the own calls allowed; one probe while ejected."""
        return 1 if self.breaker.is_open else math.ceil(self.limit.value)

    @property
    def has_room(self) -> bool:
        """Return whether one more call may be sent."""
        return self.in_flight < self.slots

    def load_at(self, now: float) -> float:
        """Return own calls plus this host's part of the reported load.

        The report counts all hosts' calls and is discounted by its age.
        """
        if not self._others_load:
            return self.in_flight
        half_lives = (
            now - self._load_at
        ) / self._rules.routing.load_half_life_s
        others = max(1, self._host_count - 1)
        faded = self._others_load * math.exp2(-min(100, half_lives))
        return self.in_flight + faded / others

    def report_load(self, report: LoadReport, now: float) -> None:
        """Take a load report unless a newer one is known."""
        measured_at = now - report.age_s
        if measured_at < self._load_at:
            return
        self._load_at = measured_at
        total = report.in_progress + report.queued
        self._others_load = max(0, total - self.in_flight)

    def record_relative(self, relative: float, now: float) -> None:
        """Add a duration relative to the service's median."""
        self._measured_at = now
        self._relative.record(relative, now)

    def relative_quantile(self, quantile: float, now: float) -> float | None:
        """Return a quantile of relative durations, or None if unknown."""
        if now - self._measured_at > _FORGOTTEN_S:
            return None
        if self._relative.effective_count(now) < _FEW_SAMPLES:
            return None
        return self._relative.quantile(quantile, now)

    def stalled_s(self, now: float) -> float:
        """Return how long the oldest call waits while none succeeds."""
        oldest = next(iter(self.started_by_id.values()), now)
        if self.last_success_at > oldest:
            return 0
        return now - oldest


def entry_host_count(fleet: Fleet) -> int:
    """Return the entry hosts that share the targets, at least one."""
    entries = [
        host
        for host in fleet.hosts_by_name.values()
        if HostRole.entry in host.roles
    ]
    return max(1, len(entries))
