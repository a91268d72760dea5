"""Budget of repeated attempts, summed over all hosts."""

from __future__ import annotations

import itertools
from collections import deque
from typing import Final, NamedTuple

from hornbeamline.helpers.clock import Clock

# Share of the allowed ratio that hosts use: the windows of the check
# slide and a host counts its own requests only.
_RATIO_SHARE: Final = 0.7
# Share while repeats may be in the window that this process does not know:
# its own before a restart, or those of an earlier owner of the service.
_NEW_SHARE: Final = 1 - _RATIO_SHARE
# Until the number of hosts is known, repeats are hardly allowed.
UNKNOWN_HOSTS: Final = 1000


class BudgetSettings(NamedTuple):
    """Repeats that all hosts together may send to one service."""

    # Per first attempt.
    ratio: float
    window_s: float
    # Independent of the number of requests, for all hosts together.
    slack: float


class RepeatBudget:
    """Own share of the budget of every service."""

    def __init__(self, settings: BudgetSettings, clock: Clock) -> None:
        """Take the bounds and the time source."""
        self._settings = settings
        self._clock = clock
        self._firsts_by_service: dict[str, deque[float]] = {}
        self._repeats_by_service: dict[str, deque[float]] = {}
        self._hosts = UNKNOWN_HOSTS
        self._started_at = clock.monotonic()
        # Since when this process is the only one that sends repeats; not
        # used where hosts share the budget.
        self._owned_since_by_service: dict[str, float] = {}

    @classmethod
    def of_owner(cls, settings: BudgetSettings, clock: Clock) -> RepeatBudget:
        """Return the budget of services whose repeats one host sends."""
        budget = cls(settings, clock)
        budget.note_hosts(1)
        return budget

    def note_hosts(self, count: int) -> None:
        """Take the number of hosts that share the budget.

        The highest number counts: hosts that are out of sight may still
        send repeats.
        """
        if self._hosts == UNKNOWN_HOSTS:
            self._hosts = max(count, 1)
        self._hosts = max(count, self._hosts)

    def note_first(self, service: str, count: int = 1) -> None:
        """Count first attempts."""
        if not self._count(self._firsts_by_service, service):
            now = self._clock.monotonic()
            self._owned_since_by_service[service] = now
        self._note(self._firsts_by_service, service, count)

    def take(self, service: str, count: int = 1) -> bool:
        """Reserve repeats; return False when the budget is spent."""
        firsts = self._count(self._firsts_by_service, service)
        repeats = self._count(self._repeats_by_service, service)
        settings = self._settings
        slack = settings.slack / self._hosts
        allowed = self._share(service) * (settings.ratio * firsts + slack)
        if repeats + count > allowed:
            return False
        self._note(self._repeats_by_service, service, count)
        return True

    def _share(self, service: str) -> float:
        """Return the part of the budget that this process may use."""
        since = self._started_at
        if self._hosts == 1:
            since = self._owned_since_by_service.get(service, since)
        is_new = self._clock.monotonic() - since < self._settings.window_s
        return _NEW_SHARE if is_new else _RATIO_SHARE

    def _note(
        self,
        times_by_service: dict[str, deque[float]],
        service: str,
        count: int,
    ) -> None:
        now = self._clock.monotonic()
        times = times_by_service.setdefault(service, deque())
        times.extend(itertools.repeat(now, count))

    def _count(
        self,
        times_by_service: dict[str, deque[float]],
        service: str,
    ) -> int:
        times = times_by_service.get(service)
        if times is None:
            return 0
        oldest = self._clock.monotonic() - self._settings.window_s
        while times and times[0] < oldest:
            times.popleft()
        return len(times)
