"""Set of targets that get no new work."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Final, Literal, NamedTuple, TypeAlias

from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import Fleet, MembershipRules, TargetState
from hornbeamline.membership._metrics import UNAVAILABLE
from hornbeamline.membership.const import MAX_PAUSE_S, SELF_REPORT_TTL_S
from hornbeamline.telemetry import log_event

Report: TypeAlias = Literal['live', 'leaving']
ChangeCallback = Callable[[frozenset[str]], None]

# Lower than any list version.
_NO_VERSION: Final = -1


class _LeavingReport(NamedTuple):
    # Only lists with a higher version can withdraw the report.
    version: int
    # Start of the uninterrupted series of newer lists that report live.
    live_since: float | None = None
    # Expiry of a report that only the target itself has made.
    self_report_until: float = math.inf


class MembershipView:
    """Combines the platform's list, reports of targets and the inventory.

    The list lags and may be served from stale copies. A target counts as
    leaving from the first report, and as live again only after newer lists
    have reported it live for `leaving_hold_s`. A report that only the target
    itself has made expires after `SELF_REPORT_TTL_S`, because a target that
    restarts quickly may never be listed as leaving. Reports are dropped when
    the operator removes a target, or drains it while there is no list.
    """

    def __init__(
        self,
        rules: Callable[[], MembershipRules],
        clock: Clock,
    ) -> None:
        """Initialize with a callable for the current rules and a clock."""
        self._rules = rules
        self._clock = clock
        self._version = _NO_VERSION
        self._leaving_by_target: dict[str, _LeavingReport] = {}
        # End of the pause that each target requested.
        self._paused_until_by_target: dict[str, float] = {}
        self._draining: frozenset[str] = frozenset()
        self._unavailable: frozenset[str] = frozenset()
        self._callbacks: list[ChangeCallback] = []

    def accepts_new_work(self, target: str) -> bool:
        """Return whether new work may be sent to a target."""
        return target not in self._unavailable

    def unavailable(self) -> frozenset[str]:
        """Return the targets that get no new work."""
        return self._unavailable

    def on_change(self, callback: ChangeCallback) -> None:
        """Register a callback for each change of `unavailable()`."""
        self._callbacks.append(callback)

    def note_leaving(self, target: str) -> None:
        """Record a target's own report that it is leaving."""
        known = self._leaving_by_target.get(target)
        if known is not None and known.self_report_until == math.inf:
            self._leaving_by_target[target] = _LeavingReport(self._version)
        else:
            until = self._clock.monotonic() + SELF_REPORT_TTL_S
            self._leaving_by_target[target] = _LeavingReport(
                self._version,
                self_report_until=until,
            )
        self._notify_if_changed()

    def note_pause(self, target: str, pause_s: float) -> None:
        """Record a target's request for a pause of `pause_s` seconds."""
        until = self._clock.monotonic() + min(pause_s, MAX_PAUSE_S)
        known = self._paused_until_by_target.get(target, -math.inf)
        self._paused_until_by_target[target] = max(known, until)
        self._notify_if_changed()

    def expire(self) -> None:
        """Drop expired pauses and reports that only targets have made."""
        now = self._clock.monotonic()
        for paused, until in tuple(self._paused_until_by_target.items()):
            if until <= now:
                self._paused_until_by_target.pop(paused)
        for target, leaving in tuple(self._leaving_by_target.items()):
            if leaving.self_report_until <= now:
                self._leaving_by_target.pop(target)
        self._notify_if_changed()

    def apply_list(self, version: int, reports: Mapping[str, Report]) -> bool:
        """Apply a list; return False if its version is out of date.

        A list of the highest version seen is applied again. A target that is
        not listed keeps its state.
        """
        if version < self._version:
            return False
        self._version = version
        for target, report in reports.items():
            if report == 'leaving':
                self._leaving_by_target[target] = _LeavingReport(version)
        self._withdraw_reports(version, reports)
        self._notify_if_changed()
        return True

    def update_fleet(self, fleet: Fleet) -> None:
        """Apply the targets that the operator drains or has removed."""
        targets = fleet.targets_by_name
        self._draining = frozenset(
            name
            for name, target in targets.items()
            if target.state is TargetState.draining
        )
        for name in tuple(self._leaving_by_target):
            # Without a list only the operator can reinstate a target. With
            # one, reports stay in force while the target drains.
            drained = name in self._draining and self._version == _NO_VERSION
            if name not in targets or drained:
                self._leaving_by_target.pop(name)
        self._notify_if_changed()

    def _withdraw_reports(
        self, version: int, reports: Mapping[str, Report]
    ) -> None:
        now = self._clock.monotonic()
        hold_s = self._rules().leaving_hold_s
        for target, leaving in tuple(self._leaving_by_target.items()):
            if version <= leaving.version:
                continue
            if reports.get(target) != 'live':
                self._leaving_by_target[target] = leaving._replace(
                    live_since=None,
                )
                continue
            since = now if leaving.live_since is None else leaving.live_since
            if now - since >= hold_s:
                self._leaving_by_target.pop(target)
                continue
            self._leaving_by_target[target] = leaving._replace(
                live_since=since,
            )

    def _notify_if_changed(self) -> None:
        unavailable = self._draining.union(
            self._leaving_by_target,
            self._paused_until_by_target,
        )
        if unavailable == self._unavailable:
            return
        log_event(
            'membership.changed',
            leaving=','.join(sorted(unavailable - self._unavailable)),
            returned=','.join(sorted(self._unavailable - unavailable)),
        )
        self._unavailable = unavailable
        UNAVAILABLE.set(len(unavailable))
        for callback in self._callbacks:
            callback(unavailable)
