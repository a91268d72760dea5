"""Leaving and pause reports of targets, as received by this process."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import NamedTuple

from hornbeamline.helpers.clock import Clock
from hornbeamline.membership._metrics import LEAVING, RESTING
from hornbeamline.membership.const import (
    MAX_PAUSE_S,
    MIN_RESTART_ABSENCE_S,
    PEER_REPORT_TTL_S,
    UNLISTED_TTL_S,
)
from hornbeamline.telemetry import log_event


class _AvailabilityState(NamedTuple):
    is_leaving: bool = False
    # End of the pause that the target requested.
    paused_until: float = -math.inf
    # Expiry of the leaving report from other processes, which they repeat.
    peer_leaving_until: float = -math.inf
    # Start of the time during which the target has not been listed.
    unlisted_since: float | None = None

    def accepts_work(self, now: float) -> bool:
        return not self.is_leaving and self.unavailable_until <= now

    @property
    def unavailable_until(self) -> float:
        """Return the later end of the pause and of the peer report."""
        return max(self.paused_until, self.peer_leaving_until)


class TargetAvailability:
    """Targets that are leaving or have requested a pause, by id.

    A target id denotes one run of a target, so reports do not carry over to
    another target at the same address. A target that is listed again after
    an absence of more than `MIN_RESTART_ABSENCE_S` has restarted.
    """

    def __init__(self, clock: Clock) -> None:
        """Initialize without reports.

        `clock` must also advance while the host is suspended.
        """
        self._clock = clock
        self._states_by_target: dict[str, _AvailabilityState] = {}

    def accepts_work(self, target: str) -> bool:
        """Return whether requests may be sent to a target now."""
        state = self._states_by_target.get(target)
        return state is None or state.accepts_work(
            self._clock.monotonic(),
        )

    def pause_left_s(self, target: str) -> float:
        """Return the remaining pause in seconds; infinite if it is leaving."""
        state = self._states_by_target.get(target)
        if state is None:
            return 0
        if state.is_leaving:
            return math.inf
        return max(state.unavailable_until - self._clock.monotonic(), 0)

    def leaving(self) -> list[str]:
        """Return the targets that reported to this process that they leave."""
        return [
            target
            for target, state in self._states_by_target.items()
            if state.is_leaving
        ]

    def note_leaving(self, target: str) -> None:
        """Record a target's own report that it is leaving."""
        known = self._state_of(target)
        if known.is_leaving:
            return
        self._states_by_target[target] = known._replace(is_leaving=True)
        log_event('targets.leaving', target=target, source='answer')
        self._update_gauges()

    def note_peer_leaving(self, targets: Collection[str]) -> None:
        """Record targets that other processes report as leaving.

        The report expires unless the other processes repeat it.
        """
        now = self._clock.monotonic()
        for target in targets:
            known = self._state_of(target)
            if known.accepts_work(now):
                log_event('targets.leaving', target=target, source='peer')
            self._states_by_target[target] = known._replace(
                peer_leaving_until=now + PEER_REPORT_TTL_S,
            )

    def note_pause(self, target: str, pause_s: float) -> None:
        """Record a target's request for a pause of `pause_s` seconds.

        A shorter pause does not end a longer one.
        """
        bounded_s = min(max(pause_s, 0), MAX_PAUSE_S)
        known = self._state_of(target)
        until = max(known.paused_until, self._clock.monotonic() + bounded_s)
        self._states_by_target[target] = known._replace(paused_until=until)
        log_event(
            'targets.resting',
            target=target,
            asked_s=pause_s,
            rest_s=bounded_s,
        )
        self._update_gauges()

    def apply_listed(self, targets: Collection[str]) -> None:
        """Apply the ids of a newer list.

        Drops the reports of targets that have restarted, accept work again
        or have not been listed for `UNLISTED_TTL_S`.
        """
        if not self._states_by_target:
            return
        now = self._clock.monotonic()
        for target, state in tuple(self._states_by_target.items()):
            is_listed = target in targets
            since = state.unlisted_since
            unlisted_s = 0 if since is None else now - since
            has_restarted = is_listed and unlisted_s > MIN_RESTART_ABSENCE_S
            if has_restarted:
                log_event('targets.restarted', target=target)
            if (
                has_restarted
                or unlisted_s > UNLISTED_TTL_S
                or state.accepts_work(now)
            ):
                self._states_by_target.pop(target)
                continue
            self._states_by_target[target] = state._replace(
                unlisted_since=None if is_listed else now - unlisted_s,
            )
        self._update_gauges()

    def _state_of(self, target: str) -> _AvailabilityState:
        return self._states_by_target.get(target, _AvailabilityState())

    def _update_gauges(self) -> None:
        now = self._clock.monotonic()
        states = self._states_by_target.values()
        LEAVING.set(sum(state.is_leaving for state in states))
        RESTING.set(sum(state.paused_until > now for state in states))
