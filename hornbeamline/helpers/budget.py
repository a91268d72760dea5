"""Budget of retries, summed over all hosts."""

from __future__ import annotations

import itertools
from collections import deque
from typing import Final, NamedTuple

from hornbeamline.helpers.clock import Clock

# Share of the allowed retries that hosts use. It is below 1 because the
# limit is checked over sliding windows and a host counts only its own
# requests.
_RATIO_SHARE: Final = 0.7
# Share while the window may hold retries that this process has not counted:
# its own before a restart, or those of a previous owner of the service.
_STARTUP_SHARE: Final = 1 - _RATIO_SHARE
# Assumed until the number of hosts is known, so that few retries are allowed.
UNKNOWN_HOSTS: Final = 1000


class BudgetSettings(NamedTuple):
    """Retries that all hosts together may send to one service."""

    # Retries per first attempt.
    ratio: float
    window_s: float
    # Retries per window that are allowed regardless of the number of requests,
    # for all hosts together.
    slack: float


class RetryBudget:
    """Share of this host in the retry budget of each service."""

    def __init__(self, settings: BudgetSettings, clock: Clock) -> None:
        """Initialize with the limits and the time source."""
        self._settings = settings
        self._clock = clock
        self._first_attempts_by_service: dict[str, deque[float]] = {}
        self._retries_by_service: dict[str, deque[float]] = {}
        self._host_count = UNKNOWN_HOSTS
        self._started_at = clock.monotonic()
        # Time at which this process became the only one that sends retries;
        # not used if hosts share the budget.
        self._owned_since_by_service: dict[str, float] = {}

    @classmethod
    def of_owner(cls, settings: BudgetSettings, clock: Clock) -> RetryBudget:
        """Return a budget for services whose retries one host sends."""
        budget = cls(settings, clock)
        budget.note_hosts(1)
        return budget

    def note_hosts(self, count: int) -> None:
        """Update the number of hosts that share the budget.

        The highest number applies: hosts that are no longer visible may
        still send retries.
        """
        if self._host_count == UNKNOWN_HOSTS:
            self._host_count = max(count, 1)
        self._host_count = max(count, self._host_count)

    def record_first_attempts(self, service: str, count: int = 1) -> None:
        """Count first attempts."""
        if not self._attempts_in_window(
            self._first_attempts_by_service,
            service,
        ):
            now = self._clock.monotonic()
            self._owned_since_by_service[service] = now
        self._record_attempts(self._first_attempts_by_service, service, count)

    def take(self, service: str, count: int = 1) -> bool:
        """Reserve retries; return False if the budget is exhausted."""
        firsts = self._attempts_in_window(
            self._first_attempts_by_service,
            service,
        )
        retries = self._attempts_in_window(self._retries_by_service, service)
        settings = self._settings
        slack = settings.slack / self._host_count
        allowed = self._share(service) * (settings.ratio * firsts + slack)
        if retries + count > allowed:
            return False
        self._record_attempts(self._retries_by_service, service, count)
        return True

    def _share(self, service: str) -> float:
        """Return the part of the budget that this process may use."""
        since = self._started_at
        if self._host_count == 1:
            since = self._owned_since_by_service.get(service, since)
        is_new = self._clock.monotonic() - since < self._settings.window_s
        return _STARTUP_SHARE if is_new else _RATIO_SHARE

    def _record_attempts(
        self,
        times_by_service: dict[str, deque[float]],
        service: str,
        count: int,
    ) -> None:
        now = self._clock.monotonic()
        times = times_by_service.setdefault(service, deque())
        times.extend(itertools.repeat(now, count))

    def _attempts_in_window(
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
